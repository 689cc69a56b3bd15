//! HTTP/1.1 for the stand-ins, on blocking sockets.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Words of the first line.
    pub first: Vec<String>,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| &**v)
    }
}

pub struct Answer {
    pub status: u16,
    pub head: Head,
}

/// A channel and the bytes that were read ahead.
pub struct Channel {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new() }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> Option<Self> {
        TcpStream::connect_timeout(&address, timeout).ok().map(Self::new)
    }

    fn fill(&mut self, until: Option<Instant>) -> Option<usize> {
        if let Some(until) = until {
            let left = until.checked_duration_since(Instant::now()).filter(|l| !l.is_zero())?;
            self.stream.set_read_timeout(Some(left)).ok()?;
        }
        let mut part = [0; 16384];
        loop {
            match self.stream.read(&mut part) {
                Ok(n) => {
                    self.buf.extend_from_slice(&part[..n]);
                    return Some(n);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return None,
            }
        }
    }

    /// Reads a head. `None` at the end of the channel, on a failure, or when time is over.
    pub fn read_head(&mut self, until: Option<Instant>) -> Option<Head> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next()?.split(' ').map(str::to_owned).collect();
                let header = |l: &str| {
                    let (name, value) = l.split_once(':')?;
                    Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
                };
                return Some(Head { first, headers: lines.filter_map(header).collect() });
            }
            if self.fill(until)? == 0 {
                return None;
            }
        }
    }

    fn take(&mut self, len: usize, until: Option<Instant>) -> Option<Vec<u8>> {
        while self.buf.len() < len {
            if self.fill(until)? == 0 {
                return None;
            }
        }
        Some(self.buf.drain(..len).collect())
    }

    fn read_line(&mut self, until: Option<Instant>) -> Option<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Some(line);
            }
            if self.fill(until)? == 0 {
                return None;
            }
        }
    }

    /// Reads a chunk of a chunked body; empty at its end.
    pub fn read_chunk(&mut self, until: Option<Instant>) -> Option<Vec<u8>> {
        let line = self.read_line(until)?;
        let len = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
        let data = self.take(len, until)?;
        self.read_line(until)?;
        Some(data)
    }

    pub fn read_body(&mut self, head: &Head, until: Option<Instant>) -> Option<Vec<u8>> {
        if head.get("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
            let mut body = Vec::new();
            loop {
                let chunk = self.read_chunk(until)?;
                if chunk.is_empty() {
                    return Some(body);
                }
                body.extend_from_slice(&chunk);
            }
        }
        let len = head.get("content-length").map_or(Some(0), |v| v.parse().ok())?;
        self.take(len, until)
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

pub fn request(method: &str, path: &str, host: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request on a new channel and reads the whole answer.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Option<Answer> {
    let until = Instant::now() + timeout;
    let mut channel = Channel::connect(address, timeout)?;
    if !channel.write(&request(method, path, host, headers, body)) {
        return None;
    }
    read_answer(&mut channel, until)
}

pub fn read_answer(channel: &mut Channel, until: Instant) -> Option<Answer> {
    let head = channel.read_head(Some(until))?;
    let status = head.first.get(1)?.parse().ok()?;
    channel.read_body(&head, Some(until))?;
    Some(Answer { status, head })
}

pub fn get(address: SocketAddr, path: &str, timeout: Duration) -> Option<Answer> {
    send(address, "GET", path, &address.to_string(), &[], b"", timeout)
}
