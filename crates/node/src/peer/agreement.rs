//! Transport for messages of the replicated log, with two streams per peer and group: heartbeats,
//! votes and answers do not wait behind entries, which may be larger than a link carries within an
//! election timeout.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use anyhow::{Context, Result};
use bytes::Bytes;
use poplarspan_agreement::{FolderId, GroupId, Message, PeerMessage, ReplicaId, Transport};
use poplarspan_proto::peer::AgreementBatch;
use tokio::{sync::mpsc, time::timeout};

use super::{client::PeerClient, frame};

/// Maximum number of messages in one queue. Further ones are dropped; the
/// replicated log tolerates lost messages.
const QUEUE_CAPACITY: usize = 1024;
/// Maximum number of messages that are sent together.
const MAX_BATCH_MESSAGES: usize = 64;
/// Maximum size of a frame that holds several messages, in bytes. A larger message gets a frame of
/// its own.
const MAX_BATCH_BYTES: usize = frame::MAX_FRAME_BYTES / 2;
/// Time limit for the connection setup, and for sending a frame in addition to the time for its
/// size. After it, the batch is dropped and the next message opens a new stream.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Rate that a link is assumed to carry at least, in bytes per second: a quarter of 30 Mbit/s, the
/// slowest link of an instance, which other groups use as well.
const MIN_SEND_RATE: u32 = 30_000_000 / 8 / 4;

/// Returns the peer address of a replica, given its number, if it is known.
pub type ReplicaLookup = Arc<dyn Fn(u64) -> Option<SocketAddr> + Send + Sync>;

type QueueKey = (ReplicaId, GroupId, Lane);

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Lane {
    /// Small messages that must arrive within an election timeout.
    Control,
    /// Entries and snapshots. They stay in order: a follower rejects entries that arrive before
    /// those that they follow.
    Log,
}

impl Lane {
    fn of(message: &Message) -> Self {
        match message {
            Message::Append { .. } | Message::SnapshotChunk { .. } => Self::Log,
            _ => Self::Control,
        }
    }

    /// Priority of the stream. Calls on the same connection have priority 0.
    fn priority(self) -> i32 {
        match self {
            Self::Control => 1,
            Self::Log => 0,
        }
    }
}

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
    client: PeerClient,
    lookup: ReplicaLookup,
}

impl AgreementTransport {
    /// Returns a transport for `replica`, whose data folder is `folder`. If `address` is set, each
    /// batch announces it as the peer address of the replica.
    pub fn new(
        replica: ReplicaId,
        folder: FolderId,
        address: Option<SocketAddr>,
        client: PeerClient,
        lookup: ReplicaLookup,
    ) -> Arc<Self> {
        let address = address.map(|a| a.to_string()).unwrap_or_default();
        let cfg = Arc::new(SenderConfig { replica, folder, address, client, lookup });
        Arc::new(Self { cfg, queues: Mutex::default() })
    }
}

impl Transport for AgreementTransport {
    fn send(&self, to: ReplicaId, message: PeerMessage) {
        let lane = Lane::of(&message.message);
        let key = (to, message.group, lane);
        let mut queues = self.queues.lock().expect("mutex is not poisoned");
        let i = queues.binary_search_by_key(&key, |(k, _)| *k).unwrap_or_else(|i| {
            let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
            tokio::spawn(run_sender(self.cfg.clone(), to, lane, rx));
            queues.insert(i, (key, tx));
            i
        });
        if queues[i].1.try_send(message).is_err() {
            metrics::counter!("poplarspan_agreement_dropped_total").increment(1);
        }
    }
}

/// Sends the messages of one queue until the transport is dropped.
async fn run_sender(
    cfg: Arc<SenderConfig>,
    to: ReplicaId,
    lane: Lane,
    mut rx: mpsc::Receiver<PeerMessage>,
) {
    let mut stream = None;
    let mut batch = Vec::with_capacity(MAX_BATCH_MESSAGES);
    while rx.recv_many(&mut batch, MAX_BATCH_MESSAGES).await > 0 {
        if send_batch(&cfg, to, lane, &mut stream, &batch).await.is_err() {
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
    AgreementBatch { from: cfg.replica.0, folder, messages: Vec::new(), address }
}

async fn send_batch(
    cfg: &SenderConfig,
    to: ReplicaId,
    lane: Lane,
    stream: &mut Option<quinn::SendStream>,
    batch: &[PeerMessage],
) -> Result<()> {
    let tx = match stream {
        Some(tx) => tx,
        None => stream.insert(timeout(SEND_TIMEOUT, open_stream(cfg, to, lane)).await??),
    };
    metrics::counter!("poplarspan_agreement_messages_total").increment(batch.len() as u64);
    let mut frame = empty_batch(cfg);
    let mut bytes = 0;
    for message in batch.iter().map(PeerMessage::encode) {
        // Several large messages together can exceed the maximum frame size.
        if bytes + message.len() > MAX_BATCH_BYTES && !frame.messages.is_empty() {
            send_frame(tx, &std::mem::replace(&mut frame, empty_batch(cfg))).await?;
            bytes = 0;
        }
        bytes += message.len();
        frame.messages.push(message);
    }
    send_frame(tx, &frame).await
}

async fn open_stream(cfg: &SenderConfig, to: ReplicaId, lane: Lane) -> Result<quinn::SendStream> {
    let address = (cfg.lookup)(to.0).context("address of the replica is unknown")?;
    let connection = cfg.client.connection(address).await?;
    let tx = connection.open_uni().await?;
    tx.set_priority(lane.priority())?;
    Ok(tx)
}

async fn send_frame(tx: &mut quinn::SendStream, batch: &AgreementBatch) -> Result<()> {
    let bytes: usize = batch.messages.iter().map(Bytes::len).sum();
    let transfer_time = Duration::from_secs(1).mul_f64(bytes as f64 / f64::from(MIN_SEND_RATE));
    Ok(timeout(SEND_TIMEOUT + transfer_time, frame::write(tx, batch)).await??)
}
