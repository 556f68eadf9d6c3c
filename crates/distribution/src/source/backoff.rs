//! Hosts that did not answer, and for how long they are left alone.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time for which a host is left alone after its first failure.
const DELAY_MIN: Duration = Duration::from_secs(1);
/// Longest such time.
const DELAY_MAX: Duration = Duration::from_secs(8);

/// Time after which a past failure is forgotten.
const RESET_AFTER: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug)]
struct Entry {
    until: Duration,
    delay: Duration,
}

/// Backoff by host. The time grows with each failure.
#[derive(Clone, Debug, Default)]
pub(super) struct Backoff(BTreeMap<Arc<str>, Entry>);

impl Backoff {
    /// Takes a failure of `host`.
    pub(super) fn start(&mut self, now: Duration, host: &str) {
        self.0.retain(|_, entry| now < entry.until + RESET_AFTER);
        let delay = match self.0.get(host) {
            Some(entry) if now < entry.until => return,
            Some(entry) => (entry.delay * 2).min(DELAY_MAX),
            None => DELAY_MIN,
        };
        let until = now + delay;
        self.0.insert(host.into(), Entry { until, delay });
    }

    /// Takes an answer of `host`.
    pub(super) fn clear(&mut self, host: &str) {
        self.0.remove(host);
    }

    /// Returns whether `host` is left alone at `now`.
    pub(super) fn is_active(&self, now: Duration, host: &str) -> bool {
        self.0.get(host).is_some_and(|entry| now < entry.until)
    }
}
