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
    /// Datagrams and bytes that passed, by sender and receiver.
    passed: Vec<(usize, usize, u64, u64)>,
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
            self.count(self.index_of(sender), to, len);
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
                self.count(Some(from), self.index_of(receiver).unwrap_or(usize::MAX), len);
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

    /// Counts a datagram between instances; what operators send or receive is left out.
    fn count(&self, from: Option<usize>, to: usize, len: usize) {
        let mut inner = self.inner.lock().expect("no panic while locked");
        let Some(from) = from.filter(|_| to != usize::MAX) else { return };
        let place = match inner.passed.iter().position(|p| (p.0, p.1) == (from, to)) {
            Some(place) => place,
            None => {
                inner.passed.push((from, to, 0, 0));
                inner.passed.len() - 1
            }
        };
        inner.passed[place].2 += 1;
        inner.passed[place].3 += len as u64;
    }

    /// Datagrams and bytes that instance `i` has sent to, and received from, other instances.
    pub fn traffic(&self, i: usize) -> [(u64, u64); 2] {
        let inner = self.inner.lock().expect("no panic while locked");
        let sum = |own: fn(&(usize, usize, u64, u64)) -> usize| {
            let others = inner.passed.iter().filter(|p| p.0 != p.1 && own(p) == i);
            others.fold((0, 0), |(count, bytes), p| (count + p.2, bytes + p.3))
        };
        [sum(|p| p.0), sum(|p| p.1)]
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
