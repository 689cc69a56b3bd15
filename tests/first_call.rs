//! Guards against a `dev` command whose printed example fails when it is sent at once.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::TcpStream,
    process::{Child, Command, Stdio},
    thread::sleep,
    time::{Duration, Instant},
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_poplarspan");
const START_COUNT: usize = 5;
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Several times the delay between the first served call and the printed lines.
const PRINT_GRACE: Duration = Duration::from_secs(2);

/// A `dev` process, killed when dropped.
struct Dev(Child);

impl Drop for Dev {
    fn drop(&mut self) {
        // Fails only if the process has already exited.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Sends the first call that `dev` prints; returns the status line of the response.
fn first_call() -> String {
    let child = Command::new(PROGRAM)
        .args(["dev", "--entry-address", "127.0.0.1:0"])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("failed to start the program");
    let mut dev = Dev(child);
    let printed = BufReader::new(dev.0.stdout.take().expect("stdout is not piped"));
    let (mut address, mut key) = (None, None);
    for line in printed.lines() {
        let line = line.expect("not UTF-8");
        if let Some((_, rest)) = line.split_once("curl -s http://") {
            address = rest.split('/').next().map(str::to_owned);
            key =
                rest.split("Bearer ").nth(1).and_then(|k| k.split('\'').next()).map(str::to_owned);
            break;
        }
    }
    let (address, key) = (address.expect("no address"), key.expect("no key"));
    let body =
        r#"{"model":"demo-chat","max_tokens":8,"messages":[{"role":"user","content":"hello"}]}"#;
    let mut stream = TcpStream::connect(&address).expect("failed to connect");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: {address}\r\nauthorization: Bearer {key}\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream
        .write_all(head.as_bytes())
        .and_then(|()| stream.write_all(body.as_bytes()))
        .expect("failed to send");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("no response");
    answer.lines().next().unwrap_or_default().to_owned()
}

#[test]
fn served_at_once() {
    for start in 0..START_COUNT {
        assert_eq!(first_call(), "HTTP/1.1 200 OK", "start {start}");
    }
}

/// `dev` must keep serving if its standard output is closed.
#[test]
fn closed_output() {
    let (reader, writer) = std::io::pipe().expect("failed to create a pipe");
    drop(reader);
    let free = std::net::TcpListener::bind("127.0.0.1:0").expect("failed to bind a socket");
    let address = free.local_addr().expect("no address").to_string();
    drop(free);
    let child = Command::new(PROGRAM)
        .args(["dev", "--entry-address", &address])
        .stdout(writer)
        .stderr(Stdio::null())
        .spawn()
        .expect("failed to start the program");
    let mut dev = Dev(child);
    let is_served = || {
        let Ok(mut stream) = TcpStream::connect(&address) else { return false };
        let call = "GET /orders/status HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
        let mut answer = String::new();
        // Fails if the process exits in the meantime.
        let sent = stream.write_all(call.as_bytes());
        let _ = sent.and_then(|()| stream.read_to_string(&mut answer));
        answer.starts_with("HTTP/1.1 200")
    };
    let until = Instant::now() + WAIT_TIMEOUT;
    while !is_served() {
        assert!(
            dev.0.try_wait().expect("failed to poll the child process").is_none(),
            "dev has exited"
        );
        assert!(Instant::now() < until, "timed out waiting for a served call");
        sleep(POLL_INTERVAL);
    }
    // The output is written once the objects are in force, which is about now.
    sleep(PRINT_GRACE);
    assert!(
        dev.0.try_wait().expect("failed to poll the child process").is_none(),
        "dev has exited"
    );
}
