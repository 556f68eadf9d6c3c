//! Exponential backoff with full jitter.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Upper bound of the first random delay.
pub const BASE_DELAY: Duration = Duration::from_millis(50);

/// Upper bound of all random delays, at which the doubling stops.
pub const MAX_DELAY: Duration = Duration::from_secs(30);

/// Backoff state of one repeated operation.
///
/// Full jitter (a uniform random delay from zero to the bound) spreads the
/// retries of hosts that failed at the same moment over the whole interval.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Delay {
    /// Number of delays since the last reset.
    attempts: u8,
}

impl Delay {
    /// Returns a random delay up to the current bound and doubles the bound for
    /// the next call.
    pub fn next<R: Rng>(&mut self, rng: &mut R) -> Duration {
        let bound = self.bound();
        self.attempts = self.attempts.saturating_add(1);
        Duration::from_micros(rng.random_range(0..=bound.as_micros() as u64))
    }

    /// Returns the upper bound of the next delay.
    pub fn bound(&self) -> Duration {
        // 50 ms doubled 10 times exceeds the cap of 30 s, so more doublings
        // would make no difference.
        (BASE_DELAY * (1 << self.attempts.min(10))).min(MAX_DELAY)
    }

    /// Resets the bound to [`BASE_DELAY`]; to be called after a success.
    pub fn reset(&mut self) {
        self.attempts = 0;
    }
}
