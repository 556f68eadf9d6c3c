//! Time that answers take, and the polls that are made from it.

use std::sync::Arc;
use std::time::Duration;

use super::message::Request;
use super::role::Trust;

/// Time for which a poll waits for news.
const WAIT: Duration = Duration::from_millis(600);
/// Time beyond the wait after which a poll of a reader has failed.
const ANSWER_LIMIT: Duration = Duration::from_millis(600);
/// Longest time of an answer that limits are made from.
const DELAY_MAX: Duration = Duration::from_secs(1);
/// Time after which a poll that asks only whether a host is a reader has
/// failed: several round trips to another region. Hosts that are away do not
/// refuse connections.
const LOOK_LIMIT: Duration = Duration::from_millis(300);

/// Time that answers take, as far as it was seen.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Delay(Duration);

impl Delay {
    /// Takes the time that an answer was on its way, both ways together.
    pub(super) fn observe(&mut self, taken: Duration) {
        self.0 = taken.max(self.0 * 7 / 8).min(DELAY_MAX);
    }

    /// Returns a limit for an answer; where answers are slow the own link is
    /// full, and other hosts would answer no sooner.
    fn limit(&self, least: Duration) -> Duration {
        least.max(self.0 * 2)
    }

    /// Returns a poll that asks whether a host is a reader.
    pub(super) fn look(&self, host: Arc<str>) -> Request {
        Request {
            host,
            needs: false,
            wait: Duration::ZERO,
            limit: self.limit(LOOK_LIMIT),
        }
    }

    /// Returns the next poll of a host that is followed.
    pub(super) fn poll(&self, host: Arc<str>, trust: Trust) -> Request {
        match trust {
            Trust::Unknown => self.look(host),
            Trust::Needed => Request {
                needs: true,
                ..self.look(host)
            },
            Trust::Proven => Request {
                host,
                needs: true,
                wait: WAIT,
                limit: WAIT + self.limit(ANSWER_LIMIT),
            },
        }
    }
}
