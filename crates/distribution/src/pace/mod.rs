//! How often a large value is read over a link.

use std::time::Duration;

/// Shortest time between two readings of a value that changes all the time, so
/// that a series of changes is read in batches.
pub const PAUSE_MIN: Duration = Duration::from_millis(200);
/// Longest such time, a third of the time within which a change must be in
/// force.
pub const PAUSE_MAX: Duration = Duration::from_millis(800);
/// A reading takes at most one part in this many of the time of a link.
const LINK_SHARE_DIVISOR: u32 = 4;
/// Time of a transfer from which on a link is slow: what lies between two
/// readings is passed over there, and only the newest value is read.
const SLOW_TRANSFER_MIN: Duration = Duration::from_millis(80);

/// Adoptions take at most one part in this many of a daemon's time.
const ADOPTION_SHARE_DIVISOR: u32 = 16;
/// Longest time between two adoptions, a fifth of the time within which a
/// version must be in force.
const ADOPTION_PAUSE_MAX: Duration = Duration::from_millis(500);

/// Returns the time from an adoption that took the time `taken` to the next
/// one. On a host with little processor time versions are passed over.
pub fn adoption_pause(taken: Duration) -> Duration {
    (taken * (ADOPTION_SHARE_DIVISOR - 1)).min(ADOPTION_PAUSE_MAX)
}

/// What the last transfer of a value says of the next one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Pace {
    last_transfer: Duration,
}

impl Pace {
    /// Takes the time that a transfer took from its first to its last byte.
    pub fn on_transfer(&mut self, taken: Duration) {
        self.last_transfer = taken;
    }

    /// Returns the time from the end of a transfer to the next one.
    pub fn pause(&self) -> Duration {
        (self.last_transfer * (LINK_SHARE_DIVISOR - 1)).clamp(PAUSE_MIN, PAUSE_MAX)
    }

    /// Returns whether only the newest value is read after the pause.
    pub fn is_slow(&self) -> bool {
        self.last_transfer >= SLOW_TRANSFER_MIN
    }
}
