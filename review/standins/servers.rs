//! Servers behind the fleet.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    http::{Conn, Head},
    record,
};

/// A request that a server began to work on.
#[derive(Clone)]
pub struct Run {
    pub at: Duration,
    pub server: usize,
    pub id: String,
    pub path: String,
    pub body: Vec<u8>,
}

#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    pub fn all(&self) -> Vec<Run> {
        self.0.lock().expect("no panic while locked").clone()
    }

    pub fn of(&self, id: &str) -> Vec<Run> {
        self.all().into_iter().filter(|r| r.id == id).collect()
    }

    fn push(&self, run: Run) {
        self.0.lock().expect("no panic while locked").push(run);
    }
}

/// How a server works on a request once it has been read.
pub trait Work: Send + Sync + 'static {
    /// Whether the server has crashed and isn't back yet.
    fn is_down(&self, _server: usize) -> bool {
        false
    }

    /// Writes the response, which begins with [`answer_head`].
    fn answer(&self, server: usize, head: &Head, body: &[u8], to: &mut TcpStream)
    -> io::Result<()>;
}

/// Head of a response that the server itself makes.
pub fn answer_head(head: &Head, more: &str) -> String {
    let id = head.get("request-id").unwrap_or_default();
    format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal-{id}\r\n{more}")
}

/// Serves on an address under a name.
pub fn serve(server: usize, name: String, address: SocketAddr, runs: Runs, work: Arc<dyn Work>) {
    let socket = TcpListener::bind(address).unwrap_or_else(|e| record::fail(&e.to_string()));
    thread::spawn(move || {
        for stream in socket.incoming().flatten() {
            if work.is_down(server) {
                continue;
            }
            let (runs, work, name) = (runs.clone(), work.clone(), name.clone());
            thread::spawn(move || {
                let mut conn = Conn::new(stream);
                // An error ends the connection.
                let _ = serve_connection(server, &name, &mut conn, &runs, &*work);
            });
        }
    });
}

fn serve_connection(
    server: usize,
    name: &str,
    conn: &mut Conn,
    runs: &Runs,
    work: &dyn Work,
) -> io::Result<()> {
    while let Some(head) = conn.read_head()? {
        let mut body = Vec::new();
        conn.read_body(&head, false, |part| body.extend_from_slice(part))?;
        let id = head.get("request-id").unwrap_or_default().to_owned();
        if head.get("expect-instance").is_some_and(|expected| expected != name) {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nNot-Run: 1\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            conn.stream.write_all(text.as_bytes())?;
            continue;
        }
        let path = head.first.split(' ').nth(1).unwrap_or_default().to_owned();
        let run = Run { at: record::now(), server, id, path, body: body.clone() };
        record::line(&format!(
            "server {server} runs {} {} body {:?}",
            run.id,
            run.path,
            String::from_utf8_lossy(&run.body)
        ));
        runs.push(run);
        work.answer(server, &head, &body, &mut conn.stream)?;
    }
    Ok(())
}
