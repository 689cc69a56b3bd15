use thiserror::Error;

/// Why a snapshot was refused. The state machine is unchanged.
#[derive(Debug, Error)]
pub enum RestoreError {
    /// The bytes are no snapshot message.
    #[error("snapshot is not decodable: {0}")]
    Decode(#[from] prost::DecodeError),
    /// The snapshot has a format that this version does not read.
    #[error("snapshot has format {0}, expected {expected}", expected = SNAPSHOT_FORMAT)]
    Format(u32),
    /// The snapshot contradicts itself.
    #[error("snapshot is inconsistent: {0}")]
    Inconsistent(&'static str),
}

/// Format number at the start of each snapshot.
pub(crate) const SNAPSHOT_FORMAT: u32 = 1;

/// A snapshot with a greater generation, epoch or claim is refused, so that these can be counted up
/// without a check for overflow.
pub(crate) const MAX_COUNTER: u64 = u64::MAX / 2;
