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

use crate::gate::{Gate, GatedStream, SendPermission};

const KEEPALIVE_IDLE: Duration = Duration::from_secs(3);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 3;
/// A connection is not used again this long before its endpoint closes it, so that a call and the
/// close do not cross.
const KEEP_ALIVE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1000);
const MAX_IDLE_PER_ENDPOINT: usize = 64;
/// A connection that is closed within this time was not accepted by the endpoint itself, but by
/// something in front of it.
const ACCEPT_CHECK_DELAY: Duration = Duration::from_millis(50);
const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1024;

/// How a [`Pool`] treats its connections.
#[derive(Clone, Debug)]
pub struct PoolConfig {
    /// Header that ties an answer to its call.
    pub id_header: HeaderName,
    /// Time after which an attempt to connect is given up.
    pub connect_timeout: Duration,
    /// Something between the two ends may lose track of an idle connection, so idle ones are not
    /// kept for longer than this.
    pub idle_timeout: Duration,
    /// Longest time that sent data may stay tcp_user_timeout.
    pub tcp_user_timeout: Duration,
}

impl PoolConfig {
    /// Returns the defaults for a header.
    pub fn new(id_header: HeaderName) -> Self {
        Self {
            id_header,
            connect_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(5),
            tcp_user_timeout: Duration::from_secs(6),
        }
    }
}

/// One end of a connection. Dropping it closes the connection at once, which cancels a call that is
/// open on it.
struct Connection {
    http: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
    gate: Gate,
    /// Time for which the endpoint keeps the connection open while it is idle, as far as it has said.
    keep_alive: Option<Duration>,
}

impl Drop for Connection {
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
    Timeout,
    /// Nothing arrived on a connection that had been used before, while there is time for another.
    #[error("no answer on a connection in use before")]
    ReusedTimeout,
    /// The answer belongs to another call.
    #[error("the answer carries the id of another call")]
    IdMismatch,
}

struct Idle {
    connection: Connection,
    since: Instant,
}

impl std::fmt::Debug for Idle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Idle").field("since", &self.since).finish_non_exhaustive()
    }
}

impl Idle {
    /// Whether the endpoint can be expected to still have the connection open.
    fn is_usable(&self, idle_timeout: Duration) -> bool {
        let announced =
            self.connection.keep_alive.map(|t| t.saturating_sub(KEEP_ALIVE_TIMEOUT_MARGIN));
        self.since.elapsed() < announced.map_or(idle_timeout, |t| t.min(idle_timeout))
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
    connection: Connection,
    address: SocketAddr,
    pool: Arc<Pool>,
}

impl Exchange {
    /// Splits the answer from its connection, which is given back with [`PooledConnection::release`].
    pub fn into_parts(self) -> (Response<Incoming>, PooledConnection) {
        let reuse = PooledConnection {
            connection: self.connection,
            address: self.address,
            pool: self.pool,
        };
        (self.response, reuse)
    }
}

/// A connection that may be used again once its answer has been read whole. Dropping it closes it.
pub struct PooledConnection {
    connection: Connection,
    address: SocketAddr,
    pool: Arc<Pool>,
}

impl PooledConnection {
    /// Puts the connection back.
    pub fn release(self) {
        self.pool.put_idle(self.address, self.connection);
    }
}

impl Pool {
    /// Returns an empty pool.
    pub fn new(cfg: PoolConfig) -> Arc<Self> {
        Arc::new(Self { cfg, idle: Mutex::default() })
    }

    /// Sends a call and waits for the head of its answer, at most until `deadline`.
    ///
    /// With `new_connection`, a new connection is made: a call that must not run twice cannot be repeated
    /// when an old connection turns out to be silent.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        new_connection: bool,
        deadline: Instant,
    ) -> Result<Exchange, SendError> {
        let always: SendPermission = Arc::new(|| true);
        self.send_if_permitted(address, request, new_connection, deadline, deadline, always).await
    }

    /// As [`Pool::send`], but waits for the head of the answer only until `reused_deadline` when the
    /// connection has been used before: it may have gone silent since. `may_send` is asked when the
    /// first byte is about to leave; if it says no, the result is [`SendError::NotPermitted`].
    pub async fn send_if_permitted(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        new_connection: bool,
        deadline: Instant,
        reused_deadline: Instant,
        may_send: SendPermission,
    ) -> Result<Exchange, SendError> {
        let id = request.headers().get(&self.cfg.id_header).cloned();
        let mut request = request;
        if !new_connection {
            while let Some(mut connection) = self.take_idle(address) {
                let until = deadline.min(reused_deadline);
                connection.gate.arm(may_send.clone());
                let sent = connection.try_send_request_until(request, until).await;
                if matches!(sent, Err(SendError::Timeout)) {
                    self.close_idle(address);
                    if until < deadline {
                        return Err(SendError::ReusedTimeout);
                    }
                }
                match sent? {
                    SendOutcome::Response(response) => {
                        return self.check_id(response, connection, address, id);
                    }
                    SendOutcome::Unsent(unsent) => request = unsent,
                }
            }
        }
        let mut connection = connect(address, deadline, &self.cfg).await?;
        connection.gate.arm(may_send);
        match connection.try_send_request_until(request, deadline).await? {
            SendOutcome::Response(response) => self.check_id(response, connection, address, id),
            SendOutcome::Unsent(_) => {
                Err(SendError::NotSent("the endpoint closed at once".to_owned()))
            }
        }
    }

    /// Whether an endpoint accepts a new connection, which is kept for the next call.
    pub async fn accepts_connections(&self, address: SocketAddr) -> bool {
        let deadline = Instant::now() + self.cfg.connect_timeout;
        let error = match connect(address, deadline, &self.cfg).await {
            Ok(connection) => {
                tokio::time::sleep(ACCEPT_CHECK_DELAY).await;
                if !connection.http.is_closed() {
                    self.put_idle(address, connection);
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

    fn check_id(
        self: &Arc<Self>,
        response: Response<Incoming>,
        connection: Connection,
        address: SocketAddr,
        id: Option<HeaderValue>,
    ) -> Result<Exchange, SendError> {
        let response_id = response.headers().get(&self.cfg.id_header);
        if response_id.is_some() && response_id != id.as_ref() {
            metrics::counter!("poplarspan_crossed_answers_total").increment(1);
            return Err(SendError::IdMismatch);
        }
        let mut connection = connection;
        connection.keep_alive = keep_alive(&response).or(connection.keep_alive);
        Ok(Exchange { response, connection, address, pool: self.clone() })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().expect("no panic while locked");
        let i = idle.binary_search_by_key(&address, |(a, _)| *a).ok()?;
        while let Some(last) = idle[i].1.pop() {
            if last.is_usable(self.cfg.idle_timeout) && last.connection.http.is_ready() {
                return Some(last.connection);
            }
        }
        None
    }

    fn put_idle(&self, address: SocketAddr, connection: Connection) {
        let entry = Idle { connection, since: Instant::now() };
        let mut idle = self.idle.lock().expect("no panic while locked");
        match idle.binary_search_by_key(&address, |(a, _)| *a) {
            Ok(i) => {
                let list = &mut idle[i].1;
                list.retain(|old| {
                    old.is_usable(self.cfg.idle_timeout) && !old.connection.http.is_closed()
                });
                if list.len() < MAX_IDLE_PER_ENDPOINT {
                    list.push(entry);
                }
            }
            Err(i) => idle.insert(i, (address, vec![entry])),
        }
    }

    /// Closes the idle connections to an endpoint, after one of them has gone silent.
    pub fn close_idle(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().expect("no panic while locked");
        if let Ok(i) = idle.binary_search_by_key(&address, |(a, _)| *a) {
            idle.remove(i);
        }
    }

    /// Endpoints to which there are idle connections that can be used, sorted.
    pub fn idle_endpoints(&self) -> Vec<SocketAddr> {
        let idle = self.idle.lock().expect("no panic while locked");
        let usable = |i: &Idle| i.is_usable(self.cfg.idle_timeout) && i.connection.http.is_ready();
        let connected = idle.iter().filter(|(_, list)| list.last().is_some_and(usable));
        connected.map(|(address, _)| *address).collect()
    }

    /// Closes idle connections that are too old; called now and then.
    pub fn close_expired(&self) {
        let mut idle = self.idle.lock().expect("no panic while locked");
        for (_, list) in idle.iter_mut() {
            list.retain(|old| {
                old.is_usable(self.cfg.idle_timeout) && !old.connection.http.is_closed()
            });
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

enum SendOutcome {
    Response(Response<Incoming>),
    /// The connection was closed before the request was sent.
    Unsent(Request<Full<Bytes>>),
}

trait SendUntil {
    async fn try_send_request_until(
        &mut self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<SendOutcome, SendError>;
}

impl SendUntil for Connection {
    async fn try_send_request_until(
        &mut self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<SendOutcome, SendError> {
        match tokio::time::timeout_at(deadline, self.http.try_send_request(request)).await {
            Ok(Ok(response)) => {
                self.gate.head_received();
                Ok(SendOutcome::Response(response))
            }
            Ok(Err(mut e)) => match e.take_message() {
                Some(request) => Ok(SendOutcome::Unsent(request)),
                None if self.gate.is_refused() => Err(SendError::NotPermitted),
                None => Err(SendError::Lost(e.into_error().to_string())),
            },
            Err(_) => Err(SendError::Timeout),
        }
    }
}

/// Makes the kernel notice a peer that no longer acknowledges anything.
fn set_socket_options(stream: &TcpStream, cfg: &PoolConfig) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&probes)?;
    #[cfg(target_os = "linux")]
    socket.set_tcp_user_timeout(Some(cfg.tcp_user_timeout))?;
    Ok(())
}

async fn connect(
    address: SocketAddr,
    deadline: Instant,
    cfg: &PoolConfig,
) -> Result<Connection, SendError> {
    let not_sent = |cause: String| SendError::NotSent(cause);
    let limit = deadline.min(Instant::now() + cfg.connect_timeout);
    let open = async {
        let stream = TcpStream::connect(address).await.map_err(|e| not_sent(e.to_string()))?;
        set_socket_options(&stream, cfg).map_err(|e| not_sent(e.to_string()))?;
        let gate = Gate::default();
        let (http, driver) = http1::Builder::new()
            .max_buf_size(MAX_RESPONSE_HEAD_BYTES)
            .handshake(TokioIo::new(GatedStream::new(stream, gate.clone())))
            .await
            .map_err(|e| not_sent(e.to_string()))?;
        let task = tokio::spawn(driver).abort_handle();
        Ok(Connection { http, task, gate, keep_alive: None })
    };
    tokio::time::timeout_at(limit, open)
        .await
        .unwrap_or_else(|_| Err(not_sent("connect timed out".to_owned())))
}
