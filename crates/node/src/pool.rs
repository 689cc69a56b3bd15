//! Pool of HTTP connections to endpoints.
//!
//! A connection carries one call at a time, so that one that stops responding, or that returns the
//! response to another call, affects only a single call.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use http::{HeaderName, HeaderValue, Request, Response};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{task::AbortHandle, time::Instant};

use crate::{
    RequestBody,
    dial::{Dial, Dialed, DirectDial},
    gate::{Gate, GatedStream, SendPermission},
};

/// Default for [`DirectDial::tcp_user_timeout`].
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(6);
/// A connection is no longer reused when its endpoint is due to close it within this time, so that
/// a call is not sent while the endpoint closes the connection.
const KEEP_ALIVE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1000);
/// Further idle connections to an endpoint are closed.
const MAX_IDLE_PER_ENDPOINT: usize = 64;
/// A connection that is closed within this time was accepted by a proxy in front of the endpoint,
/// not by the endpoint itself.
const ACCEPT_CHECK_DELAY: Duration = Duration::from_millis(50);
/// Number of calls on a connection whose ids are remembered.
const MAX_RECENT_IDS: usize = 16;
/// Size of the read buffer, which limits the head of a response.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1024;

/// Configuration of a [`Pool`].
#[derive(Clone, Debug)]
pub struct PoolConfig {
    /// Header whose value in a response must equal the one in the request, if the response has it.
    pub id_header: HeaderName,
    /// Time limit for opening a connection.
    pub connect_timeout: Duration,
    /// Connections that have been idle for this long are not reused, because a firewall or a proxy
    /// on the path may have dropped their state.
    pub idle_timeout: Duration,
    /// Opens the connections.
    pub dial: Arc<dyn Dial>,
}

impl PoolConfig {
    /// Returns a configuration with the given header and default timeouts.
    pub fn new(id_header: HeaderName) -> Self {
        Self {
            id_header,
            connect_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(5),
            dial: Arc::new(DirectDial { tcp_user_timeout: TCP_USER_TIMEOUT }),
        }
    }
}

/// A connection to an endpoint. Dropping it closes the connection immediately, which cancels its
/// open call.
struct Connection {
    http: http1::SendRequest<RequestBody>,
    task: AbortHandle,
    gate: Gate,
    /// Idle timeout of the endpoint, if it announced one in a `Keep-Alive` header.
    keep_alive: Option<Duration>,
    /// Ids of the last calls. A call is not sent again on the same connection, because a second
    /// copy of the first response would carry the expected id.
    recent_ids: VecDeque<HeaderValue>,
    /// Whether it has carried a response.
    has_answered: bool,
    /// Whether it may carry further calls.
    is_reusable: bool,
}

impl Connection {
    /// Records the id of a call that is about to be sent.
    fn note_id(&mut self, id: Option<&HeaderValue>) {
        let Some(id) = id else { return };
        if self.recent_ids.len() >= MAX_RECENT_IDS {
            self.recent_ids.pop_front();
        }
        self.recent_ids.push_back(id.clone());
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Why a call to an endpoint failed before the head of a response arrived.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No byte of the request was written.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The permission to send was denied. No byte of the request was written.
    #[error("not sent: the permission to send has ended")]
    NotPermitted,
    /// The connection failed after the request was sent, or may have been sent.
    #[error("connection lost: {0}")]
    Lost(String),
    /// The head of the response did not arrive before the deadline.
    #[error("no answer in time")]
    Timeout,
    /// The head of the response did not arrive in time on a reused connection, but there is time
    /// left to try another connection.
    #[error("no answer on a connection in use before")]
    ReusedTimeout,
    /// The response carries the id of another call.
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
    /// Whether the endpoint is expected to still have the connection open.
    fn is_usable(&self, idle_timeout: Duration) -> bool {
        let announced =
            self.connection.keep_alive.map(|t| t.saturating_sub(KEEP_ALIVE_TIMEOUT_MARGIN));
        self.since.elapsed() < announced.map_or(idle_timeout, |t| t.min(idle_timeout))
    }
}

/// Idle connections to endpoints, by address.
#[derive(Debug)]
pub struct Pool {
    cfg: PoolConfig,
    // Sorted by address.
    idle: Mutex<Vec<(SocketAddr, Vec<Idle>)>>,
}

/// A response whose body has not been read yet, and its connection.
pub struct Exchange {
    /// Head of the response, and its body, which may still be arriving.
    pub response: Response<Incoming>,
    /// Whether the response is known to belong to the request: it carries its id, or it is the first
    /// on its connection.
    pub is_attributed: bool,
    connection: Connection,
    address: SocketAddr,
    pool: Arc<Pool>,
}

impl Exchange {
    /// Separates the response from its connection, which goes back to the pool with
    /// [`PooledConnection::release`].
    pub fn into_parts(self) -> (Response<Incoming>, PooledConnection) {
        let pooled = PooledConnection {
            connection: self.connection,
            address: self.address,
            pool: self.pool,
        };
        (self.response, pooled)
    }
}

/// A connection that can be reused once the body of its response has been read completely. Dropping
/// it closes the connection.
pub struct PooledConnection {
    connection: Connection,
    address: SocketAddr,
    pool: Arc<Pool>,
}

impl PooledConnection {
    /// Returns the connection to the pool. Call it only after the body has been read to its end.
    pub fn release(self) {
        self.pool.put_idle(self.address, self.connection);
    }
}

impl Pool {
    /// Returns an empty pool.
    pub fn new(cfg: PoolConfig) -> Arc<Self> {
        Arc::new(Self { cfg, idle: Mutex::default() })
    }

    /// Sends a request and waits for the head of the response, at most until `deadline`.
    ///
    /// If `new_connection` is set, no idle connection is used. This is for calls that must not run
    /// twice: they cannot be repeated when a reused connection does not respond.
    ///
    /// # Errors
    ///
    /// See [`SendError`]. Only `NotSent` and `NotPermitted` mean that the call did not run.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<impl Into<RequestBody>>,
        new_connection: bool,
        deadline: Instant,
    ) -> Result<Exchange, SendError> {
        let always: SendPermission = Arc::new(|| true);
        self.send_if_permitted(address, request, new_connection, deadline, deadline, always).await
    }

    /// Like [`Pool::send`], with an earlier deadline for reused connections and a permission to
    /// send.
    ///
    /// On a reused connection, which may be broken without notice, it waits for the head of the
    /// response only until `reused_deadline`. `may_send` is called immediately before the first
    /// byte of the request is written.
    ///
    /// # Errors
    ///
    /// As for [`Pool::send`]. Fails with [`SendError::NotPermitted`] if `may_send` returns false,
    /// and with [`SendError::ReusedTimeout`] if `reused_deadline` passes before `deadline`.
    pub async fn send_if_permitted(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<impl Into<RequestBody>>,
        new_connection: bool,
        deadline: Instant,
        reused_deadline: Instant,
        may_send: SendPermission,
    ) -> Result<Exchange, SendError> {
        let id = request.headers().get(&self.cfg.id_header).cloned();
        let mut request = request.map(Into::into);
        if !new_connection {
            while let Some(mut connection) = self.take_idle(address, id.as_ref()) {
                let until = deadline.min(reused_deadline);
                connection.gate.arm(may_send.clone());
                connection.note_id(id.as_ref());
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
        connection.note_id(id.as_ref());
        match connection.try_send_request_until(request, deadline).await? {
            SendOutcome::Response(response) => self.check_id(response, connection, address, id),
            SendOutcome::Unsent(_) => {
                Err(SendError::NotSent("the endpoint closed at once".to_owned()))
            }
        }
    }

    /// Returns whether an endpoint accepts a new connection. If so, the connection is kept for the
    /// next call.
    pub async fn accepts_connections(&self, address: SocketAddr) -> bool {
        let deadline = Instant::now() + self.cfg.connect_timeout;
        let error = match connect(address, deadline, &self.cfg).await {
            Ok(connection) => {
                tokio::time::sleep(ACCEPT_CHECK_DELAY).await;
                if !connection.http.is_closed() {
                    self.put_idle(address, connection);
                    return true;
                }
                "connection closed immediately".to_owned()
            }
            Err(e) => e.to_string(),
        };
        let address = address.to_string();
        log::info!(address = address.as_str(), error = error.as_str(); "endpoint does not accept connections");
        false
    }

    /// Checks that the response belongs to the call with the given id. A response without the id
    /// header is accepted.
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
        let is_attributed = response_id.is_some() || !connection.has_answered;
        let mut connection = connection;
        connection.has_answered = true;
        connection.keep_alive = keep_alive(&response).or(connection.keep_alive);
        Ok(Exchange { response, is_attributed, connection, address, pool: self.clone() })
    }

    /// Removes the most recently used idle connection to an endpoint that is still usable and has
    /// not carried the call with this id.
    fn take_idle(&self, address: SocketAddr, id: Option<&HeaderValue>) -> Option<Connection> {
        let mut idle = self.idle.lock().expect("mutex is not poisoned");
        let i = idle.binary_search_by_key(&address, |(a, _)| *a).ok()?;
        let list = &mut idle[i].1;
        let has_carried = |old: &Idle| id.is_some_and(|id| old.connection.recent_ids.contains(id));
        for at in (0..list.len()).rev() {
            if !has_carried(&list[at]) {
                let last = list.remove(at);
                if last.is_usable(self.cfg.idle_timeout) && last.connection.http.is_ready() {
                    return Some(last.connection);
                }
            }
        }
        None
    }

    /// Adds an idle connection, unless there are [`MAX_IDLE_PER_ENDPOINT`] to the endpoint already.
    fn put_idle(&self, address: SocketAddr, connection: Connection) {
        if !connection.is_reusable {
            return;
        }
        let entry = Idle { connection, since: Instant::now() };
        let mut idle = self.idle.lock().expect("mutex is not poisoned");
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

    /// Closes all idle connections to an endpoint. Called when one of them does not respond,
    /// because the others are probably broken as well.
    pub fn close_idle(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().expect("mutex is not poisoned");
        if let Ok(i) = idle.binary_search_by_key(&address, |(a, _)| *a) {
            idle.remove(i);
        }
    }

    /// Closes all idle connections.
    pub fn close_all_idle(&self) {
        self.idle.lock().expect("mutex is not poisoned").clear();
    }

    /// Returns the addresses of the endpoints with usable idle connections, sorted.
    pub fn idle_endpoints(&self) -> Vec<SocketAddr> {
        let idle = self.idle.lock().expect("mutex is not poisoned");
        let usable = |i: &Idle| i.is_usable(self.cfg.idle_timeout) && i.connection.http.is_ready();
        let connected = idle.iter().filter(|(_, list)| list.last().is_some_and(usable));
        connected.map(|(address, _)| *address).collect()
    }

    /// Closes idle connections that can no longer be reused. Must be called periodically.
    pub fn close_expired(&self) {
        let mut idle = self.idle.lock().expect("mutex is not poisoned");
        for (_, list) in idle.iter_mut() {
            list.retain(|old| {
                old.is_usable(self.cfg.idle_timeout) && !old.connection.http.is_closed()
            });
        }
        idle.retain(|(_, list)| !list.is_empty());
    }
}

/// Returns the `timeout` parameter of the `Keep-Alive` header, which has a resolution of seconds.
fn keep_alive(response: &Response<Incoming>) -> Option<Duration> {
    let value = response.headers().get("keep-alive")?.to_str().ok()?;
    let timeout = value.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}

enum SendOutcome {
    Response(Response<Incoming>),
    /// The connection was closed before any part of the request was written.
    Unsent(Request<RequestBody>),
}

trait SendUntil {
    async fn try_send_request_until(
        &mut self,
        request: Request<RequestBody>,
        deadline: Instant,
    ) -> Result<SendOutcome, SendError>;
}

impl SendUntil for Connection {
    async fn try_send_request_until(
        &mut self,
        request: Request<RequestBody>,
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

async fn connect(
    address: SocketAddr,
    deadline: Instant,
    cfg: &PoolConfig,
) -> Result<Connection, SendError> {
    let not_sent = |cause: String| SendError::NotSent(cause);
    let limit = deadline.min(Instant::now() + cfg.connect_timeout);
    let open = async {
        let Dialed { stream, is_reusable } =
            cfg.dial.dial(address).await.map_err(|e| not_sent(e.to_string()))?;
        let gate = Gate::default();
        let (http, driver) = http1::Builder::new()
            .max_buf_size(MAX_RESPONSE_HEAD_BYTES)
            .handshake(TokioIo::new(GatedStream::new(stream, gate.clone())))
            .await
            .map_err(|e| not_sent(e.to_string()))?;
        let task = tokio::spawn(driver).abort_handle();
        Ok(Connection {
            http,
            task,
            gate,
            keep_alive: None,
            recent_ids: VecDeque::new(),
            has_answered: false,
            is_reusable,
        })
    };
    tokio::time::timeout_at(limit, open)
        .await
        .unwrap_or_else(|_| Err(not_sent("connect timed out".to_owned())))
}
