//! UDP proxies in front of the instances' peer ports. They can drop datagrams between instances in
//! one direction or in both.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use tokio::net::UdpSocket;

const MAX_DATAGRAM_BYTES: usize = 65_536;

/// The proxies of a fleet, with the directions in which they drop datagrams.
#[derive(Clone, Default)]
pub struct Network {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Default)]
struct Inner {
    /// Peer address that each instance binds, by index.
    peers: Vec<SocketAddr>,
    /// Pairs (from, to) whose datagrams are dropped.
    cut: Vec<(usize, usize)>,
    /// Forwarded datagrams as (from, to, count, bytes).
    traffic: Vec<(usize, usize, u64, u64)>,
}

impl Network {
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts the proxy of instance `i` and returns the address to advertise.
    pub async fn add_proxy(&self, i: usize, peer: SocketAddr) -> SocketAddr {
        {
            let mut inner = self.inner.lock().expect("lock is poisoned");
            assert_eq!(inner.peers.len(), i, "proxies must be added in the order of the instances");
            inner.peers.push(peer);
        }
        let listener =
            Arc::new(UdpSocket::bind("127.0.0.1:0").await.expect("failed to bind a free port"));
        let address = listener.local_addr().expect("no local address");
        tokio::spawn(self.clone().forward_requests(i, peer, listener));
        address
    }

    /// Forwards datagrams to instance `to`. Each sender gets its own upstream socket, so that
    /// replies can be matched to it.
    async fn forward_requests(self, to: usize, peer: SocketAddr, listener: Arc<UdpSocket>) {
        let mut upstreams: Vec<(SocketAddr, Arc<UdpSocket>)> = Vec::new();
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        while let Ok((len, sender)) = listener.recv_from(&mut buf).await {
            if self.is_cut(self.index_of(sender), to) {
                continue;
            }
            let known =
                upstreams.iter().find(|(s, _)| *s == sender).map(|(_, upstream)| upstream.clone());
            let upstream = match known {
                Some(upstream) => upstream,
                None => {
                    let upstream = Arc::new(
                        UdpSocket::bind("127.0.0.1:0").await.expect("failed to bind a UDP socket"),
                    );
                    tokio::spawn(self.clone().forward_replies(
                        to,
                        sender,
                        upstream.clone(),
                        listener.clone(),
                    ));
                    upstreams.push((sender, upstream.clone()));
                    upstream
                }
            };
            self.count(self.index_of(sender), to, len);
            // A failed send is a lost datagram.
            let _ = upstream.send_to(&buf[..len], peer).await;
        }
    }

    async fn forward_replies(
        self,
        from: usize,
        receiver: SocketAddr,
        upstream: Arc<UdpSocket>,
        listener: Arc<UdpSocket>,
    ) {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        while let Ok((len, _)) = upstream.recv_from(&mut buf).await {
            if !self.is_cut(Some(from), self.index_of(receiver).unwrap_or(usize::MAX)) {
                self.count(Some(from), self.index_of(receiver).unwrap_or(usize::MAX), len);
                let _ = listener.send_to(&buf[..len], receiver).await;
            }
        }
    }

    fn index_of(&self, address: SocketAddr) -> Option<usize> {
        let inner = self.inner.lock().expect("lock is poisoned");
        inner.peers.iter().position(|peer| *peer == address)
    }

    fn is_cut(&self, from: Option<usize>, to: usize) -> bool {
        let inner = self.inner.lock().expect("lock is poisoned");
        from.is_some_and(|from| inner.cut.contains(&(from, to)))
    }

    /// Counts a datagram between instances. Datagrams to and from operators are not counted.
    fn count(&self, from: Option<usize>, to: usize, len: usize) {
        let mut inner = self.inner.lock().expect("lock is poisoned");
        let Some(from) = from.filter(|_| to != usize::MAX) else { return };
        let pos = match inner.traffic.iter().position(|p| (p.0, p.1) == (from, to)) {
            Some(pos) => pos,
            None => {
                inner.traffic.push((from, to, 0, 0));
                inner.traffic.len() - 1
            }
        };
        inner.traffic[pos].2 += 1;
        inner.traffic[pos].3 += len as u64;
    }

    /// Datagrams and bytes that instance `i` has sent to and received from other instances, in this
    /// order.
    pub fn traffic(&self, i: usize) -> [(u64, u64); 2] {
        let inner = self.inner.lock().expect("lock is poisoned");
        let sum = |own: fn(&(usize, usize, u64, u64)) -> usize| {
            let others = inner.traffic.iter().filter(|p| p.0 != p.1 && own(p) == i);
            others.fold((0, 0), |(count, bytes), p| (count + p.2, bytes + p.3))
        };
        [sum(|p| p.0), sum(|p| p.1)]
    }

    /// Drops datagrams from `from` to `to`.
    pub fn cut_one_way(&self, from: usize, to: usize) {
        self.inner.lock().expect("lock is poisoned").cut.push((from, to));
    }

    /// Cuts instance `i` off from all others, in both directions.
    pub fn isolate(&self, i: usize) {
        let mut inner = self.inner.lock().expect("lock is poisoned");
        for other in (0..inner.peers.len()).filter(|other| *other != i) {
            inner.cut.extend([(i, other), (other, i)]);
        }
    }

    /// Stops dropping datagrams.
    pub fn heal(&self) {
        self.inner.lock().expect("lock is poisoned").cut.clear();
    }
}
