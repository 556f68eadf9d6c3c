//! Observed latency of answers, and the timeouts of polls derived from it.

use std::sync::Arc;
use std::time::Duration;

use super::message::Request;
use super::role::Readership;

/// Time for which a poll of a reader may wait for news.
const LONG_POLL_WAIT: Duration = Duration::from_millis(600);
/// Minimum time beyond [`LONG_POLL_WAIT`] after which a poll of a reader has
/// failed.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum latency from which timeouts are derived. A higher observed latency
/// counts as this one.
const MAX_LATENCY: Duration = Duration::from_secs(1);
/// Minimum time after which a poll that only asks whether a host is a reader
/// has failed. Covers several round trips to another region; needed because
/// unreachable hosts do not refuse connections.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(300);

/// Decaying maximum of the observed latencies.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Latency(Duration);

impl Latency {
    /// Records the transit time of a poll and its answer, both directions
    /// together.
    pub(super) fn observe(&mut self, transit: Duration) {
        self.0 = transit.max(self.0 * 7 / 8).min(MAX_LATENCY);
    }

    /// Returns the timeout for an answer, at least `min`.
    ///
    /// The timeout grows with the latency: slow answers mean that the own link
    /// is saturated, and other hosts would not answer any sooner.
    fn timeout(&self, min: Duration) -> Duration {
        min.max(self.0 * 2)
    }

    /// Returns a poll that only asks whether `host` is a reader.
    pub(super) fn discovery_poll(&self, host: Arc<str>) -> Request {
        Request {
            host,
            needs: false,
            wait: Duration::ZERO,
            timeout: self.timeout(DISCOVERY_TIMEOUT),
        }
    }

    /// Returns the next poll of a followed host.
    pub(super) fn next_poll(&self, host: Arc<str>, readership: Readership) -> Request {
        match readership {
            Readership::Unknown => self.discovery_poll(host),
            Readership::Required => Request {
                needs: true,
                ..self.discovery_poll(host)
            },
            Readership::Confirmed => Request {
                host,
                needs: true,
                wait: LONG_POLL_WAIT,
                timeout: LONG_POLL_WAIT + self.timeout(ANSWER_TIMEOUT),
            },
        }
    }
}
