use thiserror::Error;

/// Why a snapshot could not be restored. The state machine is unchanged.
#[derive(Debug, Error)]
pub enum RestoreError {
    /// The bytes are not a snapshot message.
    #[error("cannot decode snapshot: {0}")]
    Decode(#[from] prost::DecodeError),
    /// The snapshot has a format number that this version does not support.
    #[error("unsupported snapshot format {0}, expected {expected}", expected = SNAPSHOT_FORMAT)]
    Format(u32),
    /// The fields of the snapshot contradict each other, or a value is out of bounds.
    #[error("snapshot is inconsistent: {0}")]
    Inconsistent(&'static str),
}

/// Format number that each snapshot carries in its first field.
pub(crate) const SNAPSHOT_FORMAT: u32 = 1;

/// Exclusive bound on the generation, the epoch, and the last claim or order number of a snapshot. It
/// leaves enough room to increment these counters without an overflow check.
pub(crate) const MAX_COUNTER: u64 = u64::MAX / 2;
