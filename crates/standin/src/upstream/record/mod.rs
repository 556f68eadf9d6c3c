//! Counts of the requests that upstreams received and ran.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

/// A request that arrived after its upstream began to drain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Request id.
    pub request: String,
    /// Time from the start of the drain to the arrival.
    pub after: Duration,
}

/// Counts of requests and runs. Several upstreams can share one record.
#[derive(Debug, Default)]
pub struct Record(Mutex<Counts>);

/// Snapshot of the counts of a record.
///
/// Invariant: every started run is completed, stopped or still running.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Runs by idempotency key, or by request id for requests without a key.
    pub runs: HashMap<String, u32>,
    /// Request ids in the order in which their runs started.
    pub order: Vec<String>,
    /// Requests received.
    pub received: u64,
    /// Runs started.
    pub started: u64,
    /// Runs that completed.
    pub completed: u64,
    /// Runs stopped by a closed connection, a timeout or a crash.
    pub stopped: u64,
    /// Requests answered with 503 because the queue was full.
    pub shed: u64,
    /// Requests whose timeout passed before their run started.
    pub expired: u64,
    /// Crashes.
    pub crashes: u64,
    /// Highest number of concurrent requests at one upstream.
    pub max_running: usize,
    /// Requests that arrived after their upstream began to drain.
    pub late: Vec<Arrival>,
}

impl Record {
    /// Returns a snapshot of the counts.
    pub fn counts(&self) -> Counts {
        self.0.lock().unwrap().clone()
    }

    /// Returns the number of runs started for `key`, which is an idempotency
    /// key or, for requests without one, a request id.
    pub fn runs(&self, key: &str) -> u32 {
        self.0.lock().unwrap().runs.get(key).copied().unwrap_or(0)
    }

    pub(super) fn update(&self, change: impl FnOnce(&mut Counts)) {
        change(&mut self.0.lock().unwrap());
    }
}
