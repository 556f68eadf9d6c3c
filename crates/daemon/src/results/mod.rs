//! Results by class over a sliding window of one minute, counted with atomics.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use savorylane_intent::Snapshot;
use savorylane_intent::document::Class;
use savorylane_wire::operator::Outcome;

/// Time that one bucket covers.
const BUCKET_LENGTH: Duration = Duration::from_secs(5);
/// Number of buckets: twelve for the window, and the one being filled.
const BUCKET_COUNT: usize = 13;
/// Length of the reported window, in seconds.
pub const WINDOW_S: u64 = 60;

/// Counts of one bucket. `period` is the number of the period that they belong
/// to.
#[derive(Debug, Default)]
struct Bucket {
    period: AtomicU64,
    requests: AtomicU64,
    succeeded: AtomicU64,
    in_time: AtomicU64,
}

/// Sliding window of one class.
#[derive(Debug, Default)]
struct Window {
    buckets: [Bucket; BUCKET_COUNT],
}

/// Sliding windows of all classes.
#[derive(Debug)]
pub struct Results {
    start: Instant,
    windows: ArcSwap<HashMap<String, Arc<Window>>>,
}

impl Default for Results {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            windows: ArcSwap::default(),
        }
    }
}

impl Results {
    /// Records that a request of `class` ended.
    pub fn record(&self, class: &Class, latency: Duration, success: bool) {
        let period = self.period();
        let window = self.window(&class.name);
        let bucket = window.bucket(period);
        bucket.requests.fetch_add(1, Ordering::Relaxed);
        if !success {
            return;
        }
        bucket.succeeded.fetch_add(1, Ordering::Relaxed);
        if latency <= Duration::from_millis(class.target.latency_ms.into()) {
            bucket.in_time.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the results of the snapshot's classes over the window.
    pub fn outcomes(&self, snapshot: &Snapshot) -> Vec<Outcome> {
        let period = self.period();
        let windows = self.windows.load();
        let outcome = |class: &Class| {
            let mut outcome = Outcome {
                class: class.name.clone(),
                target: class.target,
                requests: 0,
                succeeded: 0,
                in_time: 0,
            };
            let buckets = windows.get(&class.name).map(|window| &window.buckets);
            for bucket in buckets.into_iter().flatten() {
                if bucket.period.load(Ordering::Relaxed) + (BUCKET_COUNT as u64) <= period {
                    continue;
                }
                outcome.requests += bucket.requests.load(Ordering::Relaxed);
                outcome.succeeded += bucket.succeeded.load(Ordering::Relaxed);
                outcome.in_time += bucket.in_time.load(Ordering::Relaxed);
            }
            outcome
        };
        snapshot.document.classes.iter().map(outcome).collect()
    }

    /// Returns the number of the current period.
    fn period(&self) -> u64 {
        // Starts above the number of buckets, so that an unused bucket, with
        // period 0, is always outside the window.
        (self.start.elapsed().as_millis() / BUCKET_LENGTH.as_millis()) as u64
            + 1
            + BUCKET_COUNT as u64
    }

    fn window(&self, class: &str) -> Arc<Window> {
        if let Some(window) = self.windows.load().get(class) {
            return Arc::clone(window);
        }
        self.windows.rcu(|windows| {
            let mut windows = HashMap::clone(windows);
            windows.entry(class.into()).or_default();
            windows
        });
        Arc::clone(&self.windows.load()[class])
    }
}

impl Window {
    /// Returns the bucket of `period`, which is reset if it holds an older one.
    fn bucket(&self, period: u64) -> &Bucket {
        let bucket = &self.buckets[period as usize % BUCKET_COUNT];
        let previous = bucket.period.load(Ordering::Relaxed);
        let claimed = previous != period
            && bucket
                .period
                .compare_exchange(previous, period, Ordering::Relaxed, Ordering::Relaxed)
                .is_ok();
        // A count that another thread adds between the exchange and the resets
        // is lost. The results are only statistics, and this can happen only
        // once in 5 s.
        if claimed {
            bucket.requests.store(0, Ordering::Relaxed);
            bucket.succeeded.store(0, Ordering::Relaxed);
            bucket.in_time.store(0, Ordering::Relaxed);
        }
        bucket
    }
}
