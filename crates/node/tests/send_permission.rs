//! Guards against requests that leave after the permission to send them has ended.

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

/// An endpoint that answers each request, and keeps what it has received.
async fn endpoint() -> (std::net::SocketAddr, Arc<Mutex<Vec<u8>>>) {
    let socket = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let address = socket.local_addr().expect("an address");
    let received = Arc::new(Mutex::new(Vec::new()));
    let seen = received.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = socket.accept().await {
            let seen = seen.clone();
            tokio::spawn(async move {
                let mut buf = [0; 4096];
                while let Ok(len @ 1..) = stream.read(&mut buf).await {
                    seen.lock().expect("no panic while locked").extend_from_slice(&buf[..len]);
                    let answer = b"HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 2\r\n\r\nok";
                    stream.write_all(answer).await.expect("a caller");
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
    request.body(Full::new(Bytes::from_static(b"body"))).expect("a request")
}

/// Time of the permission, and a suspension that outlasts it.
const PERMITTED: Duration = Duration::from_millis(50);
const SUSPENDED: Duration = Duration::from_millis(100);

fn received_nothing(received: &Mutex<Vec<u8>>) -> bool {
    received.lock().expect("no panic while locked").is_empty()
}

/// The permission ends while the connection is made.
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

/// The process is suspended between the hand-over of a request and the turn of the task that writes
/// it on a connection that was used before.
#[tokio::test]
async fn suspended_before_write() {
    let (address, received) = endpoint().await;
    let pool = pool();
    let deadline = Instant::now() + TIMEOUT;
    let first = pool.send(address, request("/first"), false, deadline).await.expect("an answer");
    let (response, reuse) = first.into_parts();
    response.into_body().collect().await.expect("a body");
    reuse.release();
    // Lets the connection's task see the end of the answer.
    sleep(PERMITTED).await;
    assert_eq!(pool.idle_endpoints(), [address]);
    received.lock().expect("no panic while locked").clear();

    let until = std::time::Instant::now() + PERMITTED;
    let may_send: SendPermission = Arc::new(move || std::time::Instant::now() < until);
    let send =
        pool.send_if_permitted(address, request("/late"), false, deadline, deadline, may_send);
    // Blocks the runtime's only thread in the step in which the request was handed over.
    let suspension = async { std::thread::sleep(SUSPENDED) };
    let (sent, ()) = tokio::join!(send, suspension);
    assert!(matches!(sent.map(|_| ()), Err(SendError::NotPermitted)));
    sleep(PERMITTED).await;
    assert!(received_nothing(&received));
}
