//! Coverage that outlives changes of the ring.

use std::time::Duration;

use savorylane_wire::control::Ring;

/// Rings remembered at most, besides the current one.
pub const MAX_HISTORY: usize = 8;

/// Moment from which a holder saw every attempt of its unmarked keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Coverage {
    /// Moment; may lie in the future. `None` stands for all time.
    pub since: Option<Duration>,
    /// The same moment in milliseconds since the Unix epoch.
    pub since_ms: u64,
}

impl Coverage {
    fn later(self, other: Self) -> Self {
        Self {
            since: self.since.max(other.since),
            since_ms: self.since_ms.max(other.since_ms),
        }
    }
}

/// Coverage by key.
#[derive(Clone, Debug)]
pub(super) struct Map {
    /// Coverage of the keys that had one holder in all rings since.
    base: Coverage,
    /// Number of the host list that all evidence had reached at the base.
    /// Rings of older lists had ended by then.
    pub(super) number: u64,
    /// Rings since the base, with the moment at which their holders' evidence
    /// has ended.
    lease_ends: Vec<(Ring, Coverage)>,
}

impl Map {
    pub(super) fn new(number: u64, base: Coverage) -> Self {
        Self {
            base,
            number,
            lease_ends: Vec::new(),
        }
    }

    /// Returns the coverage of a key that `me` holds.
    pub(super) fn get(&self, me: &str, key: &str) -> Coverage {
        self.lease_ends
            .iter()
            .filter(|(ring, _)| super::holder(ring, key) != Some(me))
            .fold(self.base, |sum, (_, end)| sum.later(*end))
    }

    /// Adds a ring whose holders' evidence has ended by `end`.
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

    /// Starts anew at the activation with `number`, if all rings before ended
    /// so long ago that no key depends on them.
    pub(super) fn rebase(&mut self, number: u64, limit: Option<Duration>) {
        let all = self.lease_ends.iter();
        let all = all.fold(self.base, |sum, (_, end)| sum.later(*end));
        if all.since <= limit {
            *self = Self::new(number, all);
        }
    }
}

/// Newest rings that a daemon followed or heard of, and that may have had a
/// holder.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    pub(super) rings: Vec<Ring>,
    /// Number of the newest ring that was dropped for want of room.
    pub(super) floor: u64,
}

impl History {
    /// Adds a ring unless it is older than a dropped one; returns whether it is
    /// new or has a higher number.
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
