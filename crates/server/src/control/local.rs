//! A log of a single replica in memory: for tests and for trials without a disk.

use std::sync::{Arc, Mutex};

use bytes::Bytes;
use futures::future::BoxFuture;

use super::group::{Group, Leadership, ProposeError, StateMachine};

/// Applies each command at once; nothing survives the process.
pub(crate) struct LocalGroup {
    index: Mutex<u64>,
    state: Arc<Mutex<dyn StateMachine>>,
}

impl LocalGroup {
    pub(crate) fn new(state: Arc<Mutex<dyn StateMachine>>) -> Self {
        Self { index: Mutex::new(0), state }
    }
}

impl Group for LocalGroup {
    fn propose(&self, command: Bytes) -> BoxFuture<'_, Result<Bytes, ProposeError>> {
        let mut index = self.index.lock().expect("no panic while locked");
        *index += 1;
        let answer = self.state.lock().expect("no panic while locked").apply(*index, &command);
        Box::pin(std::future::ready(Ok(answer)))
    }

    fn read_barrier(&self) -> BoxFuture<'_, Result<(), ProposeError>> {
        Box::pin(std::future::ready(Ok(())))
    }

    fn leadership(&self) -> Leadership {
        let commit_index = *self.index.lock().expect("no panic while locked");
        Leadership { is_leader: true, lease_valid: true, leader: Some(1), term: 1, commit_index }
    }

    fn replicas(&self) -> Vec<(u64, bool)> {
        vec![(1, true)]
    }
}
