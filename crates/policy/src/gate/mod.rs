//! Slots and queues in front of one upstream.

mod inner;
mod limit;
mod queue;
mod types;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use savorylane_intent::document;
use savorylane_wire::{Incarnation, Load};

use limit::Limit;
use queue::Queue;
pub use types::{Action, Decision, Outcome, Reason, Request};

/// Requests of one class that wait at most.
pub const CLASS_QUEUE_MAX: usize = 256;
/// Requests that wait to run alone at most.
pub const EXCLUSIVE_QUEUE_MAX: usize = 16;
/// The concurrency limit does not fall below this.
pub const LIMIT_MIN: usize = 2;
/// Time over which the limit grows after the upstream came back.
pub const SLOW_START: Duration = Duration::from_secs(5);
/// Classes that are remembered; the document bounds them in practice.
const CLASSES_MAX: usize = 1024;
/// Time constant of the mean number of short requests present.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Hint while the upstream is away.
const CLOSED_RETRY_AFTER_MS: u32 = 100;
/// Greatest hint.
const RETRY_AFTER_MAX_MS: u32 = 1_000;

/// A request that has a slot.
#[derive(Clone, Copy, Debug)]
struct Running {
    start: Duration,
    request: Request,
}

/// Queue and service time of one class.
#[derive(Debug)]
struct Class {
    length: document::Work,
    shed_order: u8,
    queue: Queue,
    /// Smoothed service time, microseconds; 0 before the first answer.
    service_us: f64,
    /// Smoothed arrivals per second at `rate_at`.
    rate: f64,
    rate_at: Duration,
}

/// Slots and queues of one upstream.
///
/// Invariants, asserted on every change: `running <= limit`; long work runs in
/// at most [`long_slots_max`] slots; a request is running or waiting, never both, and
/// ends once; beside a request that runs alone nothing else runs.
#[derive(Debug)]
pub struct Gate {
    limit: Limit,
    leaving: bool,
    closed: bool,
    running: BTreeMap<u64, Running>,
    running_long: usize,
    exclusive_running: bool,
    waiting: BTreeMap<u64, Request>,
    deadlines: BTreeSet<(Duration, u64)>,
    exclusive_queue: BTreeSet<(Duration, u64)>,
    /// Since when other work is held back for one that must run alone.
    held_since: Option<Duration>,
    /// Other work is not held back again before this.
    hold_allowed_at: Duration,
    classes: BTreeMap<u64, Class>,
    pending_refusals: VecDeque<(u64, Reason)>,
    short_service_us: f64,
    long_service_us: f64,
    short_demand: f64,
    short_demand_at: Duration,
    /// Share of the time until the target that a request is expected to take
    /// before a service time is known.
    prior_share: f64,
    now: Duration,
}

/// Returns the slots that long work may use of `limit`: all but a third, and
/// at least one for short work. With a single slot, long work shares it.
pub fn long_slots_max(limit: usize) -> usize {
    match limit {
        0 | 1 => limit,
        _ => limit - (limit / 3).max(1),
    }
}

impl Gate {
    /// Opens a gate with `slots` slots, at least 1.
    pub fn new(slots: usize) -> Self {
        Self {
            limit: Limit::new(slots.max(1)),
            leaving: false,
            closed: false,
            running: BTreeMap::new(),
            running_long: 0,
            exclusive_running: false,
            waiting: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            exclusive_queue: BTreeSet::new(),
            held_since: None,
            hold_allowed_at: Duration::ZERO,
            classes: BTreeMap::new(),
            pending_refusals: VecDeque::new(),
            short_service_us: 0.0,
            long_service_us: 0.0,
            short_demand: 0.0,
            short_demand_at: Duration::ZERO,
            prior_share: 0.0,
            now: Duration::ZERO,
        }
    }

    /// Opens a gate that expects a request to take the share `prior` of the
    /// time until its target while no service time is known. After a start
    /// under full load, the queue would otherwise grow without a bound.
    pub fn with_prior(slots: usize, prior_share: f64) -> Self {
        Self {
            prior_share,
            ..Self::new(slots)
        }
    }

    /// Takes a request that arrives at `now`.
    ///
    /// Call [`Gate::next_action`] until it returns `None` afterwards: an arrival can
    /// displace waiting work.
    ///
    /// # Panics
    ///
    /// Panics if `work.id` is already running or waiting.
    pub fn arrive(&mut self, now: Duration, request: Request) -> Decision {
        assert!(
            !self.running.contains_key(&request.id) && !self.waiting.contains_key(&request.id),
            "a request arrives once"
        );
        self.advance(now);
        if self.leaving {
            return Decision::Refuse(Reason::Leaving);
        }
        if self.closed {
            return Decision::Refuse(Reason::Closed);
        }
        if request.deadline <= now {
            return Decision::Refuse(Reason::Deadline);
        }
        if request.exclusive {
            return self.arrive_exclusive(now, request);
        }
        self.record_arrival(&request);
        let idle = self.waiting.is_empty() && self.running.len() < self.effective_limit();
        if !idle && !self.worth_queueing(now, &request) {
            return Decision::Refuse(Reason::Deadline);
        }
        if let Err(reason) = self.make_queue_room(&request) {
            return Decision::Refuse(reason);
        }
        self.enqueue(request);
        if self.next_startable(now) == Some(request.id) {
            self.start(now, request.id);
            return Decision::Run;
        }
        self.shed(now, &request);
        Decision::Wait
    }

    /// Ends a request: frees its slot or takes it out of the queue. An id that
    /// is neither running nor waiting is ignored, because a cancellation can
    /// cross a refusal.
    pub fn finish(&mut self, now: Duration, id: u64, outcome: Outcome) {
        self.advance(now);
        self.pending_refusals.retain(|(other, _)| *other != id);
        self.remove_waiting(id);
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        let saturated = self.running.len() + 1 >= self.effective_limit();
        if running.request.length == document::Work::Long {
            self.running_long -= 1;
        }
        if running.request.exclusive {
            self.exclusive_running = false;
            let held_time = now.saturating_sub(self.held_since.take().unwrap_or(running.start));
            self.hold_allowed_at = now + held_time;
        }
        self.record_end(now, &running, outcome, saturated);
        if outcome == Outcome::UpstreamDown {
            self.close();
        }
        self.assert_invariants();
    }

    /// Returns the next waiting request that starts or is refused at `now`.
    /// Call it until it returns `None` after every arrival and finish, and at
    /// [`Gate::wake_at`].
    pub fn next_action(&mut self, now: Duration) -> Option<Action> {
        self.advance(now);
        if let Some((id, reason)) = self.pending_refusals.pop_front() {
            return Some(Action::Refuse(id, reason));
        }
        if let Some(&(deadline, id)) = self.deadlines.first()
            && deadline <= now
        {
            self.remove_waiting(id);
            return Some(Action::Refuse(id, Reason::Deadline));
        }
        let id = self.next_startable(now)?;
        let request = self.waiting[&id];
        if !request.exclusive && self.too_late(now, &request) {
            self.remove_waiting(id);
            return Some(Action::Refuse(id, Reason::Deadline));
        }
        self.start(now, id);
        Some(Action::Start(id))
    }

    /// Returns when [`Gate::next_action`] must be called without another event.
    pub fn wake_at(&self) -> Option<Duration> {
        if !self.pending_refusals.is_empty() {
            return Some(self.now);
        }
        let deadline = self.deadlines.first().map(|(deadline, _)| *deadline)?;
        let mut wake = deadline;
        if let Some(growth) = self.limit.next_growth_at(self.now) {
            wake = wake.min(growth);
        }
        if !self.exclusive_queue.is_empty() && self.hold_allowed_at > self.now {
            wake = wake.min(self.hold_allowed_at);
        }
        Some(wake)
    }

    /// Takes the number of slots of the upstream, at least 1.
    pub fn set_slots(&mut self, slots: usize) {
        self.limit.set_slots(slots.max(1));
    }

    /// Refuses new work from now on. Waiting requests still run.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Refuses new and waiting work until [`Gate::reopen`]: the upstream is
    /// away. Running requests still end by [`Gate::finish`].
    pub fn close(&mut self) {
        self.closed = true;
        for id in self.waiting.keys().copied().collect::<Vec<_>>() {
            self.remove_waiting(id);
            self.pending_refusals.push_back((id, Reason::Closed));
        }
    }

    /// Takes work again after the upstream came back; the limit grows from
    /// [`LIMIT_MIN`] over [`SLOW_START`].
    pub fn reopen(&mut self, now: Duration) {
        if self.closed {
            self.closed = false;
            self.limit.reopen(now);
            self.advance(now);
        }
    }

    /// Says whether the gate waits for [`Gate::reopen`].
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Returns when another attempt of refused work is useful here,
    /// milliseconds; 0 means at once, at another host.
    pub fn retry_after_ms(&self, request: &Request) -> u32 {
        if self.leaving {
            return 0;
        }
        if self.closed {
            return CLOSED_RETRY_AFTER_MS;
        }
        let wait_ms = self.expected_wait_us(request) / 1_000.0;
        (wait_ms.ceil() as u32).clamp(1, RETRY_AFTER_MAX_MS)
    }

    /// Returns the load to report; the daemon fills in what does not concern the
    /// gate.
    pub fn load(&self) -> Load {
        Load {
            running: self.running.len() as u32,
            queued: self.waiting.len() as u32,
            limit: self.effective_limit() as u32,
            service_us: self.short_service_us as u32,
            leaving: self.leaving,
            incarnation: Incarnation::default(),
            version: 0,
            list: 0,
            reserve_above: 0,
        }
    }
}
