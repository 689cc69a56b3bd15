//! The runs of a stand-in, and what is counted across them.

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

/// The stand-in crashed and is set to end then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crashed;

impl fmt::Display for Crashed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the stand-in crashed")
    }
}

impl std::error::Error for Crashed {}

/// What a stand-in has counted since it was created, over all runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Number of the present run.
    pub run: u64,
    /// Crashes.
    pub crashes: u64,
    /// Calls that were started.
    pub executions: u64,
    /// Calls that ended before their answer was complete: the caller closed the connection, an
    /// order released the program, or the stand-in crashed.
    pub cancelled: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Calls running now.
    pub running: u32,
    /// Calls waiting now.
    pub queued: u32,
    /// Programs that memory or streams are held for now.
    pub held_programs: usize,
}

/// Totals behind [`Counters`].
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

/// One run, from a start to a crash or a stop.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) number: u64,
    pub(crate) started: Instant,
    /// Cancelled by a crash.
    pub(crate) crashed: CancellationToken,
}

/// The present run.
#[derive(Debug)]
pub(crate) struct Lifecycle {
    pub(crate) cfg: LifecycleConfig,
    pub(crate) totals: Totals,
    run: Mutex<Run>,
    /// Flag of the connections opened since the last stall.
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
        self.run.lock().expect("no panic while locked").clone()
    }

    /// Ends the present run: all connections are closed without an answer.
    pub(crate) fn crash(&self) {
        let run = self.run();
        if !run.crashed.is_cancelled() {
            log::warn!(run = run.number; "stand-in crashes");
            Totals::add(&self.totals.crashes);
            run.crashed.cancel();
        }
    }

    /// Flag of a new connection.
    pub(crate) fn stall_flag(&self) -> StallFlag {
        self.stall_flag.lock().expect("no panic while locked").clone()
    }

    /// Makes all open connections stop responding. New ones work.
    pub(crate) fn stall(&self) {
        let stall_flag =
            std::mem::take(&mut *self.stall_flag.lock().expect("no panic while locked"));
        stall_flag.store(true, Ordering::Relaxed);
    }

    pub(crate) fn begin_run(&self) {
        let mut run = self.run.lock().expect("no panic while locked");
        *run = Run {
            number: run.number + 1,
            started: Instant::now(),
            crashed: CancellationToken::new(),
        };
    }

    /// Address that the stand-in serves at, once it does.
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        self.address.get().copied()
    }

    pub(crate) fn set_address(&self, address: SocketAddr) {
        // A stand-in keeps its address over all runs.
        let _ = self.address.set(address);
    }
}
