//! Keeps the coverage of an activation over changes of the ring.

use std::time::Duration;

use savorylane_wire::control::Ring;

use super::Tenure;
use super::cover::{Cover, Coverage};
use super::tenure::Answer;

/// Part of a daemon that may act as holder.
#[derive(Clone, Debug)]
pub(super) struct Active {
    /// Number of the host list that all evidence had reached.
    pub number: u64,
    /// Coverage of keys that had another holder before.
    pub fresh: Coverage,
    pub cover: Cover,
}

/// Coverage of an earlier activation that ended with a change of the ring.
#[derive(Clone, Debug)]
pub(super) struct Carried {
    pub cover: Cover,
    /// Time of the oldest question that the activation relied on last.
    pub asked: Duration,
}

impl Tenure {
    /// Ends the activation because of another ring, and keeps its coverage for
    /// the next one.
    pub(super) fn carry(&mut self, now: Duration) {
        let confirmed = now < self.confirmed_until;
        let asked = self.confirmed_until.saturating_sub(self.settings.evidence);
        self.confirmed_until = Duration::ZERO;
        let Some(mut active) = self.active.take() else {
            return;
        };
        if !confirmed {
            self.carried = None;
        } else if self.carried.is_none() {
            let limit = now.checked_sub(self.settings.retention());
            active.cover.rebase(active.number, limit);
            self.carried = Some(Carried {
                cover: active.cover,
                asked,
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
    pub(super) fn resume(&mut self, now: Duration) {
        let (Some(active), Some(carried)) = (&self.active, &self.carried) else {
            return;
        };
        let number = carried.cover.number;
        if self.history.floor >= number {
            self.carried = None;
            return;
        }
        // An unnoticed pause since then makes members look older.
        let wait = self.settings.evidence + self.settings.pause;
        let remembers =
            |answer: &Answer| answer.started + wait <= carried.asked && answer.floor < number;
        let followed = |ring: &Ring| {
            let same = ring.hash == self.ring.hash;
            let number = if same { 0 } else { ring.number };
            self.followed_by(now, ring, number, remembers)
        };
        if !self.since(carried).all(followed) {
            return;
        }
        let (mut cover, fresh) = (carried.cover.clone(), active.fresh);
        for ring in self.since(carried) {
            if ring.hash != self.ring.hash {
                cover.add(ring, fresh);
            }
        }
        self.carried = None;
        if let Some(active) = &mut self.active {
            active.cover = cover;
        }
    }

    /// Limits the coverage by a ring that became known after the activation.
    /// It had no holder, or the coverage would not have been kept; this guards
    /// against a fault in that reasoning at the cost of the ring's keys.
    pub(super) fn note(&mut self, ring: &Ring) {
        if let Some(active) = &mut self.active
            && ring.number >= active.cover.number
        {
            active.cover.add(ring, active.fresh);
        }
    }

    /// Returns the known rings that may have had a holder since the earlier
    /// coverage began.
    pub(super) fn since<'a>(
        &'a self,
        carried: &Carried,
    ) -> impl Iterator<Item = &'a Ring> + use<'a> {
        let number = carried.cover.number;
        let rings = self.history.rings.iter();
        rings.filter(move |ring| ring.number >= number)
    }
}
