//! The small part of HTTP/1.1 that the stand-ins speak.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

/// A connection with its unread bytes.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        // Fails only if the connection has already ended.
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let len = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..len]);
        Ok(len)
    }

    /// Reads the head of a message. Returns `None` if the connection has ended before it.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buf, b"\r\n\r\n") {
                let text: Vec<u8> = self.buf.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&text[..end]).into_owned();
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let pair = |line: &str| {
                    let (name, value) = line.split_once(':')?;
                    Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
                };
                return Ok(Some(Head { first, headers: lines.filter_map(pair).collect() }));
            }
            if self.fill()? == 0 {
                return match self.buf.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    fn read_exact(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < len {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..len).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buf, b"\r\n") {
                let line: Vec<u8> = self.buf.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a body and passes on its parts as they arrive. Fails if it is not complete.
    pub fn read_body(
        &mut self,
        head: &Head,
        ends_with_connection: bool,
        mut part: impl FnMut(&[u8]),
    ) -> io::Result<()> {
        if head.get("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
            loop {
                let line = self.read_line()?;
                let size = line.split(';').next().unwrap_or_default().trim();
                let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
                if size == 0 {
                    while !self.read_line()?.is_empty() {}
                    return Ok(());
                }
                part(&self.read_exact(size)?);
                self.read_exact(2)?;
            }
        }
        if let Some(len) = head.get("content-length") {
            let len = len.parse().map_err(io::Error::other)?;
            part(&self.read_exact(len)?);
        } else if ends_with_connection {
            loop {
                let rest = std::mem::take(&mut self.buf);
                part(&rest);
                if self.fill()? == 0 {
                    return Ok(());
                }
            }
        }
        Ok(())
    }
}

fn find(buf: &[u8], what: &[u8]) -> Option<usize> {
    buf.windows(what.len()).position(|w| w == what)
}

/// What a caller receives. Without a response the status is 0.
pub struct Answer {
    pub status: u16,
    pub head: Option<Head>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub whole: bool,
    pub error: String,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request on a new connection and reads the response; `part` gets the body so far whenever
/// more of it has arrived.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
    mut part: impl FnMut(&[u8]),
) -> Answer {
    let mut answer =
        Answer { status: 0, head: None, body: Vec::new(), whole: false, error: String::new() };
    let until = Instant::now() + timeout;
    let mut exchange = || -> io::Result<()> {
        let stream = TcpStream::connect_timeout(&address, timeout.min(Duration::from_secs(1)))?;
        let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        stream.set_read_timeout(Some(left))?;
        let mut conn = Conn::new(stream);
        let mut text = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if method != "GET" {
            text.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        conn.stream.write_all(&[text.as_bytes(), body].concat())?;
        let head = conn.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        answer.status = head.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        let body = &mut answer.body;
        let read = conn.read_body(&head, true, |bytes| {
            body.extend_from_slice(bytes);
            part(body);
        });
        answer.head = Some(head);
        read
    };
    match exchange() {
        Ok(()) => answer.whole = true,
        Err(e) => answer.error = e.to_string(),
    }
    answer
}

/// The `id` and `data` of the complete events in the bytes of a stream.
pub fn events(bytes: &[u8]) -> Vec<(u64, String)> {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let end = text.rfind("\n\n").map_or(0, |at| at + 2);
    let event = |event: &str| {
        let field = |name: &str| event.lines().find_map(|l| l.strip_prefix(name));
        Some((field("id: ")?.parse().ok()?, field("data: ")?.to_owned()))
    };
    text[..end].split("\n\n").filter_map(event).collect()
}
