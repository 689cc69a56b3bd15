//! Servers as PROTOCOL.md describes them: one model server or plain service on an address.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    http::{self, Request},
    record::Record,
};

/// Ids of the requests that servers have begun to work on.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<String>>>);

impl Runs {
    fn add(&self, id: &str) {
        self.0.lock().expect("runs").push(id.to_owned());
    }

    pub fn contains(&self, id: &str) -> bool {
        self.0.lock().expect("runs").iter().any(|run| run == id)
    }
}

/// A service of model servers, as in a config.
pub const MODEL_SERVICE: &str = "{\"name\":\"assistant\",\"healthPath\":\"/healthz\",\
    \"maxConns\":180,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":26.0,\
    \"engine\":{\"slots\":16,\"kvCapacity\":473759,\"kvTokenBytes\":18432,\
    \"linkMbps\":1100000.0,\"moves\":true,\"backups\":true,\"tokensPerEvent\":24,\"most\":12,\
    \"pinMs\":4000.0,\"holdMs\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}}";
/// The limits of a config.
pub const LIMITS: &str = "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
    \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}";

/// The data of the events of a run: two words that no other run has.
pub fn events(id: &str) -> [String; 2] {
    [format!("one-{id}"), format!("two-{id}")]
}

/// An entry of the platform's list.
pub fn entry(id: &str, service: &str, address: &str, zone: &str) -> String {
    format!(
        "{{\"id\":\"{id}\",\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
         \"version\":\"v1\",\"slots\":16,\"state\":\"ready\",\"coldLeftMs\":0,\"stage\":\"hybrid\",\
         \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"born\":1790000000000}}"
    )
}

/// Starts a server with this id. Requests for streams take a few milliseconds for each event.
pub fn start(address: &str, id: &'static str, runs: Runs, record: Arc<Record>) {
    let address: SocketAddr = address.parse().expect("an address");
    http::serve(address, move |request, stream| answer(request, stream, id, &runs, &record));
}

fn answer(
    request: &Request,
    stream: &mut TcpStream,
    id: &str,
    runs: &Runs,
    record: &Record,
) -> bool {
    if request.path == "/healthz" {
        return http::write_answer(stream, 200, &[("Instance-Id", id)], b"");
    }
    let Some(request_id) = request.header("Request-Id").map(str::to_owned) else {
        return http::write_answer(stream, 400, &[("Not-Run", "1")], b"");
    };
    let mut headers = vec![("Request-Id", request_id.as_str())];
    if request.header("Expect-Instance").is_some_and(|expected| expected != id) {
        headers.push(("Not-Run", "1"));
        return http::write_answer(stream, 421, &headers, b"");
    }
    record.line(&format!("{id} runs {request_id}: {} {}", request.method, request.path));
    runs.add(&request_id);
    let seal = format!("seal-{request_id}");
    headers.push(("Server-Seal", seal.as_str()));
    if request.method == "GET" {
        thread::sleep(Duration::from_millis(5));
        return http::write_answer(
            stream,
            200,
            &headers,
            format!("answer-{request_id}").as_bytes(),
        );
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Seal: {seal}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for (n, data) in events(&request_id).iter().enumerate() {
        thread::sleep(Duration::from_millis(3));
        let event = format!("id: {}\ndata: {data}\n\n", n + 1);
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
    }
    stream.write_all(b"0\r\n\r\n").is_ok()
}
