//! A UDP relay on loopback that delays datagrams.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{net::UdpSocket, time::sleep};

const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Forwards datagrams from `listen` to `upstream`, and the replies, each after `delay`.
pub async fn delay(listen: SocketAddr, upstream: SocketAddr, delay: Duration) {
    let listener = Arc::new(UdpSocket::bind(listen).await.expect("failed to bind the relay"));
    tokio::spawn(async move {
        let mut senders: Vec<(SocketAddr, Arc<UdpSocket>)> = Vec::new();
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        while let Ok((len, sender)) = listener.recv_from(&mut buf).await {
            let known =
                senders.iter().find(|(s, _)| *s == sender).map(|(_, socket)| socket.clone());
            let socket = match known {
                Some(socket) => socket,
                None => {
                    let any = SocketAddr::from((listen.ip(), 0));
                    let socket = UdpSocket::bind(any).await.expect("failed to bind a socket");
                    let socket = Arc::new(socket);
                    tokio::spawn(reply(socket.clone(), listener.clone(), sender, delay));
                    senders.push((sender, socket.clone()));
                    socket
                }
            };
            forward(socket, upstream, buf[..len].to_vec(), delay);
        }
    });
}

async fn reply(
    socket: Arc<UdpSocket>,
    listener: Arc<UdpSocket>,
    sender: SocketAddr,
    delay: Duration,
) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    while let Ok((len, _)) = socket.recv_from(&mut buf).await {
        forward(listener.clone(), sender, buf[..len].to_vec(), delay);
    }
}

fn forward(socket: Arc<UdpSocket>, to: SocketAddr, datagram: Vec<u8>, delay: Duration) {
    tokio::spawn(async move {
        sleep(delay).await;
        // A failed send is a lost datagram.
        let _ = socket.send_to(&datagram, to).await;
    });
}
