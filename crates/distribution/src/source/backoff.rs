//! Hosts that did not answer, and for how long they are left alone.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Time for which a host is left alone after its first failure.
const FIRST: Duration = Duration::from_secs(1);
/// Longest such time.
const LONGEST: Duration = Duration::from_secs(8);

/// Time after which a past failure is forgotten.
const FORGOTTEN: Duration = Duration::from_secs(30);

#[derive(Clone, Copy, Debug)]
struct Outage {
    until: Duration,
    length: Duration,
}

/// Outages by host. The time grows with each failure.
#[derive(Clone, Debug, Default)]
pub(super) struct Outages(BTreeMap<Arc<str>, Outage>);

impl Outages {
    /// Takes a failure of `host`.
    pub(super) fn begin(&mut self, now: Duration, host: &str) {
        self.0.retain(|_, outage| now < outage.until + FORGOTTEN);
        let length = match self.0.get(host) {
            Some(known) if now < known.until => return,
            Some(known) => (known.length * 2).min(LONGEST),
            None => FIRST,
        };
        let until = now + length;
        self.0.insert(host.into(), Outage { until, length });
    }

    /// Takes an answer of `host`.
    pub(super) fn end(&mut self, host: &str) {
        self.0.remove(host);
    }

    /// Returns whether `host` is left alone at `now`.
    pub(super) fn lasts(&self, now: Duration, host: &str) -> bool {
        self.0.get(host).is_some_and(|outage| now < outage.until)
    }
}
