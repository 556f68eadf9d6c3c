//! Moments in which a host is slowed.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

const SLOWDOWN_FACTOR: f64 = 10.0;

/// Moments of 0.5 to 5 s in which a host is slowed, 4 to 16 s apart.
pub(crate) fn slow_periods(rng: &mut ChaCha8Rng, slowed: bool) -> Vec<(f64, f64)> {
    let mut periods = Vec::new();
    let mut time = 0.0;
    while time < 100.0 {
        let from = time + rng.random_range(4.0..16.0);
        time = from + rng.random_range(0.5..5.0);
        periods.push((from, time));
    }
    if !slowed {
        periods.clear();
    }
    periods
}

/// Returns when `work` seconds of service end that start at `from`.
pub(crate) fn service_end(periods: &[(f64, f64)], from: f64, work: f64) -> f64 {
    let (mut time, mut remaining) = (from, work);
    for (begin, end) in periods {
        if *end <= time {
            continue;
        }
        if time + remaining <= *begin {
            return time + remaining;
        }
        if *begin > time {
            remaining -= begin - time;
            time = *begin;
        }
        if time + remaining * SLOWDOWN_FACTOR <= *end {
            return time + remaining * SLOWDOWN_FACTOR;
        }
        remaining -= (end - time) / SLOWDOWN_FACTOR;
        time = *end;
    }
    time + remaining
}
