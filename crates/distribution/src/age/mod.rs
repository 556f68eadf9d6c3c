//! How old the knowledge of a daemon is.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Age from which on a daemon does not trust that it knows all routes. It is
/// above the time in which a lost source is replaced.
pub const STALE_AFTER: Duration = Duration::from_millis(2_200);

/// Numbers of a configuration and a host list; 0 for none.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Numbers {
    /// Number of the configuration.
    pub version: u64,
    /// Number of the host list.
    pub list: u64,
}

impl Numbers {
    /// Returns whether one of the numbers is greater than in `other`.
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        self.version > other.version || self.list > other.list
    }
}

/// Age of what a daemon knows, read on the path of requests.
///
/// Invariant: the moment of the last confirmation never goes back.
#[derive(Debug, Default)]
pub struct Age {
    /// Moment up to which all changes are known, milliseconds; 0 for never.
    confirmed_ms: AtomicU64,
    /// Greatest numbers that another daemon has named.
    version: AtomicU64,
    list: AtomicU64,
    /// Moment at which a number beyond the own ones was first named,
    /// milliseconds; of no meaning while there is none.
    behind_since_ms: AtomicU64,
}

impl Age {
    /// Takes that all changes up to the moment `at` are known.
    pub fn confirm(&self, at: Duration) {
        self.confirmed_ms.fetch_max(millis(at), Ordering::Relaxed);
    }

    /// Returns the time at `now` since all changes were known; `None` if they
    /// never were.
    pub fn at(&self, now: Duration) -> Option<Duration> {
        match self.confirmed_ms.load(Ordering::Relaxed) {
            0 => None,
            at => Some(now.saturating_sub(Duration::from_millis(at))),
        }
    }

    /// Takes numbers that another daemon named at `now` beside the own ones.
    /// Returns whether they are ahead.
    pub fn on_numbers(&self, now: Duration, reported: Numbers, own: Numbers) -> bool {
        if !reported.is_ahead_of(&own) {
            return false;
        }
        if !self.newest_reported().is_ahead_of(&own) {
            self.behind_since_ms.store(millis(now), Ordering::Relaxed);
        }
        self.version.fetch_max(reported.version, Ordering::Relaxed);
        self.list.fetch_max(reported.list, Ordering::Relaxed);
        true
    }

    fn newest_reported(&self) -> Numbers {
        Numbers {
            version: self.version.load(Ordering::Relaxed),
            list: self.list.load(Ordering::Relaxed),
        }
    }

    /// Returns the time at `now` for which greater numbers than `own` are known
    /// of; `None` if there are none.
    pub fn lag(&self, now: Duration, own: Numbers) -> Option<Duration> {
        if !self.newest_reported().is_ahead_of(&own) {
            return None;
        }
        let since = Duration::from_millis(self.behind_since_ms.load(Ordering::Relaxed));
        Some(now.saturating_sub(since))
    }

    /// Returns whether a route that is not known at `now` may exist: a greater
    /// version than `own` was named, or the knowledge is old.
    pub fn is_stale(&self, now: Duration, own: u64) -> bool {
        let newer = self.version.load(Ordering::Relaxed) > own;
        newer || self.at(now).is_none_or(|age| age > STALE_AFTER)
    }
}

/// Returns whether the store may have been away for all while it gave no answers
/// to a daemon for the time `lost`, so that leases lapsed meanwhile. It was not
/// if another daemon has reported since what it says.
pub fn leases_may_have_lapsed(age: Option<Duration>, lost: Duration) -> bool {
    age.is_none_or(|age| age >= lost || age > STALE_AFTER)
}

/// Returns whole milliseconds, at least 1: 0 stands for none.
fn millis(at: Duration) -> u64 {
    (at.as_millis() as u64).max(1)
}
