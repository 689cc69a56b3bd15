//! Guards against responses between instances that do not fit in a frame and then look like lost
//! ones, after which the caller asks again and again.

use std::{net::SocketAddr, process::Command, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::future::BoxFuture;
use poplarspan_node::{
    CallError, Credentials, PeerClient, TlsFiles,
    peer::{PeerServer, PeerService, Role},
};
use poplarspan_proto::peer::{self, FailureCode, request, response};

/// Longer than any test takes on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Answers each read of a history with as many bytes as it asks for.
struct Zeros;

impl PeerService for Zeros {
    fn call(&self, _role: Role, body: request::Body) -> BoxFuture<'_, response::Body> {
        let request::Body::HistoryRead(read) = body else { panic!("an unexpected call") };
        let data = Some(Bytes::from(vec![0; read.max as usize]));
        let answer = response::Body::HistoryPart(peer::HistoryPart { data });
        Box::pin(std::future::ready(answer))
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn named_as_too_large() {
    let dir = tempfile::tempdir().expect("failed to create a temporary folder");
    let program = env!("CARGO_BIN_EXE_poplarspan");
    let made = Command::new(program).args(["certs", "--out"]).arg(dir.path()).output();
    assert!(made.expect("failed to run the program").status.success());
    let file = |name: &str| dir.path().join(name);
    let files = TlsFiles {
        authority: file("authority.pem"),
        certificate: file("instance.pem"),
        key: file("instance.key"),
    };
    let credentials = Credentials::load(&files).expect("invalid certificates");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let config = credentials.server_config().expect("invalid certificates");
    let endpoint = quinn::Endpoint::server(config, any).expect("failed to bind the peer port");
    let address = endpoint.local_addr().expect("socket has no address");
    tokio::spawn(Arc::new(PeerServer::new(endpoint, Arc::new(Zeros), None)).run());
    let client = PeerClient::new(&credentials, any).expect("failed to bind the client");
    let call = async |max: u32| {
        let read = peer::HistoryRead { max, ..Default::default() };
        client.call(address, request::Body::HistoryRead(read), TIMEOUT).await
    };
    match call(16 << 20).await {
        Err(CallError::Failed(failure)) => assert_eq!(failure.code(), FailureCode::TooLarge),
        other => panic!("{:?}", other.map(|_| "a response")),
    }
    match call(15 << 20).await {
        Ok(response::Body::HistoryPart(part)) => {
            assert_eq!(part.data.map_or(0, |data| data.len()), 15 << 20);
        }
        other => panic!("{:?}", other.map(|_| "another response")),
    }
}
