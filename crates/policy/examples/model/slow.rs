//! Periods in which a host is slowed.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Factor by which service takes longer in a slow period.
const SLOWDOWN_FACTOR: f64 = 10.0;

/// Returns the start and end of random slow periods in seconds: each lasts 0.5
/// to 5 s, and they are 4 to 16 s apart. Returns none unless `slowed`.
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

/// Returns the time at which `work` seconds of service end that begin at
/// `from`.
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
