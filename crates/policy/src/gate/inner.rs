//! Internals of [`Gate`]: expected times, selection of the next request and
//! the invariants.

use std::time::Duration;

use savorylane_intent::document;

use super::{
    Class, DEMAND_TIME_CONSTANT, Decision, Gate, MAX_CLASS_QUEUE, MAX_CLASSES, MAX_EXCLUSIVE_QUEUE,
    Outcome, Queue, Reason, Request, Running, max_long_slots,
};

/// Time constant of the arrival rate of a class.
const ARRIVAL_RATE_TIME_CONSTANT: Duration = Duration::from_millis(250);
/// Maximum expected wait, as a multiple of the expected service time, that is
/// accepted regardless of the target, so that noise in the estimates does not
/// leave slots idle.
const MAX_TOLERATED_WAIT_SERVICE_TIMES: f64 = 2.0;
/// Maximum number of queued requests, the new one included, at which the wait
/// is accepted regardless of the target. Among many slots one becomes free
/// soon, so a longer queue only delays every answer.
const MAX_TOLERATED_QUEUE: f64 = 4.0;
/// Share of the time until the target that wait and service together may be
/// expected to take. Under overload the queue grows up to this bound; with a
/// share of 1, half of the answers would miss the target because of the
/// variance of service times and the way back to the caller.
const TARGET_SHARE: f64 = 0.6;
/// Minimum share of the slots assumed to remain beside classes with a lower
/// shed order. Bounds the expected wait.
const MIN_SLOT_SHARE: f64 = 0.01;
/// Weight of a new sample in a smoothed service time.
const SMOOTHING_WEIGHT: f64 = 0.125;
/// Share of the expected service time that must remain until the deadline when
/// a request starts. With less, the answer would most likely be late and the
/// slot wasted.
const MIN_REMAINING_SHARE: f64 = 0.5;

impl Class {
    /// Returns the arrival rate per second, decayed to `now`.
    pub(super) fn decayed_arrival_rate(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.arrival_rate_at).as_secs_f64();
        self.arrival_rate * (-elapsed / ARRIVAL_RATE_TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// Moves a smoothed value towards a sample. The value 0 stands for none and is
/// replaced by the sample.
fn smooth(value: &mut f64, sample: f64) {
    *value = if *value == 0.0 {
        sample
    } else {
        *value + (sample - *value) * SMOOTHING_WEIGHT
    };
}

pub(super) fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
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
    fn long_limit(&self) -> usize {
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
        class.arrival_rate =
            class.decayed_arrival_rate(self.now) + 1.0 / ARRIVAL_RATE_TIME_CONSTANT.as_secs_f64();
        class.arrival_rate_at = self.now;
    }

    /// Returns the expected service time in microseconds: that of the class,
    /// else that of all short or long work, else the prior.
    fn expected_service_us(&self, request: &Request) -> f64 {
        match self.classes.get(&request.class) {
            Some(class) if class.service_us > 0.0 => return class.service_us,
            _ => {}
        }
        let known = match request.length {
            document::Work::Short => self.short_service_us,
            document::Work::Long => self.long_service_us,
        };
        if known > 0.0 {
            return known;
        }
        micros(request.target.saturating_sub(self.now)) * self.prior_share
    }

    /// Returns the expected queueing time in microseconds of a new request.
    ///
    /// Requests with a lower shed order that arrive during the wait are served
    /// first as well, and their arrival rate is taken into account. Otherwise
    /// requests with a higher shed order would be queued and then wait in vain
    /// until their deadline.
    pub(super) fn expected_wait_us(&self, request: &Request) -> f64 {
        let mut ahead_us = self.expected_service_us(request);
        let mut used_slots = 0.0;
        for (id, class) in &self.classes {
            if class.length != request.length || class.shed_order > request.shed_order {
                continue;
            }
            let count = if *id == request.class {
                class.queue.count_ahead(request.caller, request.deadline)
            } else if class.shed_order == request.shed_order {
                class.queue.count_due_by(request.deadline)
            } else {
                class.queue.len()
            };
            let each_us = match class.service_us {
                0.0 => self.expected_service_us(request),
                known => known,
            };
            ahead_us += count as f64 * each_us;
            if class.shed_order < request.shed_order {
                used_slots += class.decayed_arrival_rate(self.now) * class.service_us / 1e6;
            }
        }
        let slots = self.slots_of(request.length) as f64;
        let wait_us = ahead_us / (slots - used_slots).max(slots * MIN_SLOT_SHARE);
        wait_us.max(self.cold_wait_us(request))
    }

    /// Returns the number of slots available to short or to long work.
    fn slots_of(&self, length: document::Work) -> usize {
        match length {
            document::Work::Short => (self.effective_limit() - self.running_long).max(1),
            document::Work::Long => self.long_limit(),
        }
    }

    /// Returns whether a new request should be queued: its deadline can be met
    /// given queue, limit and service time, and its expected wait is in bounds.
    ///
    /// Under sustained overload a longer queue delays every answer without
    /// raising the throughput. The wait is therefore bounded by the target of
    /// the class, or by [`MAX_TOLERATED_WAIT_SERVICE_TIMES`] and
    /// [`MAX_TOLERATED_QUEUE`] if these allow a longer wait.
    pub(super) fn worth_queueing(&self, now: Duration, request: &Request) -> bool {
        let (wait, service) = (
            self.expected_wait_us(request),
            self.expected_service_us(request),
        );
        let remaining = |time: Duration| micros(time.saturating_sub(now));
        let slots = self.slots_of(request.length) as f64;
        let tolerated_wait =
            service * MAX_TOLERATED_WAIT_SERVICE_TIMES.min(MAX_TOLERATED_QUEUE / slots);
        wait + service <= remaining(request.deadline)
            && (wait <= tolerated_wait
                || wait + service <= remaining(request.target) * TARGET_SHARE)
    }

    /// Returns whether a queued request is unlikely to be answered before its
    /// deadline even if it starts now.
    pub(super) fn too_late(&self, now: Duration, request: &Request) -> bool {
        micros(request.deadline.saturating_sub(now))
            < self.expected_service_us(request) * MIN_REMAINING_SHARE
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
        chosen.map(|(_, (_, id))| id)
    }

    /// Moves a queued request to a slot.
    ///
    /// # Panics
    ///
    /// Panics if the request is not queued.
    pub(super) fn start(&mut self, now: Duration, id: u64) {
        let request = self.waiting[&id];
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
    /// cancelled at their deadline would hide all slow answers.
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
    }
}
