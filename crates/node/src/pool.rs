//! Connections to endpoints: one call at a time on each, so that a connection that goes silent or
//! delivers a foreign answer affects one call only.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, task::AbortHandle, time::Instant};

use crate::gate::{Gate, Gated, Permission};

const KEEPALIVE_IDLE: Duration = Duration::from_secs(3);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 3;
/// A connection is not used again this long before its endpoint closes it, so that a call and the
/// close do not cross.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1000);
const MAX_IDLE_PER_ENDPOINT: usize = 64;
/// A connection that is closed within this time was not accepted by the endpoint itself, but by
/// something in front of it.
const ACCEPTED_AFTER: Duration = Duration::from_millis(50);
const MAX_ANSWER_HEAD_BYTES: usize = 64 * 1024;

/// How a [`Pool`] treats its connections.
#[derive(Clone, Debug)]
pub struct PoolConfig {
    /// Header that ties an answer to its call.
    pub id_header: HeaderName,
    /// Time after which an attempt to connect is given up.
    pub connect_timeout: Duration,
    /// Something between the two ends may lose track of an idle connection, so idle ones are not
    /// kept for longer than this.
    pub max_idle: Duration,
    /// Longest time that sent data may stay unacknowledged.
    pub unacknowledged: Duration,
}

impl PoolConfig {
    /// Returns the defaults for a header.
    pub fn new(id_header: HeaderName) -> Self {
        Self {
            id_header,
            connect_timeout: Duration::from_secs(2),
            max_idle: Duration::from_secs(5),
            unacknowledged: Duration::from_secs(6),
        }
    }
}

/// One end of a connection. Dropping it closes the connection at once, which cancels a call that is
/// open on it.
struct Sender {
    http: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
    gate: Gate,
    /// Time for which the endpoint keeps the connection open while it is idle, as far as it has said.
    keep_alive: Option<Duration>,
}

impl Drop for Sender {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Why an endpoint gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// Not a byte of the call has left this process.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The permission to send has ended. Not a byte of the call has left this process.
    #[error("not sent: the permission to send has ended")]
    NotPermitted,
    /// The call was sent, or may have been.
    #[error("connection lost: {0}")]
    Lost(String),
    /// Nothing arrived within the time allowed.
    #[error("no answer in time")]
    Silent,
    /// Nothing arrived on a connection that had been used before, while there is time for another.
    #[error("no answer on a connection in use before")]
    SilentReused,
    /// The answer belongs to another call.
    #[error("the answer carries the id of another call")]
    Crossed,
}

struct Idle {
    sender: Sender,
    since: Instant,
}

impl std::fmt::Debug for Idle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Idle").field("since", &self.since).finish_non_exhaustive()
    }
}

impl Idle {
    /// Whether the endpoint can be expected to still have the connection open.
    fn is_fresh(&self, max_idle: Duration) -> bool {
        let told = self.sender.keep_alive.map(|t| t.saturating_sub(KEEP_ALIVE_MARGIN));
        self.since.elapsed() < told.map_or(max_idle, |t| t.min(max_idle))
    }
}

/// Idle connections, by endpoint.
#[derive(Debug)]
pub struct Pool {
    cfg: PoolConfig,
    // Sorted by address.
    idle: Mutex<Vec<(SocketAddr, Vec<Idle>)>>,
}

/// An answer whose body is still to be read, and the connection that it arrives on.
pub struct Exchange {
    /// Head of the answer, and its body, which is still arriving.
    pub response: Response<Incoming>,
    sender: Sender,
    address: SocketAddr,
    pool: Arc<Pool>,
}

impl Exchange {
    /// Splits the answer from its connection, which is given back with [`Reuse::finish`].
    pub fn into_parts(self) -> (Response<Incoming>, Reuse) {
        let reuse = Reuse { sender: self.sender, address: self.address, pool: self.pool };
        (self.response, reuse)
    }
}

/// A connection that may be used again once its answer has been read whole. Dropping it closes it.
pub struct Reuse {
    sender: Sender,
    address: SocketAddr,
    pool: Arc<Pool>,
}

impl Reuse {
    /// Puts the connection back.
    pub fn finish(self) {
        self.pool.put(self.address, self.sender);
    }
}

impl Pool {
    /// Returns an empty pool.
    pub fn new(cfg: PoolConfig) -> Arc<Self> {
        Arc::new(Self { cfg, idle: Mutex::default() })
    }

    /// Sends a call and waits for the head of its answer, at most until `deadline`.
    ///
    /// With `fresh`, a new connection is made: a call that must not run twice cannot be repeated
    /// when an old connection turns out to be silent.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        fresh: bool,
        deadline: Instant,
    ) -> Result<Exchange, SendError> {
        let always: Permission = Arc::new(|| true);
        self.send_watched(address, request, fresh, deadline, deadline, always).await
    }

    /// As [`Pool::send`], but waits for the head of the answer only until `reused_until` when the
    /// connection has been used before: it may have gone silent since. `may_send` is asked when the
    /// first byte is about to leave; if it says no, the result is [`SendError::NotPermitted`].
    pub async fn send_watched(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        fresh: bool,
        deadline: Instant,
        reused_until: Instant,
        may_send: Permission,
    ) -> Result<Exchange, SendError> {
        let id = request.headers().get(&self.cfg.id_header).cloned();
        let mut request = request;
        if !fresh {
            while let Some(mut sender) = self.take(address) {
                let until = deadline.min(reused_until);
                sender.gate.arm(may_send.clone());
                let sent = sender.try_send_request_until(request, until).await;
                if matches!(sent, Err(SendError::Silent)) {
                    self.discard(address);
                    if until < deadline {
                        return Err(SendError::SilentReused);
                    }
                }
                match sent? {
                    Sent::Answer(response) => return self.check(response, sender, address, id),
                    Sent::Returned(unsent) => request = unsent,
                }
            }
        }
        let mut sender = connect(address, deadline, &self.cfg).await?;
        sender.gate.arm(may_send);
        match sender.try_send_request_until(request, deadline).await? {
            Sent::Answer(response) => self.check(response, sender, address, id),
            Sent::Returned(_) => Err(SendError::NotSent("the endpoint closed at once".to_owned())),
        }
    }

    /// Whether an endpoint accepts a new connection, which is kept for the next call.
    pub async fn is_accepting(&self, address: SocketAddr) -> bool {
        let deadline = Instant::now() + self.cfg.connect_timeout;
        let error = match connect(address, deadline, &self.cfg).await {
            Ok(sender) => {
                tokio::time::sleep(ACCEPTED_AFTER).await;
                if !sender.http.is_closed() {
                    self.put(address, sender);
                    return true;
                }
                "closed at once".to_owned()
            }
            Err(e) => e.to_string(),
        };
        let address = address.to_string();
        log::info!(address = address.as_str(), error = error.as_str(); "endpoint accepts no connection");
        false
    }

    fn check(
        self: &Arc<Self>,
        response: Response<Incoming>,
        sender: Sender,
        address: SocketAddr,
        id: Option<HeaderValue>,
    ) -> Result<Exchange, SendError> {
        let answered = response.headers().get(&self.cfg.id_header);
        if answered.is_some() && answered != id.as_ref() {
            metrics::counter!("poplarspan_crossed_answers_total").increment(1);
            return Err(SendError::Crossed);
        }
        let mut sender = sender;
        sender.keep_alive = keep_alive(&response).or(sender.keep_alive);
        Ok(Exchange { response, sender, address, pool: self.clone() })
    }

    fn take(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.lock().expect("no panic while locked");
        let i = idle.binary_search_by_key(&address, |(a, _)| *a).ok()?;
        while let Some(last) = idle[i].1.pop() {
            if last.is_fresh(self.cfg.max_idle) && last.sender.http.is_ready() {
                return Some(last.sender);
            }
        }
        None
    }

    fn put(&self, address: SocketAddr, sender: Sender) {
        let entry = Idle { sender, since: Instant::now() };
        let mut idle = self.idle.lock().expect("no panic while locked");
        match idle.binary_search_by_key(&address, |(a, _)| *a) {
            Ok(i) => {
                let list = &mut idle[i].1;
                list.retain(|old| old.is_fresh(self.cfg.max_idle) && !old.sender.http.is_closed());
                if list.len() < MAX_IDLE_PER_ENDPOINT {
                    list.push(entry);
                }
            }
            Err(i) => idle.insert(i, (address, vec![entry])),
        }
    }

    /// Closes the idle connections to an endpoint, after one of them has gone silent.
    pub fn discard(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().expect("no panic while locked");
        if let Ok(i) = idle.binary_search_by_key(&address, |(a, _)| *a) {
            idle.remove(i);
        }
    }

    /// Endpoints to which there are idle connections that can be used, sorted.
    pub fn connected(&self) -> Vec<SocketAddr> {
        let idle = self.idle.lock().expect("no panic while locked");
        let usable = |i: &Idle| i.is_fresh(self.cfg.max_idle) && i.sender.http.is_ready();
        let connected = idle.iter().filter(|(_, list)| list.last().is_some_and(usable));
        connected.map(|(address, _)| *address).collect()
    }

    /// Closes idle connections that are too old; called now and then.
    pub fn sweep(&self) {
        let mut idle = self.idle.lock().expect("no panic while locked");
        for (_, list) in idle.iter_mut() {
            list.retain(|old| old.is_fresh(self.cfg.max_idle) && !old.sender.http.is_closed());
        }
        idle.retain(|(_, list)| !list.is_empty());
    }
}

/// Time for which the endpoint says that it keeps an idle connection.
fn keep_alive(response: &Response<Incoming>) -> Option<Duration> {
    let value = response.headers().get("keep-alive")?.to_str().ok()?;
    let timeout = value.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}

enum Sent {
    Answer(Response<Incoming>),
    /// The connection was closed before the request was sent.
    Returned(Request<Full<Bytes>>),
}

trait SendUntil {
    async fn try_send_request_until(
        &mut self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Sent, SendError>;
}

impl SendUntil for Sender {
    async fn try_send_request_until(
        &mut self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Sent, SendError> {
        match tokio::time::timeout_at(deadline, self.http.try_send_request(request)).await {
            Ok(Ok(response)) => {
                self.gate.head_arrived();
                Ok(Sent::Answer(response))
            }
            Ok(Err(mut e)) => match e.take_message() {
                Some(request) => Ok(Sent::Returned(request)),
                None if self.gate.is_refused() => Err(SendError::NotPermitted),
                None => Err(SendError::Lost(e.into_error().to_string())),
            },
            Err(_) => Err(SendError::Silent),
        }
    }
}

/// Makes the kernel notice a peer that no longer acknowledges anything.
fn watch(stream: &TcpStream, cfg: &PoolConfig) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&probes)?;
    #[cfg(target_os = "linux")]
    socket.set_tcp_user_timeout(Some(cfg.unacknowledged))?;
    Ok(())
}

async fn connect(
    address: SocketAddr,
    deadline: Instant,
    cfg: &PoolConfig,
) -> Result<Sender, SendError> {
    let not_sent = |cause: String| SendError::NotSent(cause);
    let limit = deadline.min(Instant::now() + cfg.connect_timeout);
    let open = async {
        let stream = TcpStream::connect(address).await.map_err(|e| not_sent(e.to_string()))?;
        watch(&stream, cfg).map_err(|e| not_sent(e.to_string()))?;
        let gate = Gate::default();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_ANSWER_HEAD_BYTES)
            .handshake(TokioIo::new(Gated::new(stream, gate.clone())))
            .await
            .map_err(|e| not_sent(e.to_string()))?;
        let task = tokio::spawn(connection).abort_handle();
        Ok(Sender { http: sender, task, gate, keep_alive: None })
    };
    tokio::time::timeout_at(limit, open)
        .await
        .unwrap_or_else(|_| Err(not_sent("connect timed out".to_owned())))
}
