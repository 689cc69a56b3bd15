//! A relay in front of each instance's peer port, which can cut instances off from one another in
//! one direction or in both.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use tokio::net::UdpSocket;

const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Pairs of instances between which datagrams are dropped.
#[derive(Clone, Default)]
pub struct Network {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Default)]
struct Inner {
    /// Real peer address of each instance, by index.
    real: Vec<SocketAddr>,
    /// Pairs (from, to) that are cut.
    cut: Vec<(usize, usize)>,
}

impl Network {
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts the relay of instance `i` and returns its address.
    pub async fn relay(&self, i: usize, real: SocketAddr) -> SocketAddr {
        {
            let mut inner = self.inner.lock().expect("no panic while locked");
            assert_eq!(inner.real.len(), i, "instances are added in order");
            inner.real.push(real);
        }
        let front = Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("a free port"));
        let address = front.local_addr().expect("bound");
        tokio::spawn(self.clone().run_relay(i, real, front));
        address
    }

    /// Passes datagrams on from each sender through a socket of its own, so that answers find back.
    async fn run_relay(self, to: usize, real: SocketAddr, front: Arc<UdpSocket>) {
        let mut backs: Vec<(SocketAddr, Arc<UdpSocket>)> = Vec::new();
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        while let Ok((len, sender)) = front.recv_from(&mut buf).await {
            if self.is_cut(self.index_of(sender), to) {
                continue;
            }
            let known = backs.iter().find(|(s, _)| *s == sender).map(|(_, back)| back.clone());
            let back = match known {
                Some(back) => back,
                None => {
                    let back = Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("a port"));
                    tokio::spawn(self.clone().run_back(to, sender, back.clone(), front.clone()));
                    backs.push((sender, back.clone()));
                    back
                }
            };
            // A datagram that cannot be sent counts as lost.
            let _ = back.send_to(&buf[..len], real).await;
        }
    }

    async fn run_back(
        self,
        from: usize,
        receiver: SocketAddr,
        back: Arc<UdpSocket>,
        front: Arc<UdpSocket>,
    ) {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        while let Ok((len, _)) = back.recv_from(&mut buf).await {
            if !self.is_cut(Some(from), self.index_of(receiver).unwrap_or(usize::MAX)) {
                let _ = front.send_to(&buf[..len], receiver).await;
            }
        }
    }

    fn index_of(&self, address: SocketAddr) -> Option<usize> {
        let inner = self.inner.lock().expect("no panic while locked");
        inner.real.iter().position(|real| *real == address)
    }

    fn is_cut(&self, from: Option<usize>, to: usize) -> bool {
        let inner = self.inner.lock().expect("no panic while locked");
        from.is_some_and(|from| inner.cut.contains(&(from, to)))
    }

    /// Drops what `from` sends to `to`.
    pub fn cut_one_way(&self, from: usize, to: usize) {
        self.inner.lock().expect("no panic while locked").cut.push((from, to));
    }

    /// Cuts instance `i` off from all others, in both directions.
    pub fn isolate(&self, i: usize) {
        let mut inner = self.inner.lock().expect("no panic while locked");
        for other in (0..inner.real.len()).filter(|other| *other != i) {
            inner.cut.extend([(i, other), (other, i)]);
        }
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        self.inner.lock().expect("no panic while locked").cut.clear();
    }
}
