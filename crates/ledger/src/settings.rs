//! Durations and limits of the ledger.

use std::time::Duration;

/// Durations and limits. All daemons of a deployment use the same values.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Time after the first attempt of a key without attempt numbers within
    /// which all other attempts reach an entry.
    pub horizon: Duration,
    /// Validity of a member's confirmation, counted from the question.
    pub lease_duration: Duration,
    /// Longest pause of a process that may go undetected.
    pub max_undetected_pause: Duration,
    /// Largest tolerated difference between the clocks of caller and holder.
    pub max_clock_skew: Duration,
    /// Age above which a request is refused. The time in flight and the time
    /// queued at the entry count.
    pub max_age: Duration,
    /// Maximum number of keys with a record.
    pub max_keys: usize,
    /// Maximum size in bytes of one stored answer, headers and body together.
    /// A larger answer is not stored.
    pub max_answer_bytes: usize,
    /// Maximum size in bytes of all stored answers together.
    pub max_total_answer_bytes: usize,
    /// Whether the operator asserts that no earlier process served keys within
    /// the horizon.
    pub first_start: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            horizon: Duration::from_secs(30),
            // Spans three questions at an interval of 1 s. The daemon asks at
            // other intervals and overrides this duration.
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
    /// Returns how long the record of a key is kept after the last outcome. A
    /// request that arrives later is older than `max_age` or past the horizon.
    pub fn retention(&self) -> Duration {
        self.horizon + self.max_age
    }
}
