//! Coverage of keys, and the rings that limit it.

use std::time::Duration;

use savorylane_wire::control::Ring;

/// Maximum number of rings in a daemon's history. When it is full, the ring
/// with the lowest list number is dropped.
pub const MAX_HISTORY: usize = 8;

/// Time from which a holder has seen every attempt of its keys without attempt
/// numbers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Coverage {
    /// Time by the holder's own clock, possibly in the future. `None` if the
    /// coverage is unlimited.
    pub since: Option<Duration>,
    /// The same time in milliseconds since the Unix epoch.
    pub since_ms: u64,
}

impl Coverage {
    /// Returns the later of two times, which covers fewer attempts.
    fn later(self, other: Self) -> Self {
        Self {
            since: self.since.max(other.since),
            since_ms: self.since_ms.max(other.since_ms),
        }
    }
}

/// Coverage of each key, derived from the rings that had another holder for it.
#[derive(Clone, Debug)]
pub(super) struct Map {
    /// Coverage of keys that had the same holder in all rings since the base.
    base: Coverage,
    /// Number of the host list that all members behind the lease had reached at
    /// the base. No daemon was active under a ring of an older list by then.
    pub(super) list_number: u64,
    /// Rings since the base, with the time by which the leases of their holders
    /// have ended.
    lease_ends: Vec<(Ring, Coverage)>,
}

impl Map {
    pub(super) fn new(list_number: u64, base: Coverage) -> Self {
        Self {
            base,
            list_number,
            lease_ends: Vec::new(),
        }
    }

    /// Returns the coverage of a key that the host `me` holds.
    pub(super) fn get(&self, me: &str, key: &str) -> Coverage {
        self.lease_ends
            .iter()
            .filter(|(ring, _)| super::holder(ring, key) != Some(me))
            .fold(self.base, |sum, (_, end)| sum.later(*end))
    }

    /// Adds a ring whose holders' leases have ended by `end`.
    pub(super) fn add(&mut self, ring: &Ring, end: Coverage) {
        match self
            .lease_ends
            .iter_mut()
            .find(|(old, _)| old.hash == ring.hash)
        {
            Some((old, _)) if old.number >= ring.number => {}
            Some(known) => *known = (ring.clone(), end),
            None => self.lease_ends.push((ring.clone(), end)),
        }
    }

    /// Moves the base to the activation at list `list_number` and drops all
    /// rings, if the base and the lease ends are not after `limit`, that is,
    /// too long ago for any key to depend on them.
    pub(super) fn rebase(&mut self, list_number: u64, limit: Option<Duration>) {
        let all = self.lease_ends.iter();
        let all = all.fold(self.base, |sum, (_, end)| sum.later(*end));
        if all.since <= limit {
            *self = Self::new(list_number, all);
        }
    }
}

/// Newest rings that may have had a holder, out of those that this daemon
/// followed or that other members reported.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    pub(super) rings: Vec<Ring>,
    /// Number of the newest ring that was dropped because the history was full.
    pub(super) floor: u64,
}

impl History {
    /// Adds a ring unless it is empty or its number is at most that of a
    /// dropped ring. Returns whether the ring was unknown or had a lower number
    /// before.
    pub(super) fn add(&mut self, ring: &Ring) -> bool {
        if ring.members.is_empty() {
            return false;
        }
        match self.rings.iter_mut().find(|old| old.hash == ring.hash) {
            Some(old) if old.number >= ring.number => return false,
            Some(old) => old.number = ring.number,
            None if ring.number <= self.floor => return false,
            None => self.rings.push(ring.clone()),
        }
        if self.rings.len() > MAX_HISTORY {
            self.rings.sort_by_key(|ring| ring.number);
            self.floor = self.floor.max(self.rings.remove(0).number);
        }
        true
    }
}
