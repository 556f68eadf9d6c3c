//! Backoff for hosts that did not answer, or not as the role required.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Backoff after the first failure of a host.
const BASE_DELAY: Duration = Duration::from_secs(1);
/// Longest backoff of a host.
const MAX_DELAY: Duration = Duration::from_secs(8);

/// Time after the end of a backoff after which the backoff is forgotten. The
/// next failure of the host then counts as the first one.
const RESET_AFTER: Duration = Duration::from_secs(30);

/// Backoff of one host.
#[derive(Clone, Copy, Debug)]
struct Entry {
    /// End of the backoff.
    until: Duration,
    /// Length of the backoff.
    delay: Duration,
}

/// Backoff by host. The delay doubles with each failure.
#[derive(Clone, Debug, Default)]
pub(super) struct Backoff(BTreeMap<Arc<str>, Entry>);

impl Backoff {
    /// Starts the backoff of `host`, unless it is active already.
    pub(super) fn start(&mut self, now: Duration, host: &str) {
        self.0.retain(|_, entry| now < entry.until + RESET_AFTER);
        let delay = match self.0.get(host) {
            Some(entry) if now < entry.until => return,
            Some(entry) => (entry.delay * 2).min(MAX_DELAY),
            None => BASE_DELAY,
        };
        let until = now + delay;
        self.0.insert(host.into(), Entry { until, delay });
    }

    /// Clears the backoff of `host`, which answered with recent knowledge.
    pub(super) fn clear(&mut self, host: &str) {
        self.0.remove(host);
    }

    /// Returns whether `host` must not be polled at `now`.
    pub(super) fn is_active(&self, now: Duration, host: &str) -> bool {
        self.0.get(host).is_some_and(|entry| now < entry.until)
    }
}
