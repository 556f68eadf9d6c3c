//! What upstreams ran.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

/// Work that arrived after its upstream began to drain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Request id.
    pub request: String,
    /// Time since the drain began.
    pub after: Duration,
}

/// Counts of runs. Several upstreams can share one record.
#[derive(Debug, Default)]
pub struct Record(Mutex<Counts>);

/// Counts at one moment.
///
/// Invariant: every started run is completed, stopped or still running.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Runs by idempotency key, or by request id for work without one.
    pub runs: HashMap<String, u32>,
    /// Request ids in the order in which the runs started.
    pub order: Vec<String>,
    /// Requests received.
    pub received: u64,
    /// Runs started.
    pub started: u64,
    /// Runs that completed.
    pub completed: u64,
    /// Runs stopped by a closed connection, a timeout or a crash.
    pub stopped: u64,
    /// Requests answered 503 because the queue was full.
    pub shed: u64,
    /// Requests whose timeout passed before they ran.
    pub expired: u64,
    /// Crashes.
    pub crashes: u64,
    /// Most requests in progress at one upstream at the same time.
    pub max_running: usize,
    /// Work that arrived after a drain began.
    pub late: Vec<Arrival>,
}

impl Record {
    /// Returns the counts so far.
    pub fn counts(&self) -> Counts {
        self.0.lock().unwrap().clone()
    }

    /// Returns how often the work of `key` (or request id) was run.
    pub fn runs(&self, key: &str) -> u32 {
        self.0.lock().unwrap().runs.get(key).copied().unwrap_or(0)
    }

    pub(super) fn update(&self, change: impl FnOnce(&mut Counts)) {
        change(&mut self.0.lock().unwrap());
    }
}
