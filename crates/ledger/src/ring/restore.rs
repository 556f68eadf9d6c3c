//! Keeps the coverage of an activation over changes of the ring.

use std::time::Duration;

use savorylane_wire::control::Ring;

use super::Lease;
use super::coverage::{Coverage, Map};
use super::lease::Vote;

/// Part of a daemon that may act as holder.
#[derive(Clone, Debug)]
pub(super) struct Activation {
    /// Number of the host list that all evidence had reached.
    pub number: u64,
    /// Coverage of keys that had another holder before.
    pub initial: Coverage,
    pub coverage: Map,
}

/// Coverage of an earlier activation that ended with a change of the ring.
#[derive(Clone, Debug)]
pub(super) struct Saved {
    pub coverage: Map,
    /// Time of the oldest question that the activation relied on last.
    pub last_asked: Duration,
}

impl Lease {
    /// Ends the activation because of another ring, and keeps its coverage for
    /// the next one.
    pub(super) fn save_coverage(&mut self, now: Duration) {
        let confirmed = now < self.confirmed_until;
        let last_asked = self
            .confirmed_until
            .saturating_sub(self.settings.lease_duration);
        self.confirmed_until = Duration::ZERO;
        let Some(mut active) = self.active.take() else {
            return;
        };
        if !confirmed {
            self.saved = None;
        } else if self.saved.is_none() {
            let limit = now.checked_sub(self.settings.retention());
            active.coverage.rebase(active.number, limit);
            self.saved = Some(Saved {
                coverage: active.coverage,
                last_asked,
            });
        }
    }

    /// Takes the earlier coverage into the present activation as soon as all
    /// rings are known that had a holder in between.
    ///
    /// The first unknown ring would have become active by a majority of a
    /// known one that followed it. This majority shares a member with the one
    /// that is seen here to follow the current ring. That member has run since
    /// before the earlier activation ended, so it remembers the unknown ring.
    /// The word of another member that a ring has been retired does not
    /// suffice: the majority that it saw is not seen here.
    pub(super) fn restore_coverage(&mut self, now: Duration) {
        let (Some(active), Some(saved)) = (&self.active, &self.saved) else {
            return;
        };
        let number = saved.coverage.number;
        if self.history.floor >= number {
            self.saved = None;
            return;
        }
        // An unnoticed pause since then makes members look older.
        let wait = self.settings.lease_duration + self.settings.max_undetected_pause;
        let remembers =
            |vote: &Vote| vote.started + wait <= saved.last_asked && vote.floor < number;
        let followed = |ring: &Ring| {
            let current = ring.hash == self.ring.hash;
            let number = if current { 0 } else { ring.number };
            self.majority_followed(now, ring, number, remembers)
        };
        if !self.rings_since(saved).all(followed) {
            return;
        }
        let (mut coverage, initial) = (saved.coverage.clone(), active.initial);
        for ring in self.rings_since(saved) {
            if ring.hash != self.ring.hash {
                coverage.add(ring, initial);
            }
        }
        self.saved = None;
        if let Some(active) = &mut self.active {
            active.coverage = coverage;
        }
    }

    /// Limits the coverage by a ring that became known after the activation.
    /// It had no holder, or the coverage would not have been kept; this guards
    /// against a fault in that reasoning at the cost of the ring's keys.
    pub(super) fn limit_coverage(&mut self, ring: &Ring) {
        if let Some(active) = &mut self.active
            && ring.number >= active.coverage.number
        {
            active.coverage.add(ring, active.initial);
        }
    }

    /// Returns the known rings that may have had a holder since the earlier
    /// coverage began.
    pub(super) fn rings_since<'a>(
        &'a self,
        saved: &Saved,
    ) -> impl Iterator<Item = &'a Ring> + use<'a> {
        let number = saved.coverage.number;
        let rings = self.history.rings.iter();
        rings.filter(move |ring| ring.number >= number)
    }
}
