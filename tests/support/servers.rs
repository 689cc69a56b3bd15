//! Servers with faults on request.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::{
    Request, Response,
    body::{Frame, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use super::faulty;

/// Work of a server for a request, or for an event, on paths that ask for it.
const WORK_TIME: Duration = Duration::from_millis(20);

/// Work of a server for requests that are to be under way for a while.
const SLOW_WORK_TIME: Duration = Duration::from_millis(500);
/// Time after which a server that has crashed is back.
pub const RESTART_DELAY: Duration = Duration::from_secs(2);
pub const SERVERS: usize = 3;

/// A request that a server has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub server: usize,
    pub id: String,
    pub path: String,
    pub body: Bytes,
    pub team: Option<String>,
    pub saw_key: bool,
}

/// What the servers have run, and what they are told to do.
#[derive(Clone, Default)]
pub struct Servers {
    runs: Arc<Mutex<Vec<Run>>>,
    /// Counts how often each server has crashed.
    crashes: [watch::Sender<u32>; SERVERS],
    /// Whether requests that would end a server are answered.
    pub is_fixed: Arc<AtomicBool>,
}

impl Servers {
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no panic while locked").clone()
    }

    /// Runs of one request.
    pub fn runs_of(&self, id: &str) -> Vec<Run> {
        self.runs().into_iter().filter(|r| r.id == id).collect()
    }

    /// Runs of one path, under whichever id.
    pub fn runs_of_path(&self, path: &str) -> Vec<Run> {
        self.runs().into_iter().filter(|r| r.path == path).collect()
    }

    /// Ends a server, with all that it runs; it is back after [`RESTART_DELAY`].
    pub fn crash(&self, server: usize) {
        self.crashes[server].send_modify(|count| *count += 1);
    }

    /// Serves on an address, again after each crash.
    pub async fn serve(self, server: usize, address: SocketAddr) {
        let mut crashes = self.crashes[server].subscribe();
        loop {
            let socket = TcpListener::bind(address).await.expect("an address of its own");
            crashes.borrow_and_update();
            loop {
                let stream = tokio::select! {
                    biased;
                    _ = crashes.changed() => break,
                    accepted = socket.accept() => accepted.expect("a connection").0,
                };
                let (servers, mut crash) = (self.clone(), crashes.clone());
                tokio::spawn(async move {
                    tokio::select! {
                        _ = crash.changed() => {}
                        () = servers.serve_connection(server, stream) => {}
                    }
                });
            }
            drop(socket);
            tokio::time::sleep(RESTART_DELAY).await;
        }
    }

    async fn serve_connection(self, server: usize, mut stream: TcpStream) {
        if let Some(kind) = faulty::requested_fault(&stream).await {
            return faulty::send_response(&mut stream, &kind).await;
        }
        let service = service_fn(move |req| self.clone().handle(server, req));
        // Ends with an error when it is to lose an answer.
        let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    }

    async fn handle(
        self,
        server: usize,
        req: Request<Incoming>,
    ) -> Result<Response<BoxBody<Bytes, std::io::Error>>, std::io::Error> {
        let header =
            |name: &str| req.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
        let path = req.uri().path().to_owned();
        let id = header("request-id").unwrap_or_default();
        let expected = header("expect-instance");
        let (team, saw_key) = (header("tenant"), req.headers().contains_key("api-key"));
        if expected.as_deref() != Some(&*server_name(server)) {
            return Ok(response(421, &id, false, Bytes::new()));
        }
        // The first server is full for requests that ask for it.
        if path.ends_with("/full-at-first") && server == 0 {
            let mut full = response(503, &id, false, Bytes::new());
            full.headers_mut().insert("not-run", "1".parse().expect("a header"));
            return Ok(full);
        }
        let body = req.into_body().collect().await.map_err(std::io::Error::other)?.to_bytes();
        let run = Run {
            at: Instant::now(),
            server,
            id: id.clone(),
            path: path.clone(),
            body: body.clone(),
            team,
            saw_key,
        };
        self.runs.lock().expect("no panic while locked").push(run);
        if path.ends_with("/crash") && self.is_fixed.load(Ordering::Relaxed) {
            return Ok(response(200, &id, true, body));
        }
        if path.ends_with("/midway/crash") {
            let event = Bytes::from_static(b"id: 1\ndata: out1\n\n");
            let first = stream::iter([Ok(Frame::data(event))]);
            let rest = stream::once(async move {
                // The first event is on its way.
                tokio::time::sleep(WORK_TIME).await;
                self.crash(server);
                std::future::pending().await
            });
            let body = BoxBody::new(StreamBody::new(first.chain(rest)));
            return Ok(response(200, &id, true, Bytes::new()).map(|_| body));
        }
        if path.ends_with("/crash") {
            self.crash(server);
            return std::future::pending().await;
        }
        if path.ends_with("/slow") {
            tokio::time::sleep(SLOW_WORK_TIME).await;
        }
        if path.ends_with("/lost") {
            // Closes the connection without an answer.
            return Err(std::io::Error::other("lost on request"));
        }
        if path.ends_with("/forged") {
            return Ok(response(200, &id, false, Bytes::from_static(b"not the server's")));
        }
        if path.ends_with("/leaving") {
            let mut leaving = response(200, &id, true, body);
            leaving.headers_mut().insert("server-leaving", "1".parse().expect("a header"));
            return Ok(leaving);
        }
        if path.ends_with("/misdirected") {
            let mut other = response(421, &id, false, Bytes::new());
            other.headers_mut().insert("server-leaving", "1".parse().expect("a header"));
            return Ok(other);
        }
        if path.ends_with("/named") {
            tokio::time::sleep(WORK_TIME).await;
            return Ok(response(200, &id, true, Bytes::from(format!("body of {id}"))));
        }
        if let Some((before, events)) = path.rsplit_once("/events/") {
            let count: usize = events.parse().expect("a number of events");
            let pause = if before.ends_with("/paced") { WORK_TIME } else { Duration::ZERO };
            let events = stream::iter(1..=count).then(move |n| async move {
                tokio::time::sleep(pause).await;
                Ok(Frame::data(Bytes::from(format!("id: {n}\ndata: out{n}\n\n"))))
            });
            let mut streamed = response(200, &id, true, Bytes::new())
                .map(|_| BoxBody::new(StreamBody::new(events)));
            let kind = "text/event-stream".parse().expect("a header");
            streamed.headers_mut().insert("content-type", kind);
            return Ok(streamed);
        }
        Ok(response(200, &id, true, body))
    }
}

fn response(
    status: u16,
    id: &str,
    sealed: bool,
    body: Bytes,
) -> Response<BoxBody<Bytes, std::io::Error>> {
    let body = Full::new(body).map_err(|never| match never {}).boxed();
    let mut builder = Response::builder().status(status).header("request-id", id);
    if sealed {
        builder = builder.header("server-seal", format!("seal-{id}"));
    }
    builder.body(body).expect("a valid answer")
}

pub fn server_name(server: usize) -> String {
    format!("i-{server}")
}
