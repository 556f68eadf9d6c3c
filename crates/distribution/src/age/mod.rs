//! Age of a daemon's knowledge of configurations and host lists.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Age above which a daemon no longer assumes that it knows all routes.
///
/// Exceeds the time that it takes to replace a lost source.
pub const STALE_AFTER: Duration = Duration::from_millis(2_200);

/// Numbers of a configuration version and a host list; 0 stands for none.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Numbers {
    /// Number of the configuration version.
    pub version: u64,
    /// Number of the host list.
    pub list: u64,
}

impl Numbers {
    /// Returns whether at least one number is greater than its counterpart in
    /// `other`.
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        self.version > other.version || self.list > other.list
    }
}

/// Age of a daemon's knowledge. Uses atomics instead of a lock, because every
/// request reads the age.
///
/// Invariant: the time of the last confirmation never decreases.
#[derive(Debug, Default)]
pub struct Age {
    /// Time up to which all changes are known, in milliseconds; 0 stands for
    /// never.
    confirmed_ms: AtomicU64,
    /// Greatest version number that another daemon has reported.
    reported_version: AtomicU64,
    /// Greatest host list number that another daemon has reported.
    reported_list: AtomicU64,
    /// Time at which a number greater than the daemon's own was first reported,
    /// in milliseconds; meaningless while no reported number is greater.
    behind_since_ms: AtomicU64,
}

impl Age {
    /// Records that all changes up to the time `at` are known.
    pub fn confirm(&self, at: Duration) {
        self.confirmed_ms.fetch_max(millis(at), Ordering::Relaxed);
    }

    /// Returns the age at `now`: the time since all changes were last known.
    /// Returns `None` if they never were.
    pub fn at(&self, now: Duration) -> Option<Duration> {
        match self.confirmed_ms.load(Ordering::Relaxed) {
            0 => None,
            at => Some(now.saturating_sub(Duration::from_millis(at))),
        }
    }

    /// Records the numbers that another daemon reported at `now`. Returns
    /// whether they are ahead of `own`, the numbers of this daemon.
    pub fn on_numbers(&self, now: Duration, reported: Numbers, own: Numbers) -> bool {
        if !reported.is_ahead_of(&own) {
            return false;
        }
        if !self.newest_reported().is_ahead_of(&own) {
            self.behind_since_ms.store(millis(now), Ordering::Relaxed);
        }
        self.reported_version
            .fetch_max(reported.version, Ordering::Relaxed);
        self.reported_list
            .fetch_max(reported.list, Ordering::Relaxed);
        true
    }

    /// Returns the greatest numbers that another daemon has reported.
    fn newest_reported(&self) -> Numbers {
        Numbers {
            version: self.reported_version.load(Ordering::Relaxed),
            list: self.reported_list.load(Ordering::Relaxed),
        }
    }

    /// Returns how long ago, at `now`, numbers greater than `own` were first
    /// reported, or `None` if no reported number is greater.
    pub fn lag(&self, now: Duration, own: Numbers) -> Option<Duration> {
        if !self.newest_reported().is_ahead_of(&own) {
            return None;
        }
        let since = Duration::from_millis(self.behind_since_ms.load(Ordering::Relaxed));
        Some(now.saturating_sub(since))
    }

    /// Returns whether routes may exist at `now` that this daemon does not
    /// know, because a version greater than `own` was reported or because the
    /// age exceeds [`STALE_AFTER`].
    pub fn is_stale(&self, now: Duration, own: u64) -> bool {
        let newer = self.reported_version.load(Ordering::Relaxed) > own;
        newer || self.at(now).is_none_or(|age| age > STALE_AFTER)
    }
}

/// Returns whether the store may have been unavailable to all daemons while it
/// did not answer this daemon for the time `lost`, so that leases of running
/// hosts may have lapsed.
///
/// A daemon whose knowledge has a smaller `age` than `lost` has learned the
/// store's content from another daemon in the meantime, so the store was
/// available to others. An age above [`STALE_AFTER`] is no such proof.
pub fn leases_may_have_lapsed(age: Option<Duration>, lost: Duration) -> bool {
    age.is_none_or(|age| age >= lost || age > STALE_AFTER)
}

/// Returns whole milliseconds, at least 1 because 0 stands for never.
fn millis(at: Duration) -> u64 {
    (at.as_millis() as u64).max(1)
}
