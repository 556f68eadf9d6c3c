//! Exponential delay with full jitter.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Upper bound of the first delay.
pub const BASE: Duration = Duration::from_millis(50);

/// Upper bound of every delay.
pub const CAP: Duration = Duration::from_secs(30);

/// Delay before the next attempt of one repeated operation.
///
/// Full jitter spreads the attempts of a fleet that failed at one moment over
/// the whole interval.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Delay {
    attempts: u8,
}

impl Delay {
    /// Returns a random delay up to the present bound and doubles the bound.
    pub fn next<R: Rng>(&mut self, rng: &mut R) -> Duration {
        let bound = self.bound();
        self.attempts = self.attempts.saturating_add(1);
        Duration::from_micros(rng.random_range(0..=bound.as_micros() as u64))
    }

    /// Returns the upper bound of the next delay.
    pub fn bound(&self) -> Duration {
        // 50 ms doubled 10 times exceeds the cap of 30 s.
        (BASE * (1 << self.attempts.min(10))).min(CAP)
    }

    /// Returns to the first delay, after a success.
    pub fn reset(&mut self) {
        self.attempts = 0;
    }
}
