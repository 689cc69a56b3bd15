//! Transport for messages of the replicated log, with one stream per peer and group.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use anyhow::{Context, Result};
use bytes::Bytes;
use poplarspan_agreement::{FolderId, GroupId, PeerMessage, ReplicaId, Transport};
use poplarspan_proto::peer::AgreementBatch;
use tokio::{sync::mpsc, time::timeout};

use super::{client::PeerClient, frame};

/// Maximum number of messages queued for one peer and group. Further ones are dropped; the
/// replicated log tolerates lost messages.
const QUEUE_CAPACITY: usize = 1024;
/// Maximum number of messages that are sent together.
const MAX_BATCH_MESSAGES: usize = 64;
/// Maximum size of a frame that holds several messages, in bytes. A larger message gets a frame of
/// its own.
const MAX_BATCH_BYTES: usize = frame::MAX_FRAME_BYTES / 2;
/// Time limit for sending a batch, including the connection setup. After it, the batch is dropped
/// and the next message opens a new stream.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the peer address of a replica, given its number, if it is known.
pub type ReplicaLookup = Arc<dyn Fn(u64) -> Option<SocketAddr> + Send + Sync>;

type QueueKey = (ReplicaId, GroupId);

/// Sends messages to the other replicas. Sending never blocks, and messages may be lost.
pub struct AgreementTransport {
    cfg: Arc<SenderConfig>,
    // Sorted by key.
    queues: Mutex<Vec<(QueueKey, mpsc::Sender<PeerMessage>)>>,
}

struct SenderConfig {
    replica: ReplicaId,
    folder: FolderId,
    /// Peer address of `replica`, for peers that do not know it yet. Empty if it is not announced.
    address: String,
    /// Announced in each batch.
    rules: u32,
    client: PeerClient,
    lookup: ReplicaLookup,
}

impl AgreementTransport {
    /// Returns a transport for `replica`, whose data folder is `folder`. If `address` is set, each
    /// batch announces it as the peer address of the replica. `rules` is the highest version of the
    /// rules for commands that this build knows; 0 if it has only one.
    pub fn new(
        replica: ReplicaId,
        folder: FolderId,
        address: Option<SocketAddr>,
        rules: u32,
        client: PeerClient,
        lookup: ReplicaLookup,
    ) -> Arc<Self> {
        let address = address.map(|a| a.to_string()).unwrap_or_default();
        let cfg = Arc::new(SenderConfig { replica, folder, address, rules, client, lookup });
        Arc::new(Self { cfg, queues: Mutex::default() })
    }
}

impl Transport for AgreementTransport {
    fn send(&self, to: ReplicaId, message: PeerMessage) {
        let key = (to, message.group);
        let mut queues = self.queues.lock().expect("mutex is not poisoned");
        let i = queues.binary_search_by_key(&key, |(k, _)| *k).unwrap_or_else(|i| {
            let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
            tokio::spawn(run_sender(self.cfg.clone(), to, rx));
            queues.insert(i, (key, tx));
            i
        });
        if queues[i].1.try_send(message).is_err() {
            metrics::counter!("poplarspan_agreement_dropped_total").increment(1);
        }
    }
}

/// Sends the queued messages for one peer and group until the transport is dropped.
async fn run_sender(cfg: Arc<SenderConfig>, to: ReplicaId, mut rx: mpsc::Receiver<PeerMessage>) {
    let mut stream = None;
    let mut batch = Vec::with_capacity(MAX_BATCH_MESSAGES);
    while rx.recv_many(&mut batch, MAX_BATCH_MESSAGES).await > 0 {
        let sent = timeout(SEND_TIMEOUT, send_batch(&cfg, to, &mut stream, &batch)).await;
        if !matches!(sent, Ok(Ok(()))) {
            // The next message opens a new stream. The replicated log resends lost messages.
            stream = None;
            metrics::counter!("poplarspan_agreement_dropped_total").increment(batch.len() as u64);
        }
        batch.clear();
    }
}

fn empty_batch(cfg: &SenderConfig) -> AgreementBatch {
    let folder = Bytes::copy_from_slice(&cfg.folder.0.to_be_bytes());
    let address = cfg.address.clone();
    let (from, rules) = (cfg.replica.0, cfg.rules);
    AgreementBatch { from, folder, messages: Vec::new(), address, rules }
}

async fn send_batch(
    cfg: &SenderConfig,
    to: ReplicaId,
    stream: &mut Option<quinn::SendStream>,
    batch: &[PeerMessage],
) -> Result<()> {
    let tx = match stream {
        Some(tx) => tx,
        None => {
            let address = (cfg.lookup)(to.0).context("address of the replica is unknown")?;
            let connection = cfg.client.connection(address).await?;
            stream.insert(connection.open_uni().await?)
        }
    };
    metrics::counter!("poplarspan_agreement_messages_total").increment(batch.len() as u64);
    let mut frame = empty_batch(cfg);
    let mut bytes = 0;
    for message in batch.iter().map(PeerMessage::encode) {
        // Several large messages together can exceed the maximum frame size.
        if bytes + message.len() > MAX_BATCH_BYTES && !frame.messages.is_empty() {
            frame::write(tx, &std::mem::replace(&mut frame, empty_batch(cfg))).await?;
            bytes = 0;
        }
        bytes += message.len();
        frame.messages.push(message);
    }
    Ok(frame::write(tx, &frame).await?)
}
