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
pub use types::{Action, Decision, Finish, Reason, Work};

/// Requests of one class that wait at most.
pub const QUEUE_MAX: usize = 256;
/// Requests that wait to run alone at most.
pub const ALONE_MAX: usize = 16;
/// The concurrency limit does not fall below this.
pub const FLOOR: usize = 2;
/// Time over which the limit grows after the upstream came back.
pub const SLOW_START: Duration = Duration::from_secs(5);
/// Classes that are remembered; the document bounds them in practice.
const CLASSES_MAX: usize = 1024;
/// Time constant of the mean number of short requests present.
const DEMAND: Duration = Duration::from_secs(1);
/// Hint while the upstream is away.
const CLOSED_RETRY_MS: u32 = 100;
/// Greatest hint.
const RETRY_MAX_MS: u32 = 1_000;

/// A request that has a slot.
#[derive(Clone, Copy, Debug)]
struct Running {
    start: Duration,
    work: Work,
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
/// at most [`long_max`] slots; a request is running or waiting, never both, and
/// ends once; beside a request that runs alone nothing else runs.
#[derive(Debug)]
pub struct Gate {
    limit: Limit,
    leaving: bool,
    closed: bool,
    running: BTreeMap<u64, Running>,
    running_long: usize,
    alone_running: bool,
    waiting: BTreeMap<u64, Work>,
    deadlines: BTreeSet<(Duration, u64)>,
    alone: BTreeSet<(Duration, u64)>,
    /// Since when other work is held back for one that must run alone.
    held_since: Option<Duration>,
    /// Other work is not held back again before this.
    hold_after: Duration,
    classes: BTreeMap<u64, Class>,
    refused: VecDeque<(u64, Reason)>,
    short_us: f64,
    long_us: f64,
    demand: f64,
    demand_at: Duration,
    /// Share of the time until the target that a request is expected to take
    /// before a service time is known.
    prior: f64,
    now: Duration,
}

/// Returns the slots that long work may use of `limit`: all but a third, and
/// at least one for short work. With a single slot, long work shares it.
pub fn long_max(limit: usize) -> usize {
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
            alone_running: false,
            waiting: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            alone: BTreeSet::new(),
            held_since: None,
            hold_after: Duration::ZERO,
            classes: BTreeMap::new(),
            refused: VecDeque::new(),
            short_us: 0.0,
            long_us: 0.0,
            demand: 0.0,
            demand_at: Duration::ZERO,
            prior: 0.0,
            now: Duration::ZERO,
        }
    }

    /// Opens a gate that expects a request to take the share `prior` of the
    /// time until its target while no service time is known. After a start
    /// under full load, the queue would otherwise grow without a bound.
    pub fn expecting(slots: usize, prior: f64) -> Self {
        Self {
            prior,
            ..Self::new(slots)
        }
    }

    /// Takes a request that arrives at `now`.
    ///
    /// Call [`Gate::next`] until it returns `None` afterwards: an arrival can
    /// displace waiting work.
    ///
    /// # Panics
    ///
    /// Panics if `work.id` is already running or waiting.
    pub fn arrive(&mut self, now: Duration, work: Work) -> Decision {
        assert!(
            !self.running.contains_key(&work.id) && !self.waiting.contains_key(&work.id),
            "a request arrives once"
        );
        self.tick(now);
        if self.leaving {
            return Decision::Refuse(Reason::Leaving);
        }
        if self.closed {
            return Decision::Refuse(Reason::Closed);
        }
        if work.deadline <= now {
            return Decision::Refuse(Reason::Deadline);
        }
        if work.alone {
            return self.arrive_alone(now, work);
        }
        self.learn(&work);
        let idle = self.waiting.is_empty() && self.running.len() < self.limit_now();
        if !idle && !self.in_time(now, &work) {
            return Decision::Refuse(Reason::Deadline);
        }
        if let Err(reason) = self.make_room(&work) {
            return Decision::Refuse(reason);
        }
        self.enqueue(work);
        if self.peek(now) == Some(work.id) {
            self.start(now, work.id);
            return Decision::Run;
        }
        self.shed(now, &work);
        Decision::Wait
    }

    /// Ends a request: frees its slot or takes it out of the queue. An id that
    /// is neither running nor waiting is ignored, because a cancellation can
    /// cross a refusal.
    pub fn finish(&mut self, now: Duration, id: u64, finish: Finish) {
        self.tick(now);
        self.refused.retain(|(other, _)| *other != id);
        self.drop_waiting(id);
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        let full = self.running.len() + 1 >= self.limit_now();
        if running.work.length == document::Work::Long {
            self.running_long -= 1;
        }
        if running.work.alone {
            self.alone_running = false;
            let held = now.saturating_sub(self.held_since.take().unwrap_or(running.start));
            self.hold_after = now + held;
        }
        self.measure(now, &running, finish, full);
        if finish == Finish::Died {
            self.close();
        }
        self.check();
    }

    /// Returns the next waiting request that starts or is refused at `now`.
    /// Call it until it returns `None` after every arrival and finish, and at
    /// [`Gate::wake`].
    pub fn next(&mut self, now: Duration) -> Option<Action> {
        self.tick(now);
        if let Some((id, reason)) = self.refused.pop_front() {
            return Some(Action::Refuse(id, reason));
        }
        if let Some(&(deadline, id)) = self.deadlines.first()
            && deadline <= now
        {
            self.drop_waiting(id);
            return Some(Action::Refuse(id, Reason::Deadline));
        }
        let id = self.peek(now)?;
        let work = self.waiting[&id];
        if !work.alone && self.too_late(now, &work) {
            self.drop_waiting(id);
            return Some(Action::Refuse(id, Reason::Deadline));
        }
        self.start(now, id);
        Some(Action::Start(id))
    }

    /// Returns when [`Gate::next`] must be called without another event.
    pub fn wake(&self) -> Option<Duration> {
        if !self.refused.is_empty() {
            return Some(self.now);
        }
        let deadline = self.deadlines.first().map(|(deadline, _)| *deadline)?;
        let mut wake = deadline;
        if let Some(grows) = self.limit.grows_at(self.now) {
            wake = wake.min(grows);
        }
        if !self.alone.is_empty() && self.hold_after > self.now {
            wake = wake.min(self.hold_after);
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
            self.drop_waiting(id);
            self.refused.push_back((id, Reason::Closed));
        }
    }

    /// Takes work again after the upstream came back; the limit grows from
    /// [`FLOOR`] over [`SLOW_START`].
    pub fn reopen(&mut self, now: Duration) {
        if self.closed {
            self.closed = false;
            self.limit.reopen(now);
            self.tick(now);
        }
    }

    /// Says whether the gate waits for [`Gate::reopen`].
    pub fn closed(&self) -> bool {
        self.closed
    }

    /// Returns when another attempt of refused work is useful here,
    /// milliseconds; 0 means at once, at another host.
    pub fn retry_after_ms(&self, work: &Work) -> u32 {
        if self.leaving {
            return 0;
        }
        if self.closed {
            return CLOSED_RETRY_MS;
        }
        let wait_ms = self.wait_us(work) / 1_000.0;
        (wait_ms.ceil() as u32).clamp(1, RETRY_MAX_MS)
    }

    /// Returns the load to report; the daemon fills in what does not concern the
    /// gate.
    pub fn load(&self) -> Load {
        Load {
            running: self.running.len() as u32,
            queued: self.waiting.len() as u32,
            limit: self.limit_now() as u32,
            service_us: self.short_us as u32,
            leaving: self.leaving,
            incarnation: Incarnation::default(),
            version: 0,
            list: 0,
            reserve_above: 0,
        }
    }
}
