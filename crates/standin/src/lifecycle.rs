//! Runs of a mock endpoint, and the totals that are kept across them.

use std::{
    fmt,
    net::SocketAddr,
    sync::{
        Mutex, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::{config::LifecycleConfig, stall::StallFlag};

/// Error of `serve` after a crash, if `exit_on_crash` is set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crashed;

impl fmt::Display for Crashed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the mock endpoint crashed")
    }
}

impl std::error::Error for Crashed {}

/// Totals of a mock endpoint over all runs, and its present load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Number of the present run.
    pub run: u64,
    /// Crashes, over all runs.
    pub crashes: u64,
    /// Calls whose execution was started, over all runs.
    pub executions: u64,
    /// Calls that ended before their response was complete, over all runs: the caller closed the
    /// connection, an order released the program, or the endpoint crashed.
    pub cancelled: u64,
    /// Tokens generated, over all runs. Always 0 for a service.
    pub tokens: u64,
    /// Calls that run at present.
    pub running: u32,
    /// Calls in the queue at present. Always 0 for a service.
    pub queued: u32,
    /// Programs that have calls at present, or have stored a prompt and were not released since.
    /// Always 0 for a service.
    pub held_programs: usize,
}

/// The totals of [`Counters`].
#[derive(Debug, Default)]
pub(crate) struct Totals {
    pub(crate) crashes: AtomicU64,
    pub(crate) executions: AtomicU64,
    pub(crate) cancelled: AtomicU64,
    pub(crate) tokens: AtomicU64,
}

impl Totals {
    pub(crate) fn add(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn counters(&self) -> Counters {
        Counters {
            crashes: self.crashes.load(Ordering::Relaxed),
            executions: self.executions.load(Ordering::Relaxed),
            cancelled: self.cancelled.load(Ordering::Relaxed),
            tokens: self.tokens.load(Ordering::Relaxed),
            ..Counters::default()
        }
    }
}

/// One run, from its start to a crash or a stop.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) number: u64,
    pub(crate) started: Instant,
    /// Cancelled by a crash.
    pub(crate) crashed: CancellationToken,
}

/// The present run of an endpoint, and what outlives it.
#[derive(Debug)]
pub(crate) struct Lifecycle {
    pub(crate) cfg: LifecycleConfig,
    pub(crate) totals: Totals,
    run: Mutex<Run>,
    /// Flag shared by the connections that were opened since the last stall.
    stall_flag: Mutex<StallFlag>,
    address: OnceLock<SocketAddr>,
}

impl Lifecycle {
    pub(crate) fn new(cfg: LifecycleConfig) -> Self {
        let run = Run {
            number: cfg.first_run,
            started: Instant::now(),
            crashed: CancellationToken::new(),
        };
        Self {
            cfg,
            totals: Totals::default(),
            run: Mutex::new(run),
            stall_flag: Mutex::default(),
            address: OnceLock::new(),
        }
    }

    pub(crate) fn run(&self) -> Run {
        self.run.lock().expect("mutex is poisoned").clone()
    }

    /// Ends the present run: all connections are closed without a response.
    pub(crate) fn crash(&self) {
        let run = self.run();
        if !run.crashed.is_cancelled() {
            log::warn!(run = run.number; "mock endpoint crashed");
            Totals::add(&self.totals.crashes);
            run.crashed.cancel();
        }
    }

    /// Returns the stall flag for a new connection.
    pub(crate) fn stall_flag(&self) -> StallFlag {
        self.stall_flag.lock().expect("mutex is poisoned").clone()
    }

    /// Makes all open connections stop responding. New ones are not affected.
    pub(crate) fn stall(&self) {
        let stall_flag = std::mem::take(&mut *self.stall_flag.lock().expect("mutex is poisoned"));
        stall_flag.store(true, Ordering::Relaxed);
    }

    pub(crate) fn begin_run(&self) {
        let mut run = self.run.lock().expect("mutex is poisoned");
        *run = Run {
            number: run.number + 1,
            started: Instant::now(),
            crashed: CancellationToken::new(),
        };
    }

    /// Returns the address that the endpoint serves on, or `None` before it serves.
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        self.address.get().copied()
    }

    pub(crate) fn set_address(&self, address: SocketAddr) {
        // The address is the same in all runs, so a second call has nothing to change.
        let _ = self.address.set(address);
    }
}
