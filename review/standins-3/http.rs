//! HTTP/1.1 as far as the stand-ins need it.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// A request that a stand-in has read.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// An answer that a caller has read.
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end as the protocol marks it.
    pub is_whole: bool,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
}

fn head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a body. Returns whether it is whole.
fn body(
    reader: &mut impl BufRead,
    headers: &[(String, String)],
    ends_with_channel: bool,
) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    if find(headers, "transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            if !matches!(reader.read_line(&mut line), Ok(1..)) {
                return (body, false);
            }
            let Ok(len) = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
            else {
                return (body, false);
            };
            let mut chunk = vec![0; len + 2];
            if len == 0 {
                let mut end = String::new();
                return (body, matches!(reader.read_line(&mut end), Ok(1..)));
            }
            if reader.read_exact(&mut chunk).is_err() {
                return (body, false);
            }
            body.extend_from_slice(&chunk[..len]);
        }
    }
    match find(headers, "content-length").and_then(|v| v.parse::<usize>().ok()) {
        Some(len) => {
            let mut taken = reader.take(len as u64);
            let is_read = taken.read_to_end(&mut body).is_ok();
            let is_whole = is_read && body.len() == len;
            (body, is_whole)
        }
        None if ends_with_channel => {
            let is_whole = reader.read_to_end(&mut body).is_ok();
            (body, is_whole)
        }
        None => (body, true),
    }
}

/// Answers requests on an address. `answer` returns whether the channel is kept.
pub fn serve(
    address: SocketAddr,
    answer: impl Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
) {
    let socket = TcpListener::bind(address).expect("the address of a stand-in is free");
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in socket.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || read_requests(stream, &*answer));
        }
    });
}

fn read_requests(stream: TcpStream, answer: &dyn Fn(&Request, &mut TcpStream) -> bool) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some((first, headers))) = head(&mut reader) {
        let mut words = first.split(' ');
        let method = words.next().unwrap_or("").to_owned();
        let path = words.next().unwrap_or("").to_owned();
        let (_, is_whole) = body(&mut reader, &headers, false);
        if !is_whole || !answer(&Request { method, path, headers }, &mut writer) {
            return;
        }
    }
}

/// Writes an answer with a length. Returns whether it could be written.
pub fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> bool {
    let mut text = format!("HTTP/1.1 {status} Answer\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

/// Sends a request on a new channel and reads the answer.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, &str)],
    payload: &[u8],
    timeout: Duration,
) -> io::Result<Answer> {
    let until = Instant::now() + timeout;
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    let stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    stream.set_write_timeout(Some(left))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !payload.is_empty() || method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", payload.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(payload);
    let mut writer = stream.try_clone()?;
    writer.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let Some((first, headers)) = head(&mut reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let status = first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let (body, is_whole) = body(&mut reader, &headers, true);
    Ok(Answer { status, headers, body, is_whole })
}
