//! Bookkeeping behind [`Gate`]: estimates, selection and the invariants.

use std::time::Duration;

use savorylane_intent::document;

use super::{
    ALONE_MAX, CLASSES_MAX, Class, DEMAND, Decision, Finish, Gate, QUEUE_MAX, Queue, Reason,
    Running, Work, long_max,
};

/// Time constant of the arrival rate of a class.
const RATE: Duration = Duration::from_millis(250);
/// Wait that is accepted whatever the target, in service times, so that noise
/// does not leave slots idle.
const WAIT_MIN: f64 = 2.0;
/// Requests whose wait is accepted at most on these grounds. Of many slots, one
/// becomes free soon, and a longer queue only delays every answer.
const QUEUE_MIN: f64 = 4.0;
/// Share of the time left until the target that wait and service may be
/// expected to take. Under overload the queue grows to what is accepted; with
/// all of the time, half of the answers would miss the target by the spread of
/// the service times and the way back.
const TARGET_SHARE: f64 = 0.6;
/// Least share of the slots that is assumed to be left by work that is shed
/// later. It bounds the expected wait.
const LEFT_MIN: f64 = 0.01;
/// Weight of a new sample in a smoothed service time.
const WEIGHT: f64 = 0.125;
/// Share of the expected service time that must remain when a request starts.
/// With less, the slot is most likely spent on an answer that comes too late.
const START_SHARE: f64 = 0.5;

impl Class {
    /// Returns the smoothed arrivals per second.
    fn rate_now(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.rate_at).as_secs_f64();
        self.rate * (-elapsed / RATE.as_secs_f64()).exp()
    }
}

fn smooth(value: &mut f64, sample: f64) {
    *value = if *value == 0.0 {
        sample
    } else {
        *value + (sample - *value) * WEIGHT
    };
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

impl Gate {
    /// Returns the limit in force. It falls only as slots become free, so that
    /// the invariants hold while a lower limit is wanted.
    pub(super) fn limit_now(&self) -> usize {
        let mut limit = self.limit.at(self.now).max(self.running.len());
        while long_max(limit) < self.running_long {
            limit += 1;
        }
        limit
    }

    /// Moves the time forward and integrates the demand of short work.
    pub(super) fn tick(&mut self, now: Duration) {
        self.now = self.now.max(now);
        let elapsed = self.now.saturating_sub(self.demand_at).as_secs_f64();
        let short = self.running.len() - self.running_long;
        let kept = (-elapsed / DEMAND.as_secs_f64()).exp();
        self.demand = self.demand * kept + short as f64 * (1.0 - kept);
        self.demand_at = self.now;
    }

    /// Returns the slots that long work may use now: what short work leaves,
    /// with two standard deviations of its demand to spare, and at least one
    /// so that uploads progress.
    fn long_slots(&self) -> usize {
        let limit = self.limit_now();
        let demand = self.demand + 2.0 * self.demand.sqrt();
        let left = (limit as f64 - demand).max(1.0) as usize;
        left.min(long_max(limit))
    }

    /// Remembers the class of a request.
    pub(super) fn learn(&mut self, work: &Work) {
        if self.classes.len() >= CLASSES_MAX && !self.classes.contains_key(&work.class) {
            self.classes.retain(|_, class| class.queue.len() > 0);
        }
        let class = self.classes.entry(work.class).or_insert_with(|| Class {
            length: work.length,
            shed_order: work.shed_order,
            queue: Queue::default(),
            service_us: 0.0,
            rate: 0.0,
            rate_at: self.now,
        });
        class.length = work.length;
        class.shed_order = work.shed_order;
        class.rate = class.rate_now(self.now) + 1.0 / RATE.as_secs_f64();
        class.rate_at = self.now;
    }

    /// Returns the expected service time, microseconds.
    fn service_us(&self, work: &Work) -> f64 {
        match self.classes.get(&work.class) {
            Some(class) if class.service_us > 0.0 => return class.service_us,
            _ => {}
        }
        let known = match work.length {
            document::Work::Short => self.short_us,
            document::Work::Long => self.long_us,
        };
        if known > 0.0 {
            return known;
        }
        micros(work.target.saturating_sub(self.now)) * self.prior
    }

    /// Returns the expected wait of a new request behind the work that is
    /// served before it, microseconds. Work that is shed later and arrives
    /// during the wait is served first too; without counting it, work that is
    /// shed first would wait in vain until its deadline.
    pub(super) fn wait_us(&self, work: &Work) -> f64 {
        let mut ahead_us = self.service_us(work);
        let mut used = 0.0;
        for (id, class) in &self.classes {
            if class.length != work.length || class.shed_order > work.shed_order {
                continue;
            }
            let count = if *id == work.class {
                class.queue.ahead(work.caller, work.deadline)
            } else if class.shed_order == work.shed_order {
                class.queue.before(work.deadline)
            } else {
                class.queue.len()
            };
            let each_us = match class.service_us {
                0.0 => self.service_us(work),
                known => known,
            };
            ahead_us += count as f64 * each_us;
            if class.shed_order < work.shed_order {
                used += class.rate_now(self.now) * class.service_us / 1e6;
            }
        }
        let slots = self.slots_of(work.length) as f64;
        ahead_us / (slots - used).max(slots * LEFT_MIN)
    }

    fn slots_of(&self, length: document::Work) -> usize {
        match length {
            document::Work::Short => (self.limit_now() - self.running_long).max(1),
            document::Work::Long => self.long_slots(),
        }
    }

    /// Says whether the deadline can be met, given queue, limit and service
    /// time. Under lasting overload a longer queue delays every answer and
    /// answers no more of them, so the wait is also bounded by the target of
    /// the class, or by [`WAIT_MIN`] if the target is nearer.
    pub(super) fn in_time(&self, now: Duration, work: &Work) -> bool {
        let (wait, service) = (self.wait_us(work), self.service_us(work));
        let left = |moment: Duration| micros(moment.saturating_sub(now));
        let slots = self.slots_of(work.length) as f64;
        let wait_min = service * WAIT_MIN.min(QUEUE_MIN / slots);
        wait + service <= left(work.deadline)
            && (wait <= wait_min || wait + service <= left(work.target) * TARGET_SHARE)
    }

    /// Says whether a waiting request has no chance to be answered in time.
    pub(super) fn too_late(&self, now: Duration, work: &Work) -> bool {
        micros(work.deadline.saturating_sub(now)) < self.service_us(work) * START_SHARE
    }

    /// Makes room in the queue of the class, at the cost of the caller that
    /// has most.
    pub(super) fn make_room(&mut self, work: &Work) -> Result<(), Reason> {
        let queue = &self.classes[&work.class].queue;
        if queue.len() < QUEUE_MAX {
            return Ok(());
        }
        if queue.largest() <= queue.of(work.caller) + 1 {
            return Err(Reason::Full);
        }
        if let Some((_, id)) = queue.last() {
            self.drop_waiting(id);
            self.refused.push_back((id, Reason::Full));
        }
        Ok(())
    }

    /// Refuses waiting work that can no longer be in time because `work`
    /// arrived, highest `shed_order` first. One arrival displaces about one
    /// request, so two steps are enough.
    pub(super) fn shed(&mut self, now: Duration, work: &Work) {
        for _ in 0..2 {
            let backlog_us = self
                .classes
                .values()
                .filter(|class| class.length == work.length)
                .map(|class| class.queue.len() as f64 * class.service_us)
                .sum::<f64>();
            let victim = self
                .classes
                .values()
                .filter(|class| class.length == work.length && class.queue.len() > 0)
                .max_by_key(|class| class.shed_order);
            let Some((deadline, id)) = victim.and_then(|class| class.queue.last()) else {
                return;
            };
            let victim = self.waiting[&id];
            let end_us = backlog_us / self.slots_of(work.length) as f64 + self.service_us(&victim);
            if id == work.id || end_us <= micros(deadline.saturating_sub(now)) {
                return;
            }
            self.drop_waiting(id);
            self.refused.push_back((id, Reason::Shed));
        }
    }

    /// Takes a request that must run alone.
    pub(super) fn arrive_alone(&mut self, now: Duration, work: Work) -> Decision {
        if self.alone.len() >= ALONE_MAX {
            return Decision::Refuse(Reason::Full);
        }
        self.enqueue(work);
        if self.peek(now) != Some(work.id) {
            return Decision::Wait;
        }
        self.start(now, work.id);
        Decision::Run
    }

    pub(super) fn enqueue(&mut self, work: Work) {
        if work.alone {
            self.alone.insert((work.deadline, work.id));
        } else if let Some(class) = self.classes.get_mut(&work.class) {
            class.queue.push(work.caller, work.deadline, work.id);
        }
        self.deadlines.insert((work.deadline, work.id));
        self.waiting.insert(work.id, work);
        self.check();
    }

    /// Takes a request out of its queue; `served` charges its caller.
    pub(super) fn dequeue(&mut self, work: &Work, served: bool) {
        self.waiting.remove(&work.id);
        self.deadlines.remove(&(work.deadline, work.id));
        if work.alone {
            self.alone.remove(&(work.deadline, work.id));
            if !served
                && self.alone.is_empty()
                && let Some(since) = self.held_since.take()
            {
                self.hold_after = self.now + self.now.saturating_sub(since);
            }
            return;
        }
        if let Some(class) = self.classes.get_mut(&work.class) {
            if served {
                class.queue.pop(work.caller, work.deadline, work.id);
            } else {
                class.queue.remove(work.caller, work.deadline, work.id);
            }
        }
    }

    pub(super) fn drop_waiting(&mut self, id: u64) {
        if let Some(work) = self.waiting.get(&id).copied() {
            self.dequeue(&work, false);
        }
    }

    /// Returns the waiting request that may start now.
    ///
    /// Work that must run alone first holds back new long work and, once no
    /// long work runs, all new work. Holding back everything during an upload
    /// would block short work for its whole length. Afterwards other work runs
    /// for at least as long as it was held back.
    pub(super) fn peek(&mut self, now: Duration) -> Option<u64> {
        if self.closed || self.alone_running {
            return None;
        }
        let mut alone = false;
        if let Some(&(_, id)) = self.alone.first() {
            alone = now >= self.hold_after;
            let others = self.waiting.len() > self.alone.len();
            if self.running.is_empty() && (alone || !others) {
                return Some(id);
            }
            if alone && self.running_long == 0 {
                self.held_since.get_or_insert(now);
                return None;
            }
        }
        if self.running.len() >= self.limit_now() {
            return None;
        }
        let long = !alone && self.running_long < self.long_slots();
        let first = |length: document::Work| {
            self.classes
                .values()
                .filter(move |class| class.length == length)
                .filter_map(|class| Some((class.shed_order, class.queue.first()?)))
                .min()
        };
        let short_first = first(document::Work::Short);
        let long_first = long.then(|| first(document::Work::Long)).flatten();
        // One slot is for long work while it waits, whatever its order.
        let progress = self.running_long == 0 && self.limit_now() > 1;
        let chosen = match (short_first, long_first) {
            (Some(_), Some(long)) if progress => Some(long),
            (Some(short), Some(long)) => Some(short.min(long)),
            (short, long) => short.or(long),
        };
        chosen.map(|(_, (_, id))| id)
    }

    pub(super) fn start(&mut self, now: Duration, id: u64) {
        let work = self.waiting[&id];
        self.dequeue(&work, true);
        if work.length == document::Work::Long {
            self.running_long += 1;
        }
        self.alone_running = work.alone;
        let earlier = self.running.insert(id, Running { start: now, work });
        assert!(earlier.is_none(), "a request starts once");
        self.check();
    }

    /// Learns from a request that ended. A cancelled request that ran longer
    /// than expected counts as a lower bound; without it, deadlines would hide
    /// all slow answers.
    pub(super) fn measure(&mut self, now: Duration, running: &Running, end: Finish, full: bool) {
        let service = now.saturating_sub(running.start);
        let sample = micros(service).max(1.0);
        let work = &running.work;
        let known = self.service_us(work);
        if end == Finish::Died || (end == Finish::Cancelled && sample <= known) {
            return;
        }
        if let Some(class) = self.classes.get_mut(&work.class) {
            smooth(&mut class.service_us, sample);
        }
        match work.length {
            document::Work::Short => smooth(&mut self.short_us, sample),
            document::Work::Long => smooth(&mut self.long_us, sample),
        }
        if end == Finish::Answered && work.length == document::Work::Short {
            self.limit.add(now, work.class, service, full);
        }
    }

    /// Asserts the invariants of the accounting.
    pub(super) fn check(&self) {
        let limit = self.limit_now();
        assert!(self.running.len() <= limit, "running work fits the limit");
        // Work that must run alone starts only on an idle upstream, so the
        // slots that are kept for short work do not apply to it.
        assert!(
            self.running_long <= long_max(limit),
            "short work keeps a slot"
        );
        assert!(
            !self.alone_running || self.running.len() == 1,
            "nothing runs beside work that must run alone"
        );
        assert_eq!(
            self.waiting.len(),
            self.deadlines.len(),
            "each waiting request has one deadline"
        );
    }
}
