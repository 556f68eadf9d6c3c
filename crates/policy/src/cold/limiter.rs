//! Sliding limit of the requests that start in one second.

use std::collections::VecDeque;
use std::time::Duration;

/// Span over which the rate holds.
const WINDOW: Duration = Duration::from_secs(1);
/// Number of parts of the window that share its starts. Without the parts, all
/// starts of a window could fall on its first moment, and requests that arrive
/// later would wait for nearly a second.
const PARTS: usize = 4;
/// Maximum number of starts that are remembered. At a higher rate the limit
/// holds for a proportionally shorter window.
const MAX_STARTS: usize = 1_024;

/// Log of the latest starts, from which a rate limit follows.
///
/// Starts are recorded while no limit is in force as well, so that a limit
/// that comes into force counts the requests that just started.
#[derive(Clone, Debug, Default)]
pub struct Limiter {
    starts: VecDeque<Duration>,
}

impl Limiter {
    /// Records a start at `now` under a limit of `per_s` requests a second.
    pub fn record(&mut self, now: Duration, per_s: usize) {
        self.starts.push_back(now);
        let excess = self.starts.len().saturating_sub(per_s.min(MAX_STARTS));
        self.starts.drain(..excess);
    }

    /// Returns the time from which the next request may start under a limit of
    /// `per_s` requests a second, at least 1.
    ///
    /// In any half-open second at most `per_s` requests start, and in any
    /// quarter of it at most a quarter of them, rounded up.
    pub fn next_start_at(&self, per_s: usize) -> Duration {
        let per_s = per_s.max(1);
        let whole = per_s.min(MAX_STARTS);
        let part = whole.div_ceil(PARTS);
        self.after(whole, per_s).max(self.after(part, per_s))
    }

    /// Returns whether at least `per_s` requests started in the second before
    /// `now`.
    pub fn is_exceeded(&self, now: Duration, per_s: usize) -> bool {
        self.after(per_s.clamp(1, MAX_STARTS), per_s.max(1)) > now
    }

    /// Returns the time at which the last `count` starts, followed by one more,
    /// no longer exceed the rate.
    fn after(&self, count: usize, per_s: usize) -> Duration {
        let span = WINDOW.mul_f64(count as f64 / per_s as f64);
        let first = self.starts.len().checked_sub(count);
        first.map_or(Duration::ZERO, |first| self.starts[first] + span)
    }
}
