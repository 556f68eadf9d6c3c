//! Moments in which a host is slowed.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

const SLOWDOWN: f64 = 10.0;

/// Moments of 0.5 to 5 s in which a host is slowed, 4 to 16 s apart.
pub(crate) fn slow_moments(rng: &mut ChaCha8Rng, slowed: bool) -> Vec<(f64, f64)> {
    let mut moments = Vec::new();
    let mut time = 0.0;
    while time < 100.0 {
        let from = time + rng.random_range(4.0..16.0);
        time = from + rng.random_range(0.5..5.0);
        moments.push((from, time));
    }
    if !slowed {
        moments.clear();
    }
    moments
}

/// Returns when `work` seconds of service end that start at `from`.
pub(crate) fn end_of(slow: &[(f64, f64)], from: f64, work: f64) -> f64 {
    let (mut time, mut left) = (from, work);
    for (begin, end) in slow {
        if *end <= time {
            continue;
        }
        if time + left <= *begin {
            return time + left;
        }
        if *begin > time {
            left -= begin - time;
            time = *begin;
        }
        if time + left * SLOWDOWN <= *end {
            return time + left * SLOWDOWN;
        }
        left -= (end - time) / SLOWDOWN;
        time = *end;
    }
    time + left
}
