//! Requests of peers that are no hosts of the deployment, which can reach the
//! data port of a host like any other.
//!
//! They hold a part of the slots at most, and their service times are not
//! counted. If no slot is free, the request that has kept its slot waiting for
//! its peer for longest, for its body or for its answer to be read, gives the
//! slot to a request of a host.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Gate, Outcome};

/// Strangers may have one in this many slots, rounded up.
const SLOT_SHARE: usize = 4;
/// Time for which a request must have waited for its peer before it loses its
/// slot: several retransmissions on a link that loses packets.
const MIN_STALL: Duration = Duration::from_millis(500);

/// Time for which a request has waited for its peer.
#[derive(Clone, Copy, Debug, Default)]
struct Stall {
    /// Start of the current wait.
    since: Option<Duration>,
    /// Length of the earlier waits.
    earlier: Duration,
}

impl Stall {
    fn total(&self, now: Duration) -> Duration {
        let current = self.since.map(|since| now.saturating_sub(since));
        self.earlier + current.unwrap_or_default()
    }

    /// Returns when the request may lose its slot, if it goes on waiting.
    fn ripe_at(&self) -> Option<Duration> {
        let left = MIN_STALL.saturating_sub(self.earlier);
        self.since.map(|since| since + left)
    }
}

/// Running and waiting requests of strangers, by id.
#[derive(Debug, Default)]
pub(super) struct Strangers(BTreeMap<u64, Stall>);

impl Strangers {
    pub(super) fn add(&mut self, id: u64) {
        self.0.insert(id, Stall::default());
    }

    pub(super) fn remove(&mut self, id: u64) {
        self.0.remove(&id);
    }

    /// Returns whether a gate with `slots` slots accepts one more request.
    pub(super) fn has_room(&self, slots: usize) -> bool {
        self.0.len() < slots.div_ceil(SLOT_SHARE)
    }

    /// Returns the request that waits for its peer and has done so for longest,
    /// and long enough to lose its slot.
    fn longest_stalled(&self, now: Duration) -> Option<u64> {
        let stalled = self.0.iter().filter(|(_, stall)| stall.since.is_some());
        let (id, stall) = stalled.max_by_key(|(_, stall)| stall.total(now))?;
        (stall.total(now) >= MIN_STALL).then_some(*id)
    }
}

impl Gate {
    /// Records that a request is one of a host after all.
    pub fn recognise(&mut self, id: u64) {
        self.strangers.remove(id);
    }

    /// Records that a running request waits for its peer, a stranger.
    pub fn stall(&mut self, now: Duration, id: u64) {
        if let Some(stall) = self.strangers.0.get_mut(&id) {
            stall.since.get_or_insert(now);
        }
    }

    /// Records that a request no longer waits for its peer.
    pub fn resume(&mut self, now: Duration, id: u64) {
        if let Some(stall) = self.strangers.0.get_mut(&id) {
            stall.earlier = stall.total(now);
            stall.since = None;
        }
    }

    /// Ends a running request of a stranger that waits for its peer, if no slot
    /// is free, and returns its id. The user of the gate cancels the request.
    ///
    /// Must be called before the request of a host arrives.
    pub fn displace_stranger(&mut self, now: Duration) -> Option<u64> {
        self.advance(now);
        // A request that must run alone keeps all slots from others.
        let has_free = self.running.len() < self.limit.value_at(now) && !self.exclusive_running;
        if self.strangers.0.is_empty() || has_free {
            return None;
        }
        let id = self.strangers.longest_stalled(now)?;
        self.finish(now, id, Outcome::Cancelled);
        Some(id)
    }

    /// Like [`Gate::displace_stranger`], if the request of a host waits. Must be
    /// called until it returns `None` before each [`Gate::next_action`].
    pub fn next_displaced(&mut self, now: Duration) -> Option<u64> {
        match self.has_waiting_host() {
            true => self.displace_stranger(now),
            false => None,
        }
    }

    /// Returns when [`Gate::next_displaced`] must be called if nothing else
    /// happens before.
    pub(super) fn displaces_at(&self) -> Option<Duration> {
        let stalls = self.strangers.0.values();
        let first = stalls.filter_map(Stall::ripe_at).min()?;
        self.has_waiting_host().then_some(first)
    }

    fn has_waiting_host(&self) -> bool {
        // Most gates have no strangers and need not look.
        !self.strangers.0.is_empty() && self.waiting.values().any(|request| !request.stranger)
    }
}
