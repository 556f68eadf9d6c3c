//! Waiting requests of one class.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Callers without waiting work that are remembered before they are pruned.
const CALLERS_MAX: usize = 512;

/// Requests of one caller, in order of deadline.
#[derive(Debug, Default)]
struct Flow {
    /// Round in which the caller's next request is due (start-time fair
    /// queueing with unit cost).
    round: u64,
    waiting: BTreeSet<(Duration, u64)>,
}

/// Queue in order of deadline that callers share fairly.
///
/// Each caller has one request served per round. Within a round, the earliest
/// deadline is served first, so callers with one request each are served in
/// order of deadline.
///
/// Invariant: `len` is the sum of the callers' waiting requests.
#[derive(Debug, Default)]
pub(super) struct Queue {
    callers: BTreeMap<u64, Flow>,
    round: u64,
    len: usize,
}

impl Queue {
    /// Returns the number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Adds a request.
    pub(super) fn push(&mut self, caller: u64, deadline: Duration, id: u64) {
        let round = self.round;
        let flow = self.callers.entry(caller).or_default();
        if flow.waiting.is_empty() {
            flow.round = flow.round.max(round);
        }
        let added = flow.waiting.insert((deadline, id));
        assert!(added, "a request is queued once");
        self.len += 1;
    }

    /// Returns the deadline and id of the request that is served next.
    pub(super) fn first(&self) -> Option<(Duration, u64)> {
        self.callers
            .values()
            .filter_map(|flow| Some((flow.round, *flow.waiting.first()?)))
            .min()
            .map(|(_, request)| request)
    }

    /// Returns the request that is given up first: the latest one of the
    /// caller that has most.
    pub(super) fn victim(&self) -> Option<(Duration, u64)> {
        self.callers
            .values()
            .filter_map(|flow| Some((flow.waiting.len(), *flow.waiting.last()?)))
            .max()
            .map(|(_, request)| request)
    }

    /// Returns the requests of the caller that has most.
    pub(super) fn largest_flow(&self) -> usize {
        self.callers
            .values()
            .map(|flow| flow.waiting.len())
            .max()
            .unwrap_or(0)
    }

    /// Returns the requests of one caller.
    pub(super) fn len_of(&self, caller: u64) -> usize {
        self.callers
            .get(&caller)
            .map_or(0, |flow| flow.waiting.len())
    }

    /// Returns how many waiting requests are served before a new request of
    /// `caller` with `deadline`.
    pub(super) fn ahead(&self, caller: u64, deadline: Duration) -> usize {
        let own = self.callers.get(&caller);
        let earlier = own.map_or(0, |flow| {
            flow.waiting
                .iter()
                .take_while(|(other, _)| *other <= deadline)
                .count()
        });
        // All of a round count, also those with a later deadline: work that is
        // sent again has less time left, and would otherwise be admitted in
        // place of work that is admitted already.
        let others = self
            .callers
            .iter()
            .filter(|(other, _)| **other != caller)
            .map(|(_, flow)| flow.waiting.len().min(earlier + 1))
            .sum::<usize>();
        earlier + others
    }

    /// Returns how many waiting requests have a deadline up to `deadline`.
    pub(super) fn due_by(&self, deadline: Duration) -> usize {
        self.callers
            .values()
            .map(|flow| {
                let waiting = flow.waiting.iter();
                waiting.take_while(|(other, _)| *other <= deadline).count()
            })
            .sum()
    }

    /// Takes the request that is served next and charges its caller.
    pub(super) fn pop(&mut self, caller: u64, deadline: Duration, id: u64) {
        if let Some(flow) = self.callers.get_mut(&caller) {
            self.round = self.round.max(flow.round);
            flow.round += 1;
        }
        self.remove(caller, deadline, id);
    }

    /// Takes out a request that is not served.
    pub(super) fn remove(&mut self, caller: u64, deadline: Duration, id: u64) {
        let flow = self.callers.get_mut(&caller);
        let removed = flow.is_some_and(|flow| flow.waiting.remove(&(deadline, id)));
        assert!(removed, "a request leaves the queue once");
        self.len -= 1;
        if self.callers.len() > CALLERS_MAX {
            self.callers.retain(|_, flow| !flow.waiting.is_empty());
        }
    }
}
