//! Preserves the coverage of an activation across changes of the ring.

use std::time::Duration;

use savorylane_wire::control::Ring;

use super::Lease;
use super::coverage::{Coverage, Map};
use super::lease::Vote;

/// Period in which a daemon may act as holder under one ring.
#[derive(Clone, Debug)]
pub(super) struct Activation {
    /// Number of the host list that all members behind the lease had reached at
    /// the activation.
    pub list_number: u64,
    /// Coverage of keys that had another holder before the activation.
    pub initial: Coverage,
    /// Coverage of each key that the daemon holds.
    pub coverage: Map,
}

/// Coverage of an activation that ended with a change of the ring.
#[derive(Clone, Debug)]
pub(super) struct Saved {
    /// Coverage of each key that the daemon held.
    pub coverage: Map,
    /// Time of the oldest question on which the lease last relied.
    pub last_asked: Duration,
}

impl Lease {
    /// Ends the activation because of another ring, and saves its coverage for
    /// the next activation.
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
            active.coverage.rebase(active.list_number, limit);
            self.saved = Some(Saved {
                coverage: active.coverage,
                last_asked,
            });
        }
    }

    /// Restores the saved coverage in the current activation, once this daemon
    /// knows all rings that had a holder since the saved activation.
    ///
    /// For each known ring, this daemon requires that a majority of its members
    /// follow the current ring, and that these members have run and kept their
    /// history since before the saved activation ended. No ring is then
    /// unknown:
    ///
    /// - A holder of the first unknown ring became active only after a majority
    ///   of a known ring had followed the unknown ring.
    /// - That majority shares a member with the majority of the same ring that
    ///   is required here.
    /// - The shared member still has the unknown ring in its history and would
    ///   have reported it.
    ///
    /// It is not enough that another member reports a ring as retired, because
    /// this daemon has not seen the majority behind that report.
    pub(super) fn restore_coverage(&mut self, now: Duration) {
        let (Some(active), Some(saved)) = (&self.active, &self.saved) else {
            return;
        };
        let number = saved.coverage.list_number;
        if self.history.floor >= number {
            self.saved = None;
            return;
        }
        // After an undetected pause, members appear to have started earlier
        // than they did.
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
    ///
    /// The ring had no holder, or else the coverage would not have been
    /// restored. The limit guards against a fault in that reasoning. It costs
    /// the coverage of keys that another member held in the ring.
    pub(super) fn limit_coverage(&mut self, ring: &Ring) {
        if let Some(active) = &mut self.active
            && ring.number >= active.coverage.list_number
        {
            active.coverage.add(ring, active.initial);
        }
    }

    /// Returns the known rings that may have had a holder since the base of the
    /// saved coverage.
    pub(super) fn rings_since<'a>(
        &'a self,
        saved: &Saved,
    ) -> impl Iterator<Item = &'a Ring> + use<'a> {
        let number = saved.coverage.list_number;
        let rings = self.history.rings.iter();
        rings.filter(move |ring| ring.number >= number)
    }
}
