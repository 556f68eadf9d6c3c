//! Internals of [`Gate`]: expected times, selection of the next request and
//! the invariants.

use std::time::Duration;

use savorylane_intent::document;

use super::expect::micros;
use super::{
    Class, DEMAND_TIME_CONSTANT, Decision, Gate, MAX_CLASS_QUEUE, MAX_CLASSES, MAX_EXCLUSIVE_QUEUE,
    Outcome, Queue, Reason, Request, Running, max_long_slots,
};

/// Weight of a new sample in a smoothed service time.
const SMOOTHING_WEIGHT: f64 = 0.125;

/// Moves a smoothed value towards a sample. The value 0 stands for none and is
/// replaced by the sample.
fn smooth(value: &mut f64, sample: f64) {
    *value = if *value == 0.0 {
        sample
    } else {
        *value + (sample - *value) * SMOOTHING_WEIGHT
    };
}

impl Gate {
    /// Returns the limit in force.
    ///
    /// When the adaptive limit falls, the limit in force follows only as slots
    /// become free, so that the invariants hold meanwhile.
    pub(super) fn effective_limit(&self) -> usize {
        let mut limit = self.limit.value_at(self.now).max(self.running.len());
        while max_long_slots(limit) < self.running_long {
            limit += 1;
        }
        limit
    }

    /// Advances the gate's time and updates the moving average of running
    /// short requests.
    pub(super) fn advance(&mut self, now: Duration) {
        self.now = self.now.max(now);
        let elapsed = self.now.saturating_sub(self.short_demand_at).as_secs_f64();
        let short = self.running.len() - self.running_long;
        let kept = (-elapsed / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
        self.short_demand = self.short_demand * kept + short as f64 * (1.0 - kept);
        self.short_demand_at = self.now;
    }

    /// Returns the number of slots that long work may use now.
    ///
    /// These are the slots that remain beside the demand of short work plus
    /// two standard deviations, and at least one, so that uploads progress.
    pub(super) fn long_limit(&self) -> usize {
        let limit = self.effective_limit();
        let demand = self.short_demand + 2.0 * self.short_demand.sqrt();
        let unused = (limit as f64 - demand).max(1.0) as usize;
        unused.min(max_long_slots(limit))
    }

    /// Updates length, shed order and arrival rate of the request's class, and
    /// drops idle classes if there are too many.
    pub(super) fn record_arrival(&mut self, request: &Request) {
        if self.classes.len() >= MAX_CLASSES && !self.classes.contains_key(&request.class) {
            self.classes.retain(|_, class| class.queue.len() > 0);
        }
        let class = self.classes.entry(request.class).or_insert_with(|| Class {
            length: request.length,
            shed_order: request.shed_order,
            queue: Queue::default(),
            service_us: 0.0,
            arrival_rate: 0.0,
            arrival_rate_at: self.now,
        });
        class.length = request.length;
        class.shed_order = request.shed_order;
        class.count_arrival(self.now);
    }

    /// Ensures that the queue of the class has room for `request`, by evicting
    /// a request of the caller with the longest backlog if the queue is full.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::Full`] if the caller of `request` would itself have
    /// the longest backlog.
    pub(super) fn make_queue_room(&mut self, request: &Request) -> Result<(), Reason> {
        let queue = &self.classes[&request.class].queue;
        if queue.len() < MAX_CLASS_QUEUE {
            return Ok(());
        }
        if queue.longest_backlog() <= queue.len_of(request.caller) + 1 {
            return Err(Reason::Full);
        }
        if let Some((_, id)) = queue.victim() {
            self.remove_waiting(id);
            self.pending_refusals.push_back((id, Reason::Full));
        }
        Ok(())
    }

    /// Sheds queued requests that can no longer meet their deadline because
    /// `request` arrived, highest `shed_order` first.
    ///
    /// One arrival displaces about one request, so two rounds are enough.
    pub(super) fn shed(&mut self, now: Duration, request: &Request) {
        for _ in 0..2 {
            let backlog_us = self
                .classes
                .values()
                .filter(|class| class.length == request.length)
                .map(|class| class.queue.len() as f64 * class.service_us)
                .sum::<f64>();
            let victim = self
                .classes
                .values()
                .filter(|class| class.length == request.length && class.queue.len() > 0)
                .max_by_key(|class| class.shed_order);
            let Some((deadline, id)) = victim.and_then(|class| class.queue.victim()) else {
                return;
            };
            let victim = self.waiting[&id];
            let wait_us = backlog_us / self.slots_of(request.length) as f64;
            let end_us = wait_us.max(self.cold_backlog_us()) + self.expected_service_us(&victim);
            if id == request.id || end_us <= micros(deadline.saturating_sub(now)) {
                return;
            }
            self.remove_waiting(id);
            self.pending_refusals.push_back((id, Reason::Shed));
        }
    }

    /// Admits, queues or refuses a request that must run exclusively.
    pub(super) fn arrive_exclusive(&mut self, now: Duration, request: Request) -> Decision {
        if self.exclusive_queue.len() >= MAX_EXCLUSIVE_QUEUE {
            return Decision::Refuse(Reason::Full);
        }
        self.enqueue(request);
        if self.next_startable(now) != Some(request.id) {
            return Decision::Wait;
        }
        self.start(now, request.id);
        Decision::Run
    }

    /// Adds a request to the queue of its class, or to that of the exclusive
    /// requests.
    pub(super) fn enqueue(&mut self, request: Request) {
        if request.exclusive {
            self.exclusive_queue.insert((request.deadline, request.id));
        } else if let Some(class) = self.classes.get_mut(&request.class) {
            class
                .queue
                .push(request.caller, request.deadline, request.id);
        }
        self.deadlines.insert((request.deadline, request.id));
        self.waiting.insert(request.id, request);
        self.assert_invariants();
    }

    /// Adds a request to the late lane.
    pub(super) fn enqueue_late(&mut self, request: Request) {
        self.late.push(&request);
        self.late.counts.admitted += 1;
        self.deadlines.insert((request.deadline, request.id));
        self.waiting.insert(request.id, request);
        self.assert_invariants();
    }

    /// Removes a request from its queue. If `served`, its caller is charged
    /// for the request in the fair queueing. Other requests are no longer held
    /// back once the last queued exclusive request was removed unserved.
    pub(super) fn dequeue(&mut self, request: &Request, served: bool) {
        self.waiting.remove(&request.id);
        self.deadlines.remove(&(request.deadline, request.id));
        if request.exclusive {
            self.exclusive_queue.remove(&(request.deadline, request.id));
            if !served
                && self.exclusive_queue.is_empty()
                && let Some(since) = self.held_since.take()
            {
                self.hold_allowed_at = self.now + self.now.saturating_sub(since);
            }
            return;
        }
        if self.late.remove(request) {
            self.late.counts.started += u64::from(served);
            return;
        }
        if let Some(class) = self.classes.get_mut(&request.class) {
            if served {
                class
                    .queue
                    .pop(request.caller, request.deadline, request.id);
            } else {
                class
                    .queue
                    .remove(request.caller, request.deadline, request.id);
            }
        }
    }

    /// Removes a request that will not be served from the queue, if it is
    /// queued.
    pub(super) fn remove_waiting(&mut self, id: u64) {
        if let Some(request) = self.waiting.get(&id).copied() {
            self.dequeue(&request, false);
            self.strangers.remove(id);
        }
    }

    /// Returns the queued request that may start now.
    ///
    /// A queued exclusive request first holds back long work and, once no long
    /// work runs, all other requests. Holding back everything while an upload
    /// runs would block short work for the whole length of the upload. After
    /// the exclusive request, others are not held back again for at least the
    /// time for which they were.
    pub(super) fn next_startable(&mut self, now: Duration) -> Option<u64> {
        if self.closed || self.exclusive_running || self.is_held_cold(now) {
            return None;
        }
        let mut holding = false;
        if let Some(&(_, id)) = self.exclusive_queue.first() {
            holding = now >= self.hold_allowed_at;
            let others = self.waiting.len() > self.exclusive_queue.len();
            if self.running.is_empty() && (holding || !others) {
                return Some(id);
            }
            if holding && self.running_long == 0 {
                self.held_since.get_or_insert(now);
                return None;
            }
        }
        if self.running.len() >= self.effective_limit() {
            return None;
        }
        let long_allowed = !holding && self.running_long < self.long_limit();
        let first = |length: document::Work| {
            self.classes
                .values()
                .filter(move |class| class.length == length)
                .filter_map(|class| Some((class.shed_order, class.queue.first()?)))
                .min()
        };
        let short_first = first(document::Work::Short);
        let long_first = long_allowed.then(|| first(document::Work::Long)).flatten();
        // While long work waits and none runs, the next free slot goes to long
        // work regardless of its shed order.
        let long_starved = self.running_long == 0 && self.effective_limit() > 1;
        let chosen = match (short_first, long_first) {
            (Some(_), Some(long)) if long_starved => Some(long),
            (Some(short), Some(long)) => Some(short.min(long)),
            (short, long) => short.or(long),
        };
        let on_time = chosen.map(|(_, (_, id))| id);
        on_time.or_else(|| self.late.first().filter(|_| !holding))
    }

    /// Moves a queued request to a slot.
    ///
    /// # Panics
    ///
    /// Panics if the request is not queued.
    pub(super) fn start(&mut self, now: Duration, id: u64) {
        let request = self.waiting[&id];
        if self.late.contains(&request) {
            let mut classes = self.classes.values();
            assert!(
                !classes
                    .any(|class| class.length == document::Work::Short && class.queue.len() > 0),
                "a late request does not start before one that waits on time"
            );
        }
        self.dequeue(&request, true);
        self.cold.on_start(now);
        if request.length == document::Work::Long {
            self.running_long += 1;
        }
        self.exclusive_running = request.exclusive;
        let earlier = self.running.insert(
            id,
            Running {
                start: now,
                request,
            },
        );
        assert!(earlier.is_none(), "a request starts once");
        self.assert_invariants();
    }

    /// Updates the service times with a request that ended.
    ///
    /// The running time of a cancelled request counts as a lower bound if it
    /// exceeds the expected service time. Otherwise requests that are
    /// cancelled at their deadline would hide all slow answers. The time of a
    /// stranger's request does not count, because it may be the stranger's.
    pub(super) fn record_end(
        &mut self,
        now: Duration,
        running: &Running,
        outcome: Outcome,
        saturated: bool,
    ) {
        let service = now.saturating_sub(running.start);
        let sample = micros(service).max(1.0);
        let request = &running.request;
        if request.stranger {
            return;
        }
        let known = self.expected_service_us(request);
        if outcome == Outcome::UpstreamDown || (outcome == Outcome::Cancelled && sample <= known) {
            return;
        }
        if let Some(class) = self.classes.get_mut(&request.class) {
            smooth(&mut class.service_us, sample);
        }
        match request.length {
            document::Work::Short => smooth(&mut self.short_service_us, sample),
            document::Work::Long => smooth(&mut self.long_service_us, sample),
        }
        if outcome == Outcome::Answered && request.length == document::Work::Short {
            self.limit
                .add_sample(now, request.class, service, saturated);
        }
    }

    /// Asserts the invariants of [`Gate`].
    pub(super) fn assert_invariants(&self) {
        let limit = self.effective_limit();
        assert!(
            self.running.len() <= limit,
            "running requests fit the limit"
        );
        // An exclusive request starts only on an idle upstream, so it cannot
        // take the slots reserved for short work.
        assert!(
            self.running_long <= max_long_slots(limit),
            "long work leaves the reserved slots to short work"
        );
        assert!(
            !self.exclusive_running || self.running.len() == 1,
            "no request runs beside an exclusive one"
        );
        assert_eq!(
            self.waiting.len(),
            self.deadlines.len(),
            "each waiting request has one deadline"
        );
        let queued = self.classes.values().map(|class| class.queue.len());
        assert_eq!(
            self.waiting.len(),
            queued.sum::<usize>() + self.exclusive_queue.len() + self.late.len(),
            "each waiting request has one place"
        );
    }
}
