//! Callers that send invalid or slow requests, and instances with low limits.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use super::{Fleet, WAIT_TIMEOUT, process::Process};

/// Sends bytes and returns what is received until the peer closes the connection; None if it does
/// not close within [`WAIT_TIMEOUT`].
pub async fn send_raw(address: SocketAddr, bytes: &[u8]) -> Option<String> {
    let mut stream = TcpStream::connect(address).await.expect("failed to connect");
    // The peer may close the connection before it has read everything.
    let _ = stream.write_all(bytes).await;
    read_to_close(stream).await
}

/// Reads until the peer closes the connection; None if nothing arrives for [`WAIT_TIMEOUT`].
pub async fn read_to_close(mut stream: TcpStream) -> Option<String> {
    let mut all = Vec::new();
    let mut buf = [0; 4096];
    loop {
        match timeout(WAIT_TIMEOUT, stream.read(&mut buf)).await.ok()? {
            Ok(0) | Err(_) => return Some(String::from_utf8_lossy(&all).into_owned()),
            Ok(len) => all.extend_from_slice(&buf[..len]),
        }
    }
}

/// Sends `start` and then single bytes until the peer closes the connection; returns what is
/// received, or None if it does not close within [`WAIT_TIMEOUT`].
pub async fn send_slowly(address: SocketAddr, start: &[u8]) -> Option<String> {
    let stream = TcpStream::connect(address).await.expect("failed to connect");
    let (mut rx, mut tx) = stream.into_split();
    tx.write_all(start).await.expect("failed to send the start");
    let sender = tokio::spawn(async move {
        while tx.write_all(b"a").await.is_ok() {
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
    });
    let mut all = Vec::new();
    // A reset also ends the connection.
    let read = timeout(WAIT_TIMEOUT, rx.read_to_end(&mut all)).await;
    sender.abort();
    read.ok().map(|_| String::from_utf8_lossy(&all).into_owned())
}

impl Fleet {
    /// Kills an entry instance and starts it with additional flags.
    pub async fn restart_with(&mut self, i: usize, flags: &[&str]) {
        self.kill(i);
        let member = &self.members[i];
        let seeds: Vec<String> = self
            .members
            .iter()
            .filter(|m| m.replica.is_some())
            .map(|m| m.advertised.to_string())
            .collect();
        let (entry, peer) = (member.entry.to_string(), member.peer.to_string());
        let (advertised, probe) = (member.advertised.to_string(), member.probe.to_string());
        let seeds = seeds.join(",");
        let mut args = vec!["serve", "--name", &member.name, "--zone", &member.zone];
        args.extend(["--entry-address", &entry, "--peer-address", &peer]);
        args.extend(["--advertise-address", &advertised, "--probe-address", &probe]);
        args.extend(["--seeds", &seeds]);
        args.extend(flags);
        let tls = self.tls("instance");
        args.extend(tls.iter().map(String::as_str));
        let process = Process::start(&args, &self.folder.path().join(&member.name));
        self.members[i].process = Some(process);
        self.wait_ready(i).await;
        self.warm_up().await;
    }

    /// Resident memory of an instance in bytes (`VmRSS`).
    pub fn resident_bytes(&self, i: usize) -> u64 {
        let process = self.members[i].process.as_ref().expect("instance is not running");
        let path = format!("/proc/{}/status", process.id());
        let status = std::fs::read_to_string(path).expect("cannot read the process status");
        let line = status.lines().find(|l| l.starts_with("VmRSS:")).expect("no VmRSS line");
        let kib = line.split_whitespace().nth(1).and_then(|n| n.parse::<u64>().ok());
        kib.expect("not a number") * 1024
    }
}
