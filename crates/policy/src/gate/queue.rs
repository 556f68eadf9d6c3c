//! Fair queue of the waiting requests of one class.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Number of callers above which those without waiting requests are dropped.
const MAX_CALLERS: usize = 512;

/// Waiting requests of one caller.
#[derive(Debug, Default)]
struct Flow {
    /// Round in which the caller's next request is served, as in start-time
    /// fair queueing with unit cost.
    round: u64,
    /// Deadline and id of each request.
    waiting: BTreeSet<(Duration, u64)>,
}

/// Earliest-deadline-first queue that its callers share fairly.
///
/// Each caller has one request served per round. Within a round, the request
/// with the earliest deadline is served first, so callers with one request
/// each are served in order of deadline.
///
/// Invariant: `len` is the total number of waiting requests of all callers.
#[derive(Debug, Default)]
pub(super) struct Queue {
    callers: BTreeMap<u64, Flow>,
    /// Latest round from which a request was served.
    round: u64,
    len: usize,
}

impl Queue {
    /// Returns the number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Adds a request to the queue.
    ///
    /// # Panics
    ///
    /// Panics if the request is already queued.
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

    /// Returns the deadline and id of the request to serve next.
    pub(super) fn first(&self) -> Option<(Duration, u64)> {
        self.callers
            .values()
            .filter_map(|flow| Some((flow.round, *flow.waiting.first()?)))
            .min()
            .map(|(_, request)| request)
    }

    /// Returns the deadline and id of the request to evict first: the one with
    /// the latest deadline of the caller with most waiting requests.
    pub(super) fn victim(&self) -> Option<(Duration, u64)> {
        self.callers
            .values()
            .filter_map(|flow| Some((flow.waiting.len(), *flow.waiting.last()?)))
            .max()
            .map(|(_, request)| request)
    }

    /// Returns the largest number of waiting requests of any caller.
    pub(super) fn longest_backlog(&self) -> usize {
        self.callers
            .values()
            .map(|flow| flow.waiting.len())
            .max()
            .unwrap_or(0)
    }

    /// Returns the number of waiting requests of one caller.
    pub(super) fn len_of(&self, caller: u64) -> usize {
        self.callers
            .get(&caller)
            .map_or(0, |flow| flow.waiting.len())
    }

    /// Returns the number of waiting requests that are expected to be served
    /// before a new request of `caller` with `deadline`.
    pub(super) fn count_ahead(&self, caller: u64, deadline: Duration) -> usize {
        let own = self.callers.get(&caller);
        let earlier = own.map_or(0, |flow| {
            flow.waiting
                .iter()
                .take_while(|(other, _)| *other <= deadline)
                .count()
        });
        // All requests of a round count, including those with a later
        // deadline. A retry has less time left, and would otherwise be
        // admitted in place of requests that were admitted before it.
        let others = self
            .callers
            .iter()
            .filter(|(other, _)| **other != caller)
            .map(|(_, flow)| flow.waiting.len().min(earlier + 1))
            .sum::<usize>();
        earlier + others
    }

    /// Returns the number of waiting requests that are due at or before
    /// `deadline`.
    pub(super) fn count_due_by(&self, deadline: Duration) -> usize {
        self.callers
            .values()
            .map(|flow| {
                let waiting = flow.waiting.iter();
                waiting.take_while(|(other, _)| *other <= deadline).count()
            })
            .sum()
    }

    /// Removes a request that is served, and charges its caller one round.
    ///
    /// # Panics
    ///
    /// Panics if the request is not queued.
    pub(super) fn pop(&mut self, caller: u64, deadline: Duration, id: u64) {
        if let Some(flow) = self.callers.get_mut(&caller) {
            self.round = self.round.max(flow.round);
            flow.round += 1;
        }
        self.remove(caller, deadline, id);
    }

    /// Removes a request that is not served.
    ///
    /// # Panics
    ///
    /// Panics if the request is not queued.
    pub(super) fn remove(&mut self, caller: u64, deadline: Duration, id: u64) {
        let flow = self.callers.get_mut(&caller);
        let removed = flow.is_some_and(|flow| flow.waiting.remove(&(deadline, id)));
        assert!(removed, "a request leaves the queue once");
        self.len -= 1;
        if self.callers.len() > MAX_CALLERS {
            self.callers.retain(|_, flow| !flow.waiting.is_empty());
        }
    }
}
