//! Malformed, endless and truncated responses.
//!
//! A server sends one of these on a connection if the path of its first request contains
//! [`PATH_MARKER`] and the name of the fault.

use std::time::Duration;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};

const PATH_MARKER: &str = "/faulty/";
const CHUNK_BYTES: usize = 16 * 1024;
/// Longer than any wait of a test.
const STALL_TIME: Duration = Duration::from_secs(120);

/// Returns the fault that the first request of a connection asks for, without consuming bytes.
pub async fn requested_fault(stream: &TcpStream) -> Option<String> {
    let mut buf = [0; 4096];
    let len = stream.peek(&mut buf).await.ok()?;
    let line = std::str::from_utf8(&buf[..len]).ok()?.lines().next()?.to_owned();
    let path = line.split(' ').nth(1)?;
    Some(path.split_once(PATH_MARKER)?.1.to_owned())
}

/// Sends a faulty response; endless ones are sent until the peer closes the connection.
pub async fn send_response(stream: &mut TcpStream, kind: &str) {
    let mut buf = vec![0; CHUNK_BYTES];
    let Ok(len) = stream.read(&mut buf).await else { return };
    let head = String::from_utf8_lossy(&buf[..len]).to_lowercase();
    let header = |name: &str| {
        let line = head.lines().find(|line| line.starts_with(name));
        line.and_then(|line| line.split_once(": ")).map_or("", |(_, value)| value).to_owned()
    };
    let id = header("request-id");
    let sealed = format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-seal: s\r\n");
    let text = "a".repeat(CHUNK_BYTES);
    let event = "data: a\n\n".repeat(CHUNK_BYTES / 9);
    let chunk = |data: &str| format!("{:x}\r\n{data}\r\n", data.len());
    let chunked = "transfer-encoding: chunked\r\n\r\n";
    let streamed = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    if kind == "copy" {
        return send_twice(stream, &sealed).await;
    }
    let (start, repeated) = match kind {
        "head" => (format!("{sealed}x-a: "), text),
        "heads" => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n".repeat(500)),
        "body" => (format!("{sealed}\r\n"), text),
        "chunks" => (format!("{sealed}{chunked}"), chunk(&text)),
        "extension" => (format!("{sealed}{chunked}1;"), text),
        "trailer" => (format!("{sealed}{chunked}0\r\nx-a: "), text),
        "event" => (format!("{sealed}{streamed}"), chunk(&text)),
        "events" => (format!("{sealed}{streamed}"), chunk(&event)),
        // Ends within an event; neither a length nor chunks mark the end.
        "cut" => {
            let cut = "content-type: text/event-stream\r\n\r\ndata: a\n\ndata: b";
            (format!("{sealed}{cut}"), String::new())
        }
        "refusal" => {
            let refusal = "HTTP/1.1 503 Busy\r\nnot-run: 1\r\ncontent-length: 9\r\n\r\n";
            (refusal.to_owned(), String::new())
        }
        _ => panic!("unknown fault {kind}"),
    };
    if stream.write_all(start.as_bytes()).await.is_err() {
        return;
    }
    if kind == "cut" {
        return;
    }
    if repeated.is_empty() {
        return sleep(STALL_TIME).await;
    }
    // Writing fails once the peer has closed the connection.
    while stream.write_all(repeated.as_bytes()).await.is_ok() {}
}

/// Responds to one request, and sends the same response again to the next one.
async fn send_twice(stream: &mut TcpStream, sealed: &str) {
    let answer = format!("{sealed}content-length: 4\r\n\r\ncopy");
    if stream.write_all(answer.as_bytes()).await.is_err() {
        return;
    }
    let mut buf = [0; 4096];
    if let Ok(1..) = stream.read(&mut buf).await {
        // The peer may have closed the connection.
        let _ = stream.write_all(answer.as_bytes()).await;
        sleep(STALL_TIME).await;
    }
}
