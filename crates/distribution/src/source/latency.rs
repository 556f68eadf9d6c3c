//! Time that answers take, and the polls that are made from it.

use std::sync::Arc;
use std::time::Duration;

use super::message::Request;
use super::role::Trust;

/// Time for which a poll waits for news.
const LONG_POLL_WAIT: Duration = Duration::from_millis(600);
/// Time beyond the wait after which a poll of a reader has failed.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);
/// Longest time of an answer that limits are made from.
const LATENCY_MAX: Duration = Duration::from_secs(1);
/// Time after which a poll that asks only whether a host is a reader has
/// failed: several round trips to another region. Hosts that are away do not
/// refuse connections.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(300);

/// Time that answers take, as far as it was seen.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Latency(Duration);

impl Latency {
    /// Takes the time that an answer was on its way, both ways together.
    pub(super) fn observe(&mut self, transit: Duration) {
        self.0 = transit.max(self.0 * 7 / 8).min(LATENCY_MAX);
    }

    /// Returns a limit for an answer; where answers are slow the own link is
    /// full, and other hosts would answer no sooner.
    fn timeout(&self, min: Duration) -> Duration {
        min.max(self.0 * 2)
    }

    /// Returns a poll that asks whether a host is a reader.
    pub(super) fn discovery_poll(&self, host: Arc<str>) -> Request {
        Request {
            host,
            needs: false,
            wait: Duration::ZERO,
            timeout: self.timeout(DISCOVERY_TIMEOUT),
        }
    }

    /// Returns the next poll of a host that is followed.
    pub(super) fn next_poll(&self, host: Arc<str>, trust: Trust) -> Request {
        match trust {
            Trust::Unknown => self.discovery_poll(host),
            Trust::Needed => Request {
                needs: true,
                ..self.discovery_poll(host)
            },
            Trust::Proven => Request {
                host,
                needs: true,
                wait: LONG_POLL_WAIT,
                timeout: LONG_POLL_WAIT + self.timeout(ANSWER_TIMEOUT),
            },
        }
    }
}
