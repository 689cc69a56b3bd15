//! A proxy on loopback whose connections can be delayed, silenced in one or both directions, reset.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp},
    sync::watch,
    time::sleep,
};

/// What a link does with what it is to carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mode {
    Pass,
    /// Everything arrives later.
    Delay,
    /// Nothing arrives at the far end any more, and nobody is told.
    DeafFarEnd,
    /// Nothing arrives at the near end any more, and nobody is told.
    DeafNearEnd,
    Silent,
}

const DELAY: Duration = Duration::from_millis(150);
const POLL: Duration = Duration::from_millis(20);

/// A link to one address.
pub struct Link {
    mode: AtomicU8,
    resets: watch::Sender<u32>,
}

impl Link {
    /// Listens on `near` and connects to `far`.
    pub async fn open(near: SocketAddr, far: SocketAddr) -> Arc<Self> {
        let socket = TcpListener::bind(near).await.expect("an address of its own");
        let link =
            Arc::new(Self { mode: AtomicU8::new(Mode::Pass as u8), resets: watch::Sender::new(0) });
        let accepting = link.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = socket.accept().await {
                tokio::spawn(accepting.clone().carry(stream, far));
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

    fn is(&self, modes: &[Mode]) -> bool {
        let mode = self.mode.load(Ordering::Relaxed);
        modes.iter().any(|m| *m as u8 == mode)
    }

    async fn carry(self: Arc<Self>, near: TcpStream, far: SocketAddr) {
        let mut resets = self.resets.subscribe();
        let Ok(far) = TcpStream::connect(far).await else { return reset(near) };
        let (mut near_rx, mut near_tx) = near.into_split();
        let (mut far_rx, mut far_tx) = far.into_split();
        let is_reset = {
            let there = self.copy(&mut near_rx, &mut far_tx, &[Mode::DeafFarEnd, Mode::Silent]);
            let back = self.copy(&mut far_rx, &mut near_tx, &[Mode::DeafNearEnd, Mode::Silent]);
            tokio::select! {
                _ = there => false,
                _ = back => false,
                _ = resets.changed() => true,
            }
        };
        if is_reset {
            for (rx, tx) in [(near_rx, near_tx), (far_rx, far_tx)] {
                reset(rx.reunite(tx).expect("the halves of one connection"));
            }
        }
    }

    /// Copies until one end has ended. A connection that was silenced stays so until it ends.
    async fn copy(&self, rx: &mut tcp::OwnedReadHalf, tx: &mut tcp::OwnedWriteHalf, deaf: &[Mode]) {
        let mut buf = vec![0; 16 * 1024];
        while let Ok(n @ 1..) = rx.read(&mut buf).await {
            if self.is(&[Mode::Delay]) {
                sleep(DELAY).await;
            }
            while self.is(deaf) {
                sleep(POLL).await;
            }
            if tx.write_all(&buf[..n]).await.is_err() {
                return;
            }
        }
    }
}

fn reset(stream: TcpStream) {
    // Without it the connection ends in order, which is a fault as well.
    let _ = stream.set_zero_linger();
}
