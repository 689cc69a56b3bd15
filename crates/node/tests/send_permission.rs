//! Guards against requests that are written after the permission to send them has expired.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderName, Request};
use http_body_util::{BodyExt, Full};
use poplarspan_node::{
    SendPermission,
    pool::{Pool, PoolConfig, SendError},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::{Instant, sleep},
};

const TIMEOUT: Duration = Duration::from_secs(10);

/// Starts an endpoint that responds to each read of request data and records the received bytes.
async fn endpoint() -> (std::net::SocketAddr, Arc<Mutex<Vec<u8>>>) {
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a socket");
    let address = socket.local_addr().expect("socket has no address");
    let received = Arc::new(Mutex::new(Vec::new()));
    let seen = received.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = socket.accept().await {
            let seen = seen.clone();
            tokio::spawn(async move {
                let mut buf = [0; 4096];
                while let Ok(len @ 1..) = stream.read(&mut buf).await {
                    seen.lock().expect("mutex is poisoned").extend_from_slice(&buf[..len]);
                    let answer = b"HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 2\r\n\r\nok";
                    stream.write_all(answer).await.expect("cannot write the response");
                }
            });
        }
    });
    (address, received)
}

fn pool() -> Arc<Pool> {
    Pool::new(PoolConfig::new(HeaderName::from_static("x-id")))
}

fn request(path: &str) -> Request<Full<Bytes>> {
    let request = Request::post(path).header("host", "h").header("x-id", "1");
    request.body(Full::new(Bytes::from_static(b"body"))).expect("request is invalid")
}

/// How long the permission to send is valid. Also the time that the tests wait for written data to
/// arrive.
const PERMITTED: Duration = Duration::from_millis(50);
/// Duration of the simulated suspension, longer than [`PERMITTED`].
const SUSPENDED: Duration = Duration::from_millis(100);

fn received_nothing(received: &Mutex<Vec<u8>>) -> bool {
    received.lock().expect("mutex is poisoned").is_empty()
}

/// The permission expires while a new connection is opened.
#[tokio::test]
async fn new_connection() {
    let (address, received) = endpoint().await;
    let deadline = Instant::now() + TIMEOUT;
    let never: SendPermission = Arc::new(|| false);
    let sent =
        pool().send_if_permitted(address, request("/new"), true, deadline, deadline, never).await;
    assert!(matches!(sent.map(|_| ()), Err(SendError::NotPermitted)));
    sleep(PERMITTED).await;
    assert!(received_nothing(&received));
}

/// The process is suspended after a request has been passed to the task of a reused connection, and
/// before that task runs to write it.
#[tokio::test]
async fn suspended_before_write() {
    let (address, received) = endpoint().await;
    let pool = pool();
    let deadline = Instant::now() + TIMEOUT;
    let first =
        pool.send(address, request("/first"), false, deadline).await.expect("first call failed");
    let (response, reuse) = first.into_parts();
    response.into_body().collect().await.expect("cannot read the body");
    reuse.release();
    // Lets the task of the connection process the end of the response.
    sleep(PERMITTED).await;
    assert_eq!(pool.idle_endpoints(), [address]);
    received.lock().expect("mutex is poisoned").clear();

    let until = std::time::Instant::now() + PERMITTED;
    let may_send: SendPermission = Arc::new(move || std::time::Instant::now() < until);
    let send =
        pool.send_if_permitted(address, request("/late"), false, deadline, deadline, may_send);
    // Blocks the only thread of the runtime, in the same poll in which the request is passed to the
    // task of the connection.
    let suspension = async { std::thread::sleep(SUSPENDED) };
    let (sent, ()) = tokio::join!(send, suspension);
    assert!(matches!(sent.map(|_| ()), Err(SendError::NotPermitted)));
    sleep(PERMITTED).await;
    assert!(received_nothing(&received));
}
