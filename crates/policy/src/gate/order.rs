//! Order of service between classes.

use savorylane_intent::document;

use super::{Class, Gate, Request};

/// Rank of nested requests, before that of every shed order.
const NESTED_RANK: u16 = 0;
/// Minimum ratio of the longest expected service time of the other classes to
/// that of a nested request that goes before them. Among requests of about
/// the same work, the shed order decides alone.
const MIN_WORK_RATIO: f64 = 2.0;

/// Returns the rank of a request that goes by its shed order.
fn rank_by_shed_order(request: &Request) -> u16 {
    NESTED_RANK + 1 + u16::from(request.shed_order)
}

impl Gate {
    /// Returns the rank of a request: those with a lower rank are served
    /// first, and those with a higher one are displaced first.
    ///
    /// Load pattern: short calls of running work beside longer requests. A
    /// refused call costs the slot time of its parent as well, and an accepted
    /// one takes little slot time from others. It therefore goes first, while
    /// all other requests go by their shed order.
    pub(super) fn rank(&self, request: &Request) -> u16 {
        let by_shed_order = rank_by_shed_order(request);
        if !request.nested || request.length == document::Work::Long {
            return by_shed_order;
        }
        let service_us = self
            .classes
            .get(&request.class)
            .map_or(0.0, |class| class.service_us);
        let others = self
            .classes
            .values()
            .filter(|class| !class.nested && class.length == document::Work::Short);
        let longest_us = others.map(|class| class.service_us).fold(0.0, f64::max);
        let short = service_us > 0.0 && longest_us >= service_us * MIN_WORK_RATIO;
        if short { NESTED_RANK } else { by_shed_order }
    }

    /// Returns the number of slots in which nested requests go first.
    fn max_nested_first(&self) -> usize {
        self.effective_limit().div_ceil(2)
    }

    /// Returns the number of slots that a class can take from classes with a
    /// higher rank.
    pub(super) fn max_slots_first(&self, class: &Class) -> f64 {
        match class.rank {
            NESTED_RANK => self.max_nested_first() as f64,
            _ => f64::INFINITY,
        }
    }

    /// Returns the rank with which a queued class competes for the next slot.
    ///
    /// Nested requests go first in half of the slots only, so that no flood of
    /// them starves other classes.
    pub(super) fn rank_now(&self, class: &Class) -> u16 {
        if class.rank != NESTED_RANK {
            return class.rank;
        }
        let running = self.running.values();
        let nested = running.filter(|running| running.request.nested).count();
        if nested < self.max_nested_first() {
            NESTED_RANK
        } else {
            u16::MAX
        }
    }
}
