//! Pace of a host: how long it takes for requests of any class, relative to the
//! mean of their class over all hosts.
//!
//! A host of a service that runs both calls of 20 ms and orders of 150 ms
//! answers an entry that sends it only calls much sooner than one that sends
//! both. Response times of two such hosts cannot be compared, their paces can.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use super::estimate::{micros, smooth};

/// Right shift that gives an answer a weight of a sixteenth in the mean of its
/// class.
const MEAN_SHIFT: u32 = 4;
/// Unit of a pace: thousandths of the mean of the class.
const UNIT: u64 = 1_000;
/// Greatest pace that is recorded. A single answer must not hide a host for
/// long.
const MAX_PACE: u64 = 1_000 * UNIT;

/// Mean time in which the requests of one class are answered, less the round
/// trip, over all hosts that the entry used.
#[derive(Debug, Default)]
pub struct Mean {
    /// Mean in microseconds; 0 before the first answer.
    us: AtomicU64,
}

impl Mean {
    /// Records that a request was answered after `response`, of which
    /// `round_trip` passed on the way.
    pub fn record(&self, response: Duration, round_trip: Duration) {
        let sample = micros(response.saturating_sub(round_trip));
        let known = self.us.load(Ordering::Relaxed);
        let mean = match known {
            0 => sample,
            known if sample > known => known + ((sample - known) >> MEAN_SHIFT),
            known => known - ((known - sample) >> MEAN_SHIFT),
        };
        self.us.store(mean, Ordering::Relaxed);
    }

    /// Returns the mean, if a request was answered.
    pub fn get(&self) -> Option<Duration> {
        let us = self.us.load(Ordering::Relaxed);
        (us > 0).then(|| Duration::from_micros(us))
    }
}

/// Smoothed pace of one host.
#[derive(Debug, Default)]
pub(super) struct Pace(AtomicU64);

impl Pace {
    /// Records that a request was answered after `sample_us` microseconds, when
    /// the mean of its class was `mean_us`.
    pub(super) fn record(&self, sample_us: u64, mean_us: u64) {
        let sample = (sample_us * UNIT / mean_us.max(1)).clamp(1, MAX_PACE);
        let known = self.0.load(Ordering::Relaxed);
        self.0.store(smooth(known, sample), Ordering::Relaxed);
    }

    /// Returns the time in microseconds that the host takes for a request of a
    /// class with the mean `mean`, if its pace is known.
    pub(super) fn expected_us(&self, mean: Duration) -> Option<f64> {
        let pace = self.0.load(Ordering::Relaxed);
        (pace > 0).then(|| mean.as_micros() as f64 * pace as f64 / UNIT as f64)
    }

    /// Forgets the pace.
    pub(super) fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }
}
