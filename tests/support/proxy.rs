//! A TCP proxy on loopback that can delay data, stall one or both directions, reset connections, and
//! refuse those of one process.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicI32, AtomicU8, Ordering},
    },
    time::Duration,
};

use nix::unistd::Pid;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp},
    sync::watch,
    time::sleep,
};

/// How a link handles the data of its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mode {
    Pass,
    /// Adds [`LATENCY`] to each read.
    Delay,
    /// Holds back data to the upstream server; the connection stays open.
    StallUpstream,
    /// Holds back data to the client; the connection stays open.
    StallDownstream,
    /// Holds back data in both directions; the connection stays open.
    StallBoth,
}

const LATENCY: Duration = Duration::from_millis(150);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A proxy for one upstream address.
pub struct Link {
    mode: AtomicU8,
    resets: watch::Sender<u32>,
    /// Process whose connections are refused; 0 for none.
    cut_off: AtomicI32,
}

impl Link {
    /// Listens on `listen` and forwards each connection to `upstream`.
    pub async fn open(listen: SocketAddr, upstream: SocketAddr) -> Arc<Self> {
        let socket = TcpListener::bind(listen).await.expect("failed to bind the listener");
        let link = Arc::new(Self {
            mode: AtomicU8::new(Mode::Pass as u8),
            resets: watch::Sender::new(0),
            cut_off: AtomicI32::new(0),
        });
        let accepting = link.clone();
        tokio::spawn(async move {
            while let Ok((stream, client)) = socket.accept().await {
                let cut_off = accepting.cut_off.load(Ordering::Relaxed);
                if cut_off != 0 && owns_socket(cut_off, client, listen) {
                    reset(stream);
                    continue;
                }
                tokio::spawn(accepting.clone().forward(stream, upstream));
            }
        });
        link
    }

    pub fn set(&self, mode: Mode) {
        self.mode.store(mode as u8, Ordering::Relaxed);
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.resets.send_modify(|n| *n += 1);
    }

    /// Resets all open connections, and refuses new ones of the process until [`Link::restore`].
    pub fn cut_off(&self, process: Pid) {
        self.cut_off.store(process.as_raw(), Ordering::Relaxed);
        self.reset();
    }

    /// Accepts the connections of all processes again.
    pub fn restore(&self) {
        self.cut_off.store(0, Ordering::Relaxed);
    }

    fn has_mode(&self, modes: &[Mode]) -> bool {
        let mode = self.mode.load(Ordering::Relaxed);
        modes.iter().any(|m| *m as u8 == mode)
    }

    async fn forward(self: Arc<Self>, client: TcpStream, upstream: SocketAddr) {
        let mut resets = self.resets.subscribe();
        let Ok(upstream) = TcpStream::connect(upstream).await else { return reset(client) };
        let (mut client_rx, mut client_tx) = client.into_split();
        let (mut upstream_rx, mut upstream_tx) = upstream.into_split();
        let is_reset = {
            let upward = self.copy(
                &mut client_rx,
                &mut upstream_tx,
                &[Mode::StallUpstream, Mode::StallBoth],
            );
            let downward = self.copy(
                &mut upstream_rx,
                &mut client_tx,
                &[Mode::StallDownstream, Mode::StallBoth],
            );
            tokio::select! {
                _ = upward => false,
                _ = downward => false,
                _ = resets.changed() => true,
            }
        };
        if is_reset {
            for (rx, tx) in [(client_rx, client_tx), (upstream_rx, upstream_tx)] {
                reset(rx.reunite(tx).expect("halves of different connections"));
            }
        }
    }

    /// Copies until either side closes. Data that was read waits while the mode is one of
    /// `stalled_in`.
    async fn copy(
        &self,
        rx: &mut tcp::OwnedReadHalf,
        tx: &mut tcp::OwnedWriteHalf,
        stalled_in: &[Mode],
    ) {
        let mut buf = vec![0; 16 * 1024];
        while let Ok(n @ 1..) = rx.read(&mut buf).await {
            if self.has_mode(&[Mode::Delay]) {
                sleep(LATENCY).await;
            }
            while self.has_mode(stalled_in) {
                sleep(POLL_INTERVAL).await;
            }
            if tx.write_all(&buf[..n]).await.is_err() {
                return;
            }
        }
    }
}

/// Whether a process has the socket that connects `local` to `remote`.
fn owns_socket(pid: i32, local: SocketAddr, remote: SocketAddr) -> bool {
    // A table that changes while it is read may lack entries.
    const MAX_READS: usize = 20;
    let Some(inode) = (0..MAX_READS).find_map(|_| inode_of(local, remote)) else { return false };
    let target = format!("socket:[{inode}]");
    // The process may have exited.
    let Ok(fds) = std::fs::read_dir(format!("/proc/{pid}/fd")) else { return false };
    fds.flatten().any(|fd| std::fs::read_link(fd.path()).is_ok_and(|l| l.as_os_str() == &*target))
}

/// Inode of the socket that connects `local` to `remote`, from the kernel's table of sockets.
fn inode_of(local: SocketAddr, remote: SocketAddr) -> Option<String> {
    let hex = |address| {
        let SocketAddr::V4(address) = address else { panic!("not an IPv4 address: {address}") };
        // As in proc(5): the bytes of the address in host order.
        let ip = u32::from_ne_bytes(address.ip().octets());
        format!("{ip:08X}:{:04X}", address.port())
    };
    let (local, remote) = (hex(local), hex(remote));
    let table = std::fs::read_to_string("/proc/net/tcp").expect("cannot read the socket table");
    // The inode is the seventh field after the addresses. The whole table is long, so it is not split
    // into fields.
    let (_, rest) = table.split_once(&format!(" {local} {remote} "))?;
    rest.split_whitespace().nth(6).map(str::to_owned)
}

fn reset(stream: TcpStream) {
    // If this fails, the connection closes cleanly, which is also a fault.
    let _ = stream.set_zero_linger();
}
