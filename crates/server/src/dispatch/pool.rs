//! Connections to endpoints: one call at a time on each, so that a connection that goes silent or
//! delivers a foreign answer affects one call only.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time::Instant};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Something between the two ends may lose track of an idle connection, so idle ones are not kept
/// for long.
const MAX_IDLE: Duration = Duration::from_secs(5);
const KEEPALIVE_IDLE: Duration = Duration::from_secs(3);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 3;
/// Longest time that sent data may stay unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(6);
const MAX_IDLE_PER_ENDPOINT: usize = 64;
const MAX_ANSWER_HEAD_BYTES: usize = 64 * 1024;

/// Header that ties an answer to its call.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

type Sender = http1::SendRequest<Full<Bytes>>;

/// Why an endpoint gave no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SendError {
    /// Not a byte of the call has left this process.
    #[error("not sent: {0}")]
    NotSent(String),
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

/// Idle connections, by endpoint.
pub(crate) struct Pool {
    // Sorted by address.
    idle: Mutex<Vec<(SocketAddr, Vec<Idle>)>>,
}

/// An answer whose body is still to be read, and the connection that it arrives on.
pub(crate) struct Exchange {
    pub(crate) response: Response<Incoming>,
    sender: Sender,
    address: SocketAddr,
    pool: Arc<Pool>,
}

impl Exchange {
    /// Splits the answer from its connection, which is given back with [`Reuse::finish`].
    pub(crate) fn into_parts(self) -> (Response<Incoming>, Reuse) {
        let reuse = Reuse { sender: self.sender, address: self.address, pool: self.pool };
        (self.response, reuse)
    }
}

/// A connection that may be used again once its answer has been read whole. Dropping it closes it.
pub(crate) struct Reuse {
    sender: Sender,
    address: SocketAddr,
    pool: Arc<Pool>,
}

impl Reuse {
    /// Puts the connection back.
    pub(crate) fn finish(self) {
        self.pool.put(self.address, self.sender);
    }
}

impl Pool {
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self { idle: Mutex::default() })
    }

    /// Sends a call and waits for the head of its answer, at most until `deadline`.
    ///
    /// With `fresh`, a new connection is made: a call that must not run twice cannot be repeated
    /// when an old connection turns out to be silent.
    pub(crate) async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        fresh: bool,
        deadline: Instant,
    ) -> Result<Exchange, SendError> {
        self.send_watched(address, request, fresh, deadline, deadline, &|| true).await
    }

    /// As [`Pool::send`], but waits for the head of the answer only until `reused_until` when the
    /// connection has been used before: it may have gone silent since.
    pub(crate) async fn send_watched(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        fresh: bool,
        deadline: Instant,
        reused_until: Instant,
        may_send: &(dyn Fn() -> bool + Sync),
    ) -> Result<Exchange, SendError> {
        let id = request.headers().get(REQUEST_ID_HEADER).cloned();
        let mut request = request;
        if !fresh {
            while let Some(mut sender) = self.take(address) {
                let until = deadline.min(reused_until);
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
        let mut sender = connect(address, deadline).await?;
        // Connecting takes time, in which the permission may end or the process be suspended.
        if !may_send() {
            return Err(SendError::NotSent("the permission to send has ended".to_owned()));
        }
        match sender.try_send_request_until(request, deadline).await? {
            Sent::Answer(response) => self.check(response, sender, address, id),
            Sent::Returned(_) => Err(SendError::NotSent("the endpoint closed at once".to_owned())),
        }
    }

    fn check(
        self: &Arc<Self>,
        response: Response<Incoming>,
        sender: Sender,
        address: SocketAddr,
        id: Option<HeaderValue>,
    ) -> Result<Exchange, SendError> {
        let answered = response.headers().get(REQUEST_ID_HEADER);
        if answered.is_some() && answered != id.as_ref() {
            metrics::counter!("poplarspan_crossed_answers_total").increment(1);
            return Err(SendError::Crossed);
        }
        Ok(Exchange { response, sender, address, pool: self.clone() })
    }

    fn take(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.lock().expect("no panic while locked");
        let i = idle.binary_search_by_key(&address, |(a, _)| *a).ok()?;
        while let Some(last) = idle[i].1.pop() {
            if last.since.elapsed() < MAX_IDLE && last.sender.is_ready() {
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
                list.retain(|old| old.since.elapsed() < MAX_IDLE && !old.sender.is_closed());
                if list.len() < MAX_IDLE_PER_ENDPOINT {
                    list.push(entry);
                }
            }
            Err(i) => idle.insert(i, (address, vec![entry])),
        }
    }

    /// Closes the idle connections to an endpoint, after one of them has gone silent.
    pub(crate) fn discard(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().expect("no panic while locked");
        if let Ok(i) = idle.binary_search_by_key(&address, |(a, _)| *a) {
            idle.remove(i);
        }
    }

    /// Closes idle connections that are too old; called now and then.
    pub(crate) fn sweep(&self) {
        let mut idle = self.idle.lock().expect("no panic while locked");
        for (_, list) in idle.iter_mut() {
            list.retain(|old| old.since.elapsed() < MAX_IDLE && !old.sender.is_closed());
        }
        idle.retain(|(_, list)| !list.is_empty());
    }
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
        match tokio::time::timeout_at(deadline, self.try_send_request(request)).await {
            Ok(Ok(response)) => Ok(Sent::Answer(response)),
            Ok(Err(mut e)) => match e.take_message() {
                Some(request) => Ok(Sent::Returned(request)),
                None => Err(SendError::Lost(e.into_error().to_string())),
            },
            Err(_) => Err(SendError::Silent),
        }
    }
}

/// Makes the kernel notice a peer that no longer acknowledges anything.
fn watch(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&probes)?;
    #[cfg(target_os = "linux")]
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    Ok(())
}

async fn connect(address: SocketAddr, deadline: Instant) -> Result<Sender, SendError> {
    let not_sent = |cause: String| SendError::NotSent(cause);
    let limit = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let open = async {
        let stream = TcpStream::connect(address).await.map_err(|e| not_sent(e.to_string()))?;
        watch(&stream).map_err(|e| not_sent(e.to_string()))?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_ANSWER_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| not_sent(e.to_string()))?;
        // Ends by itself when the sender is dropped or the endpoint closes.
        tokio::spawn(connection);
        Ok(sender)
    };
    tokio::time::timeout_at(limit, open)
        .await
        .unwrap_or_else(|_| Err(not_sent("connect timed out".to_owned())))
}
