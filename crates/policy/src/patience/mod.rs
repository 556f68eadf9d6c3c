//! How long the callers of a class wait, and which requests come back after a
//! refusal.
//!
//! A caller that comes back announces the time that it has left, which is less
//! than the time that it announced at first. Its latency target counts from
//! its first request, so it must not take the place of a request that can
//! still be in time.

use std::time::Duration;

/// Time over which announced limits are counted. Limits of the last one or two
/// periods are known.
const PERIOD: Duration = Duration::from_secs(10);
/// Minimum number of counted requests.
const MIN_COUNT: u32 = 16;
/// Minimum share of the requests that announce the longest limit. With less,
/// the callers of the class differ, and a shorter limit says nothing.
const MIN_FULL_SHARE: f64 = 0.25;
/// Share of the longest limit from which on a limit counts as the longest.
/// Callers round, and may take some time between reading their clock and
/// sending.
const FULL_SHARE: f64 = 0.98;

/// Limits announced in one period.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    longest: Duration,
    /// Requests that announced the longest limit.
    full: u32,
    count: u32,
}

/// Limits that the callers of one class announced lately.
#[derive(Debug, Default)]
pub struct Patience {
    current: Window,
    previous: Window,
    since: Duration,
}

impl Patience {
    /// Records the limit that a request announces at `now`, and returns the
    /// time since the first request of its caller; zero if that is not known.
    ///
    /// Load pattern: refused callers come back while the slots are still in
    /// use.
    pub fn observe(&mut self, now: Duration, limit: Duration) -> Duration {
        if now.saturating_sub(self.since) >= PERIOD {
            self.previous = std::mem::take(&mut self.current);
            self.since = now;
        }
        let window = &mut self.current;
        if limit.mul_f64(FULL_SHARE) > window.longest {
            window.longest = limit;
            window.full = 0;
        }
        window.count += 1;
        window.full += u32::from(limit >= window.longest.mul_f64(FULL_SHARE));
        let longest = self.longest();
        if limit >= longest.mul_f64(FULL_SHARE) || !self.is_uniform(longest) {
            return Duration::ZERO;
        }
        longest - limit
    }

    /// Returns the longest limit that was announced lately.
    pub fn longest(&self) -> Duration {
        self.current.longest.max(self.previous.longest)
    }

    /// Returns whether enough callers announced the limit `longest`.
    fn is_uniform(&self, longest: Duration) -> bool {
        let windows = [&self.current, &self.previous];
        let count = windows.iter().map(|window| window.count).sum::<u32>();
        let full = windows
            .iter()
            .filter(|window| window.longest >= longest.mul_f64(FULL_SHARE))
            .map(|window| window.full)
            .sum::<u32>();
        count >= MIN_COUNT && f64::from(full) >= f64::from(count) * MIN_FULL_SHARE
    }
}
