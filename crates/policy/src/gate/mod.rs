//! Concurrency limit and admission queues in front of one upstream.

mod cold;
mod expect;
mod inner;
mod late;
mod limit;
mod queue;
mod strangers;
mod types;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use savorylane_intent::document;
use savorylane_wire::{Incarnation, Load};

use crate::cold::{Sign, State};
use late::Lane;
pub use late::{Counts, MAX_LATE_QUEUE, MIN_LIMIT_RATIO, has_late_lane};
use limit::Limit;
use queue::Queue;
use strangers::Strangers;
pub use types::{Action, Decision, Outcome, Reason, Request};

/// Maximum number of queued requests of one class.
pub const MAX_CLASS_QUEUE: usize = 256;
/// Maximum number of queued requests that must run exclusively.
pub const MAX_EXCLUSIVE_QUEUE: usize = 16;
/// Lower bound of the adaptive concurrency limit.
pub const MIN_LIMIT: usize = 2;
/// Time over which the limit grows to its full value after the upstream
/// became reachable again.
pub const SLOW_START: Duration = Duration::from_secs(5);
/// Number of classes above which idle ones are dropped. In practice the
/// intent document bounds the number of classes.
const MAX_CLASSES: usize = 1024;
/// Time constant of the moving average of running short requests.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Retry-after hint while the gate is closed.
const CLOSED_RETRY_AFTER_MS: u32 = 100;
/// Upper bound of the retry-after hint.
const MAX_RETRY_AFTER_MS: u32 = 1_000;

/// A request that holds a slot.
#[derive(Clone, Copy, Debug)]
struct Running {
    start: Duration,
    request: Request,
}

/// Queue, service time and arrival rate of one class.
#[derive(Debug)]
struct Class {
    length: document::Work,
    shed_order: u8,
    queue: Queue,
    /// Smoothed service time in microseconds; 0 before the first sample.
    service_us: f64,
    /// Smoothed arrival rate per second, as of `arrival_rate_at`.
    arrival_rate: f64,
    arrival_rate_at: Duration,
}

/// Concurrency limiter and admission queues of one upstream.
///
/// Invariants, asserted on every change:
///
/// - `running <= limit`.
/// - Long work occupies at most [`max_long_slots`] slots.
/// - A request is either running or waiting, never both, and ends once.
/// - While an exclusive request runs, no other request does.
/// - A waiting request has one place: that of its class, that of the exclusive
///   requests or that in the late lane.
/// - A request of the late lane starts only while no short request waits on
///   time.
#[derive(Debug)]
pub struct Gate {
    limit: Limit,
    /// Whether the upstream is cold, and the limit that holds meanwhile.
    cold: State,
    leaving: bool,
    closed: bool,
    running: BTreeMap<u64, Running>,
    running_long: usize,
    exclusive_running: bool,
    waiting: BTreeMap<u64, Request>,
    /// Deadline and id of each waiting request.
    deadlines: BTreeSet<(Duration, u64)>,
    /// Deadline and id of each waiting request that must run exclusively.
    exclusive_queue: BTreeSet<(Duration, u64)>,
    /// Time since which other requests are held back for an exclusive one.
    held_since: Option<Duration>,
    /// Time before which other requests must not be held back again.
    hold_allowed_at: Duration,
    classes: BTreeMap<u64, Class>,
    late: Lane,
    strangers: Strangers,
    /// Time of the last check of the late lane, until the next arrival or end.
    late_checked_at: Option<Duration>,
    /// Requests removed from the queue whose refusal
    /// [`Gate::next_action`] has yet to return.
    pending_refusals: VecDeque<(u64, Reason)>,
    /// Smoothed service time of short work over all classes, in microseconds;
    /// 0 before the first sample.
    short_service_us: f64,
    /// Smoothed service time of long work over all classes, in microseconds;
    /// 0 before the first sample.
    long_service_us: f64,
    /// Moving average of the running short requests, as of `short_demand_at`.
    short_demand: f64,
    short_demand_at: Duration,
    /// Share of the time until the target that serves as the expected service
    /// time before one was measured.
    prior_share: f64,
    /// Latest time passed to the gate; never decreases.
    now: Duration,
}

/// Returns the maximum number of slots for long work under `limit`.
///
/// A third of the slots, and at least one, is reserved for short work. A
/// single slot is shared by both.
pub fn max_long_slots(limit: usize) -> usize {
    match limit {
        0 | 1 => limit,
        _ => limit - (limit / 3).max(1),
    }
}

impl Gate {
    /// Creates an open gate with `slots` slots, at least 1.
    pub fn new(slots: usize) -> Self {
        Self {
            limit: Limit::new(slots.max(1)),
            cold: State::default(),
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
            late: Lane::default(),
            strangers: Strangers::default(),
            late_checked_at: None,
            pending_refusals: VecDeque::new(),
            short_service_us: 0.0,
            long_service_us: 0.0,
            short_demand: 0.0,
            short_demand_at: Duration::ZERO,
            prior_share: 0.0,
            now: Duration::ZERO,
        }
    }

    /// Creates an open gate that assumes a service time before one was
    /// measured: the share `prior_share` of the time until the target of a
    /// request.
    ///
    /// Without this prior, the queue of a gate that starts under full load
    /// would have no time bound.
    pub fn with_prior(slots: usize, prior_share: f64) -> Self {
        Self {
            prior_share,
            ..Self::new(slots)
        }
    }

    /// Admits, queues or refuses a request that arrives at `now`.
    ///
    /// An arrival can displace queued requests, so [`Gate::next_action`] must
    /// be called afterwards until it returns `None`.
    ///
    /// # Panics
    ///
    /// Panics if `request.id` is already running or waiting.
    pub fn arrive(&mut self, now: Duration, request: Request) -> Decision {
        assert!(
            !self.running.contains_key(&request.id) && !self.waiting.contains_key(&request.id),
            "a request arrives once"
        );
        self.advance(now);
        if request.stranger && !self.strangers.has_room(self.limit.value_at(now)) {
            return Decision::Refuse(Reason::Strangers);
        }
        let decision = self.decide(now, request);
        if request.stranger && !matches!(decision, Decision::Refuse(_)) {
            self.strangers.add(request.id);
        }
        decision
    }

    /// Admits, queues or refuses a request that arrives now.
    fn decide(&mut self, now: Duration, request: Request) -> Decision {
        if self.leaving {
            return Decision::Refuse(Reason::Leaving);
        }
        if self.closed {
            return Decision::Refuse(Reason::Closed);
        }
        if request.deadline <= now {
            return Decision::Refuse(Reason::Deadline);
        }
        self.cold.on_arrival(now);
        if request.exclusive {
            return self.arrive_exclusive(now, request);
        }
        self.record_arrival(&request);
        self.late_checked_at = None;
        let idle = self.waiting.len() == self.late.len()
            && self.running.len() < self.effective_limit()
            && !self.is_held_cold(now);
        let on_time = idle || self.worth_queueing(now, &request);
        if !on_time && !self.worth_waiting_late(now, &request) {
            return Decision::Refuse(self.refuse_unqueued(now));
        }
        if on_time {
            if let Err(reason) = self.make_queue_room(&request) {
                return Decision::Refuse(reason);
            }
            self.enqueue(request);
            let service_us = self.expected_service_us(&request);
            self.late.record_on_time(now, service_us);
        } else {
            self.enqueue_late(request);
        }
        if self.next_startable(now) == Some(request.id) {
            self.start(now, request.id);
            return Decision::Run;
        }
        if self.is_held_cold(now) {
            self.cold.on_delayed();
        }
        if on_time {
            self.shed(now, &request);
        }
        Decision::Wait
    }

    /// Records that a request ended, and frees its slot or removes it from the
    /// queue.
    ///
    /// An id that is neither running nor waiting is ignored, because a
    /// cancellation and a refusal can cross.
    pub fn finish(&mut self, now: Duration, id: u64, outcome: Outcome) {
        self.advance(now);
        self.late_checked_at = None;
        self.pending_refusals.retain(|(other, _)| *other != id);
        self.remove_waiting(id);
        self.strangers.remove(id);
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
        if outcome == Outcome::Answered {
            let service = now.saturating_sub(running.start);
            self.cold.on_answer(now, running.request.class, service);
        }
        if outcome == Outcome::UpstreamDown {
            self.close();
        }
        self.assert_invariants();
    }

    /// Returns the next queued request that starts or is refused at `now`.
    ///
    /// Must be called until it returns `None` after every arrival and every
    /// finish, and at the time returned by [`Gate::wake_at`].
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
        if self.late_checked_at != Some(now) {
            self.late_checked_at = Some(now);
            self.displace_late(now);
            if let Some((id, reason)) = self.pending_refusals.pop_front() {
                return Some(Action::Refuse(id, reason));
            }
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

    /// Returns the time at which [`Gate::next_action`] must be called if
    /// nothing else happens before, or `None` if no request waits.
    pub fn wake_at(&self) -> Option<Duration> {
        if !self.pending_refusals.is_empty() {
            return Some(self.now);
        }
        let deadline = self.deadlines.first().map(|(deadline, _)| *deadline)?;
        let mut wake = deadline;
        if let Some(check) = self.late_check_at() {
            wake = wake.min(check.max(self.now));
        }
        if let Some(growth) = self.limit.next_growth_at(self.now) {
            wake = wake.min(growth);
        }
        if !self.exclusive_queue.is_empty() && self.hold_allowed_at > self.now {
            wake = wake.min(self.hold_allowed_at);
        }
        if let Some(free_at) = self.cold.free_at(self.now) {
            wake = wake.min(free_at);
        }
        if let Some(displaces_at) = self.displaces_at() {
            wake = wake.min(displaces_at.max(self.now));
        }
        Some(wake)
    }

    /// Sets the number of slots of the upstream, at least 1.
    pub fn set_slots(&mut self, slots: usize) {
        self.limit.set_slots(slots.max(1));
    }

    /// Refuses new requests from now on. Queued requests still run.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Refuses new and queued requests until [`Gate::reopen`], because the
    /// upstream is unreachable or draining.
    ///
    /// Running requests still have to be ended with [`Gate::finish`].
    pub fn close(&mut self) {
        self.closed = true;
        for id in self.waiting.keys().copied().collect::<Vec<_>>() {
            self.remove_waiting(id);
            self.pending_refusals.push_back((id, Reason::Closed));
        }
    }

    /// Admits requests again after the upstream became reachable. The limit
    /// grows from [`MIN_LIMIT`] over [`SLOW_START`].
    pub fn reopen(&mut self, now: Duration) {
        if self.closed {
            self.closed = false;
            self.limit.reopen(now);
            self.cold.on_sign(now, Sign::Reopened);
            self.advance(now);
        }
    }

    /// Returns whether the gate is closed until [`Gate::reopen`].
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Returns the time in milliseconds after which a refused request is worth
    /// sending here again; 0 means to try another host at once.
    pub fn retry_after_ms(&self, request: &Request) -> u32 {
        if self.leaving {
            return 0;
        }
        if self.closed {
            return CLOSED_RETRY_AFTER_MS;
        }
        if request.late {
            return self.late_retry_after_ms(request);
        }
        let wait_ms = self.expected_wait_us(request) / 1_000.0;
        (wait_ms.ceil() as u32).clamp(1, MAX_RETRY_AFTER_MS)
    }

    /// Returns the load for a report; the daemon fills in the fields that the
    /// gate does not know. The limit of a cold upstream is what its rate allows.
    pub fn load(&self) -> Load {
        self.cold_load(Load {
            running: self.running.len() as u32,
            queued: (self.waiting.len() - self.late.len()) as u32,
            limit: self.effective_limit() as u32,
            service_us: self.short_service_us as u32,
            leaving: self.leaving,
            incarnation: Incarnation::default(),
            version: 0,
            list: 0,
            reserve_above: 0,
            late: self.late.len() as u32,
        })
    }
}
