//! Malformed, endless and truncated responses.
//!
//! A server sends one of these on a connection if the path of its first request contains
//! [`PATH_MARKER`] and the name of the fault.

use std::{sync::Mutex, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};

const PATH_MARKER: &str = "/faulty/";
const CHUNK_BYTES: usize = 16 * 1024;
/// Longer than any wait of a test.
const STALL_TIME: Duration = Duration::from_secs(120);

/// Ids of the requests that a server was running when it sent an earlier refusal once more.
static REFUSED_WHILE_RUNNING: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Ids of the requests that a server was running when it sent an earlier refusal once more.
pub fn refused_while_running() -> Vec<String> {
    REFUSED_WHILE_RUNNING.lock().expect("lock is poisoned").clone()
}

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
    match kind {
        "copy" => return send_twice(stream, &sealed).await,
        "refusal-copy" => return refuse_twice(stream, &format!("request-id: {id}\r\n")).await,
        "anonymous-refusal-copy" => return refuse_twice(stream, "").await,
        "unframed" | "unframed-events" | "unframed-reset" => {
            return send_unframed(stream, kind, &sealed).await;
        }
        _ => {}
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
        "numbered-events" => {
            let event = |n: usize| format!("id: {n}\ndata: a\n\n");
            (format!("{sealed}{streamed}"), chunk(&(1..1_000).map(event).collect::<String>()))
        }
        // Ends within an event; neither a length nor chunks mark the end.
        "cut" => {
            let cut = "content-type: text/event-stream\r\n\r\ndata: a\n\ndata: b";
            (format!("{sealed}{cut}"), String::new())
        }
        "cut-chunks" => {
            let cut = chunk("data: a\n\ndata: b");
            (format!("{sealed}{streamed}{cut}0\r\n\r\n"), String::new())
        }
        "cut-length" => {
            let cut = "data: a\n\ndata: b";
            let kind = "content-type: text/event-stream\r\n";
            (format!("{sealed}{kind}content-length: {}\r\n\r\n{cut}", cut.len()), String::new())
        }
        // Ends within the head, in different places.
        "cut-status" => ("HTTP/1.1 200 O".to_owned(), String::new()),
        "cut-head-line" => (sealed.clone(), String::new()),
        "cut-head-name" => (format!("{sealed}content-le"), String::new()),
        "cut-head-value" => (format!("{sealed}content-length: 1"), String::new()),
        "cut-head-end" => {
            (format!("{sealed}{streamed}").trim_end().to_owned() + "\r\n", String::new())
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
    if kind.starts_with("cut") {
        return;
    }
    if repeated.is_empty() {
        return sleep(STALL_TIME).await;
    }
    // Writing fails once the peer has closed the connection.
    while stream.write_all(repeated.as_bytes()).await.is_ok() {}
}

/// Sends a response without a length or chunks, which ends with its connection.
async fn send_unframed(stream: &mut TcpStream, kind: &str, sealed: &str) {
    let body = match kind {
        "unframed-events" => "content-type: text/event-stream\r\n\r\ndata: a\n\ndata: b\n\n",
        _ => "\r\nwhole",
    };
    if stream.write_all(format!("{sealed}{body}").as_bytes()).await.is_err() {
        return;
    }
    if kind == "unframed-reset" {
        // Lets the body arrive before the reset.
        sleep(Duration::from_millis(50)).await;
        // If this fails, the connection ends cleanly, and the test fails.
        let _ = stream.set_zero_linger();
    }
}

/// Refuses one request on a connection, and sends the refusal again while it runs the next one.
async fn refuse_twice(stream: &mut TcpStream, id_line: &str) {
    let refusal =
        format!("HTTP/1.1 503 Busy\r\n{id_line}not-run: 1\r\ncontent-length: 4\r\n\r\nbusy");
    if stream.write_all(refusal.as_bytes()).await.is_err() {
        return;
    }
    let mut buf = [0; 4096];
    let Ok(len @ 1..) = stream.read(&mut buf).await else { return };
    let head = String::from_utf8_lossy(&buf[..len]).to_lowercase();
    let id = head.lines().find_map(|line| line.strip_prefix("request-id: ")).unwrap_or_default();
    REFUSED_WHILE_RUNNING.lock().expect("lock is poisoned").push(id.to_owned());
    // The peer may have closed the connection.
    let _ = stream.write_all(refusal.as_bytes()).await;
    sleep(STALL_TIME).await;
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
