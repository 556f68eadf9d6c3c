//! Times and bounds of the ledger.

use std::time::Duration;

/// Times and bounds; the same on all daemons of a deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Time after the first attempt of an unmarked key within which all other
    /// attempts reach an entry.
    pub horizon: Duration,
    /// Time for which a member's confirmation counts, from the question.
    pub lease_duration: Duration,
    /// Longest pause of a process that goes unnoticed.
    pub max_undetected_pause: Duration,
    /// Difference allowed between a caller's clock and a holder's.
    pub max_clock_skew: Duration,
    /// Age above which a request is refused, in flight or waiting at the entry.
    pub max_age: Duration,
    /// Keys remembered at most.
    pub max_keys: usize,
    /// Bytes of headers and body kept of one answer.
    pub max_answer_bytes: usize,
    /// Bytes of headers and bodies kept of all answers.
    pub max_total_answer_bytes: usize,
    /// States that no earlier process served within the horizon.
    pub first_start: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            horizon: Duration::from_secs(30),
            // Three questions at the heartbeat period of 1 s.
            lease_duration: Duration::from_secs(3),
            max_undetected_pause: Duration::from_secs(2),
            max_clock_skew: Duration::from_secs(2),
            max_age: Duration::from_secs(10),
            max_keys: 100_000,
            max_answer_bytes: 64 << 10,
            max_total_answer_bytes: 64 << 20,
            first_start: false,
        }
    }
}

impl Settings {
    /// Returns the time for which a key is remembered after its last change.
    /// A request that comes later is above `max_age` or past the horizon.
    pub fn retention(&self) -> Duration {
        self.horizon + self.max_age
    }
}
