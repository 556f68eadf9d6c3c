//! Effects of a cold upstream on its gate.

use std::time::Duration;

use savorylane_wire::Load;

use super::expect::micros;
use super::{Gate, Reason, Request};
use crate::cold::{ANSWER_TIME, Limits, State};

/// Minimum share of the rate assumed to remain beside classes with a lower shed
/// order. Bounds the expected wait.
const MIN_RATE_SHARE: f64 = 0.01;
/// Service time assumed for a load report before one was measured.
const SERVICE_PRIOR: Duration = Duration::from_millis(100);

impl Gate {
    /// Returns the belief whether the upstream is cold.
    pub fn cold(&self) -> &State {
        &self.cold
    }

    /// Returns the belief whether the upstream is cold, to change it.
    /// [`Gate::next_action`] must be called afterwards until it returns `None`.
    pub fn cold_mut(&mut self) -> &mut State {
        &mut self.cold
    }

    /// Records the upstream's answer to a question, as [`State::on_report`] does,
    /// and refuses queued requests that were queued in the hope of a better one.
    /// [`Gate::next_action`] must be called afterwards until it returns `None`.
    pub fn on_cold_report(&mut self, now: Duration, left: Option<Duration>) {
        self.advance(now);
        self.cold.on_report(now, left);
        if !self.is_held_cold(now) {
            return;
        }
        let latest_first = self.deadlines.iter().rev();
        for id in latest_first.map(|(_, id)| *id).collect::<Vec<_>>() {
            let request = self.waiting[&id];
            // Late requests are displaced once they can no longer run in time.
            if request.exclusive || self.late.contains(&request) {
                continue;
            }
            self.dequeue(&request, false);
            if self.worth_queueing(now, &request) {
                self.enqueue(request);
            } else {
                self.cold.on_refused();
                self.pending_refusals.push_back((id, Reason::Cold));
            }
        }
    }

    /// Returns whether the limit of a cold upstream keeps the next request from
    /// starting at `now`.
    pub(super) fn is_held_cold(&self, now: Duration) -> bool {
        self.cold.free_at(now).is_some()
    }

    /// Returns the reason for which a request that is not worth queueing is
    /// refused, and counts it if the limit of a cold upstream is the reason.
    pub(super) fn refuse_unqueued(&mut self, now: Duration) -> Reason {
        if !self.is_held_cold(now) {
            return Reason::Deadline;
        }
        self.cold.on_refused();
        Reason::Cold
    }

    /// Returns the time in microseconds until the limit of a cold upstream lets
    /// a new request start; 0 if the upstream is not cold.
    ///
    /// Short and long work share the limit. As for slots, requests with a lower
    /// shed order that arrive during the wait are served first.
    pub(super) fn cold_wait_us(&self, request: &Request) -> f64 {
        let Some(limits) = self.limits_in_force() else {
            return 0.0;
        };
        let (mut ahead, mut used_rate) = (0, 0.0);
        for (id, class) in &self.classes {
            if class.shed_order > request.shed_order {
                continue;
            }
            ahead += match *id == request.class {
                true => class.queue.count_ahead(request.caller, request.deadline),
                false => class.queue.len(),
            };
            if class.shed_order < request.shed_order {
                used_rate += class.decayed_arrival_rate(self.now);
            }
        }
        let rate = limits.requests_per_s as f64;
        let free_at = self.cold.free_at(self.now).unwrap_or(self.now);
        let wait_us = micros(free_at.saturating_sub(self.now))
            + ahead as f64 * 1e6 / (rate - used_rate).max(rate * MIN_RATE_SHARE);
        // The limit ends when the upstream is warm, which it may state soon.
        let longest = match self.cold.is_statement_due(self.now) {
            true => ANSWER_TIME,
            false => self.cold.until().saturating_sub(self.now),
        };
        wait_us.min(micros(longest))
    }

    /// Returns the time in microseconds in which the limit of a cold upstream
    /// lets all queued requests start; 0 if the upstream is not cold.
    pub(super) fn cold_backlog_us(&self) -> f64 {
        let Some(limits) = self.limits_in_force() else {
            return 0.0;
        };
        let backlog_us = self.waiting.len() as f64 * 1e6 / limits.requests_per_s as f64;
        backlog_us.min(micros(self.cold.until().saturating_sub(self.now)))
    }

    /// Changes a load report so that it states what a cold upstream takes.
    ///
    /// The limit is what the rate allows within one service time. While no
    /// request may start, the slots below this limit count as queued requests,
    /// and so do the requests that the rate allows in the meantime: other
    /// daemons would take the slots for free and send requests that are
    /// refused.
    pub(super) fn cold_load(&self, load: Load) -> Load {
        let Some(limits) = self.limits_in_force() else {
            return load;
        };
        let service = match load.service_us {
            0 => SERVICE_PRIOR,
            known => Duration::from_micros(known.into()),
        };
        let taken = (limits.requests_per_s as f64 * service.as_secs_f64()).ceil() as u32;
        let limit = load.limit.min(taken.max(1)).max(load.running);
        let queued = match self.cold.free_at(self.now) {
            None => load.queued,
            Some(free_at) => {
                let wait = free_at.saturating_sub(self.now).as_secs_f64();
                let held = (wait * limits.requests_per_s as f64).ceil() as u32;
                load.queued + (limit - load.running) + held
            }
        };
        Load {
            limit,
            queued,
            ..load
        }
    }

    fn limits_in_force(&self) -> Option<Limits> {
        self.cold
            .limits()
            .filter(|_| self.cold.is_limited(self.now))
    }
}
