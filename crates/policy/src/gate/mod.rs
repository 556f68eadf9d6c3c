//! Slots and queue in front of one upstream.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use savorylane_intent::document;
use savorylane_wire::{Incarnation, Load};

/// Requests that wait at most.
const QUEUE_MAX: usize = 256;

/// A request that asks for a slot.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Identifies the request within this gate.
    pub id: u64,
    /// Expected length.
    pub length: document::Work,
    /// Under overload, higher values are refused first.
    pub shed_order: u8,
    /// Moment after which the answer is of no use.
    pub deadline: Duration,
    /// Hash of the caller; callers share a queue fairly.
    pub caller: u64,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The host leaves.
    Leaving,
    /// The queue is full.
    Full,
    /// The deadline cannot be met, or passed in the queue.
    Deadline,
}

/// Answer to an arrival.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request has a slot.
    Run,
    /// The request waits; [`Gate::next`] says when it starts or expires.
    Wait,
    /// The request does not run.
    Refuse(Reason),
}

/// How a request that had a slot ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Finish {
    /// The upstream answered.
    Answered,
    /// The caller went away or the deadline passed.
    Cancelled,
    /// The upstream's connection broke.
    Died,
}

/// What to do with a waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// The request has a slot now.
    Start(u64),
    /// The request is refused.
    Refuse(u64, Reason),
}

/// Slots and queue of one upstream.
///
/// Invariant: `running.len() <= limit`.
#[derive(Debug)]
pub struct Gate {
    limit: usize,
    leaving: bool,
    running: BTreeMap<u64, Duration>,
    queue: VecDeque<Work>,
    service_us: u32,
}

impl Gate {
    /// Opens a gate with `slots` slots.
    pub fn new(slots: usize) -> Self {
        Self {
            limit: slots,
            leaving: false,
            running: BTreeMap::new(),
            queue: VecDeque::new(),
            service_us: 0,
        }
    }

    /// Takes a request that arrives at `now`.
    pub fn arrive(&mut self, now: Duration, work: Work) -> Decision {
        if self.leaving {
            return Decision::Refuse(Reason::Leaving);
        }
        if work.deadline <= now {
            return Decision::Refuse(Reason::Deadline);
        }
        if self.running.len() < self.limit && self.queue.is_empty() {
            self.running.insert(work.id, now);
            return Decision::Run;
        }
        if self.queue.len() >= QUEUE_MAX {
            return Decision::Refuse(Reason::Full);
        }
        self.queue.push_back(work);
        Decision::Wait
    }

    /// Frees the slot of a request, or takes it out of the queue.
    pub fn finish(&mut self, now: Duration, id: u64, finish: Finish) {
        self.queue.retain(|work| work.id != id);
        let Some(start) = self.running.remove(&id) else {
            return;
        };
        if finish == Finish::Answered {
            let sample = now.saturating_sub(start).as_micros() as u32;
            self.service_us = (self.service_us * 7 + sample) / 8;
        }
    }

    /// Returns the next waiting request that starts or is refused at `now`.
    pub fn next(&mut self, now: Duration) -> Option<Action> {
        let work = *self.queue.front()?;
        if work.deadline <= now {
            self.queue.pop_front();
            return Some(Action::Refuse(work.id, Reason::Deadline));
        }
        if self.running.len() >= self.limit {
            return None;
        }
        self.queue.pop_front();
        self.running.insert(work.id, now);
        Some(Action::Start(work.id))
    }

    /// Refuses new work from now on. Waiting requests still run.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns the load to report; the daemon fills in `incarnation`.
    pub fn load(&self) -> Load {
        Load {
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
            limit: self.limit as u32,
            service_us: self.service_us,
            leaving: self.leaving,
            incarnation: Incarnation::default(),
        }
    }
}
