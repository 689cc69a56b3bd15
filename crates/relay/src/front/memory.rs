//! Limits the memory that the bodies of all calls of a front use together.
//!
//! A single body may be large and a front has thousands of connections, so each body reserves
//! memory as it arrives. A body that does not fit is refused, so that the process does not run out
//! of memory.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Instant, timeout_at},
};

/// Limit for all bodies together, in bytes. The smallest fronts have about 88 MB for the whole
/// process.
const MAX_RESERVED_BYTES: usize = 32 << 20;
/// Bytes per semaphore permit.
const UNIT_BYTES: usize = 1 << 10;

/// Why a body could not be read completely.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ReadError {
    /// The body exceeds the size limit, in bytes.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// The bodies of other calls leave no room.
    #[error("no memory is left for the body")]
    OutOfMemory,
    /// The connection failed before the end of the body.
    #[error("the body broke off: {0}")]
    Interrupted(hyper::Error),
    /// The body did not arrive before the deadline.
    #[error("the body did not arrive in time")]
    Timeout,
}

/// Memory budget of a front for bodies.
pub(crate) struct BodyMemory {
    units: Arc<Semaphore>,
}

impl Default for BodyMemory {
    fn default() -> Self {
        Self { units: Arc::new(Semaphore::new(MAX_RESERVED_BYTES / UNIT_BYTES)) }
    }
}

/// Memory reserved for one body; released when dropped.
pub(crate) struct MemoryReservation {
    units: Arc<Semaphore>,
    permit: Option<OwnedSemaphorePermit>,
    bytes: usize,
}

impl BodyMemory {
    /// Creates an empty reservation.
    pub(crate) fn reserve(&self) -> MemoryReservation {
        MemoryReservation { units: self.units.clone(), permit: None, bytes: 0 }
    }

    /// Reads a complete body of up to `max` bytes until the deadline `until`.
    pub(crate) async fn collect(
        &self,
        mut body: Incoming,
        max: usize,
        until: Instant,
    ) -> Result<(Bytes, MemoryReservation), ReadError> {
        let mut reservation = self.reserve();
        // Most bodies arrive in one chunk and are not copied.
        let mut first: Option<Bytes> = None;
        let mut rest = BytesMut::new();
        loop {
            let frame = match timeout_at(until, body.frame()).await {
                Err(_) => return Err(ReadError::Timeout),
                Ok(None) => break,
                Ok(Some(frame)) => frame.map_err(ReadError::Interrupted)?,
            };
            let Ok(data) = frame.into_data() else { continue };
            if data.len() > max - reservation.bytes {
                return Err(ReadError::TooLarge(max));
            }
            reservation.resize(reservation.bytes + data.len())?;
            match &first {
                None => first = Some(data),
                Some(start) => {
                    if rest.is_empty() {
                        rest.extend_from_slice(start);
                    }
                    rest.extend_from_slice(&data);
                }
            }
        }
        let body_bytes = if rest.is_empty() { first.unwrap_or_default() } else { rest.freeze() };
        Ok((body_bytes, reservation))
    }
}

impl MemoryReservation {
    /// Changes the size of the reservation.
    pub(crate) fn resize(&mut self, bytes: usize) -> Result<(), ReadError> {
        let (old, new) = (self.bytes.div_ceil(UNIT_BYTES), bytes.div_ceil(UNIT_BYTES));
        if new > old {
            let more = u32::try_from(new - old).map_err(|_| ReadError::OutOfMemory)?;
            let permit = self.units.clone().try_acquire_many_owned(more);
            let permit = permit.map_err(|_| {
                metrics::counter!("poplarspan_relay_bodies_without_room_total").increment(1);
                ReadError::OutOfMemory
            })?;
            match &mut self.permit {
                Some(reservation) => reservation.merge(permit),
                None => self.permit = Some(permit),
            }
        } else if let Some(reservation) = &mut self.permit {
            drop(reservation.split(old - new));
        }
        self.bytes = bytes;
        Ok(())
    }
}
