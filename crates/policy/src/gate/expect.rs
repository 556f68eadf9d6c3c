//! Expected service times and waits, and the decision whether a request is
//! queued on time.

use std::time::Duration;

use savorylane_intent::document;

use super::{Class, Gate, Request};

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

    /// Counts an arrival at `now` in the arrival rate.
    pub(super) fn count_arrival(&mut self, now: Duration) {
        let share = 1.0 / ARRIVAL_RATE_TIME_CONSTANT.as_secs_f64();
        self.arrival_rate = self.decayed_arrival_rate(now) + share;
        self.arrival_rate_at = now;
    }
}

/// Returns a duration in microseconds.
pub(super) fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

impl Gate {
    /// Returns the expected service time in microseconds: that of the class,
    /// else that of all short or long work, else the prior.
    pub(super) fn expected_service_us(&self, request: &Request) -> f64 {
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
    pub(super) fn slots_of(&self, length: document::Work) -> usize {
        match length {
            document::Work::Short => (self.effective_limit() - self.running_long).max(1),
            document::Work::Long => self.long_limit(),
        }
    }

    /// Returns the expected time until the end of a new request that waits on
    /// time.
    pub fn expected_end(&self, request: &Request) -> Duration {
        let end_us = self.expected_wait_us(request) + self.expected_service_us(request);
        Duration::from_secs_f64(end_us / 1e6)
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
}
