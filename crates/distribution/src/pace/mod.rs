//! Rate limits for reading and adopting large values.

use std::time::Duration;

/// Shortest time between two reads of a value that changes continuously, so
/// that a series of changes is read in batches.
pub const MIN_PAUSE: Duration = Duration::from_millis(200);
/// Longest time between two reads of such a value: a third of the time within
/// which a change must be in force.
pub const MAX_PAUSE: Duration = Duration::from_millis(800);
/// Reads occupy a link for at most 1 / `LINK_SHARE_DIVISOR` of the time.
const LINK_SHARE_DIVISOR: u32 = 4;
/// Transfer time from which a link counts as slow. Over a slow link only the
/// newest value is read, and intermediate values are skipped.
const MIN_SLOW_TRANSFER: Duration = Duration::from_millis(80);

/// Adoptions occupy a daemon for at most 1 / `ADOPTION_SHARE_DIVISOR` of the
/// time.
const ADOPTION_SHARE_DIVISOR: u32 = 16;
/// Longest time between two adoptions: a fifth of the time within which a
/// version must be in force.
const MAX_ADOPTION_PAUSE: Duration = Duration::from_millis(500);

/// Returns the pause after an adoption that took the time `taken`. On a host
/// with little processor time the pause makes the daemon skip versions.
pub fn adoption_pause(taken: Duration) -> Duration {
    (taken * (ADOPTION_SHARE_DIVISOR - 1)).min(MAX_ADOPTION_PAUSE)
}

/// Rate limit of one value, derived from the duration of its last transfer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Pace {
    /// Time that the last transfer took from its first to its last byte.
    last_transfer: Duration,
}

impl Pace {
    /// Records the time that a transfer took from its first to its last byte.
    pub fn on_transfer(&mut self, taken: Duration) {
        self.last_transfer = taken;
    }

    /// Returns the pause between the end of a transfer and the next transfer.
    pub fn pause(&self) -> Duration {
        (self.last_transfer * (LINK_SHARE_DIVISOR - 1)).clamp(MIN_PAUSE, MAX_PAUSE)
    }

    /// Returns whether the link is slow, so that only the newest value is read
    /// after the pause.
    pub fn is_slow(&self) -> bool {
        self.last_transfer >= MIN_SLOW_TRANSFER
    }
}
