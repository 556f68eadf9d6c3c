//! Late lane: requests that are expected to miss their target but can still be
//! answered before their deadline.
//!
//! They run only while no request waits on time, and are refused as soon as
//! they are no longer expected to run before their deadline.

use std::collections::BTreeSet;
use std::time::Duration;

use savorylane_intent::document;

use super::expect::micros;
use super::{Gate, MAX_RETRY_AFTER_MS, Reason, Request};

/// Minimum ratio of the time limit of a request to its target latency at which
/// the request may wait in the late lane. With a lower ratio, little time is
/// left behind the target, and a wait ends in a late refusal more often than
/// in an answer.
pub const MIN_LIMIT_RATIO: f64 = 3.0;
/// Maximum number of requests in the late lane.
pub const MAX_LATE_QUEUE: usize = 256;
/// Time constant of the slots that on-time work uses. Long enough that a short
/// burst does not displace the requests in the lane.
const USE_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Minimum share of the slots assumed to remain beside on-time work. Bounds
/// the expected wait.
const MIN_FREE_SHARE: f64 = 0.05;
/// Share of the time until the deadline that wait and service together may be
/// expected to take on arrival. The rest absorbs the error of the estimates,
/// since a refusal after a wait costs its caller more than one on arrival.
const DEADLINE_SHARE: f64 = 0.5;

/// Maximum share by which a retry-after hint is extended.
const RETRY_SPREAD: f64 = 0.5;

/// Returns a hash of `id` whose bits are evenly distributed (the finalizer of
/// SplitMix64).
fn mix(id: u64) -> u64 {
    let mut hash = id.wrapping_add(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// Returns whether a request with `limit` until its deadline and `target` until
/// its latency target may wait in the late lane.
pub fn has_late_lane(target: Duration, limit: Duration) -> bool {
    limit.as_secs_f64() >= target.as_secs_f64() * MIN_LIMIT_RATIO
}

/// Numbers of requests of the late lane since the gate was created.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Requests that were queued in the lane or started from it on arrival.
    pub admitted: u64,
    /// Requests that were started.
    pub started: u64,
    /// Requests that were refused because they could no longer run before
    /// their deadline.
    pub displaced: u64,
}

/// Requests of the late lane, and the slots that on-time work uses.
#[derive(Debug, Default)]
pub(super) struct Lane {
    /// Shed order, deadline and id of each request, in order of service.
    queue: BTreeSet<(u8, Duration, u64)>,
    /// Smoothed slots in use by on-time work, as of `use_at`.
    on_time_use: f64,
    use_at: Duration,
    pub(super) counts: Counts,
}

/// Returns the position of a request in the order of service.
fn key(request: &Request) -> (u8, Duration, u64) {
    (request.shed_order, request.deadline, request.id)
}

impl Lane {
    /// Returns the number of requests in the lane.
    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    /// Adds a request.
    pub(super) fn push(&mut self, request: &Request) {
        self.queue.insert(key(request));
    }

    /// Returns whether the lane holds the request.
    pub(super) fn contains(&self, request: &Request) -> bool {
        self.queue.contains(&key(request))
    }

    /// Removes a request. Returns whether the lane held it.
    pub(super) fn remove(&mut self, request: &Request) -> bool {
        self.queue.remove(&key(request))
    }

    /// Returns the id of the request to serve next.
    pub(super) fn first(&self) -> Option<u64> {
        self.queue.first().map(|(_, _, id)| *id)
    }

    /// Returns the slots in use by on-time work at `now`.
    fn on_time_use(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.use_at).as_secs_f64();
        self.on_time_use * (-elapsed / USE_TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// Records that a request with the expected service time `service_us` was
    /// admitted on time.
    pub(super) fn record_on_time(&mut self, now: Duration, service_us: f64) {
        let share = service_us / micros(USE_TIME_CONSTANT);
        self.on_time_use = self.on_time_use(now) + share;
        self.use_at = now;
    }
}

impl Gate {
    /// Returns the expected wait in microseconds of a request of the late lane
    /// that has `ahead` others of the lane before it.
    ///
    /// The requests that wait on time, and those that arrive on time meanwhile,
    /// are served first.
    fn late_wait_us(&self, request: &Request, ahead: usize) -> f64 {
        let slots = self.slots_of(request.length) as f64;
        let idle = self.effective_limit() - self.running.len();
        let before = self.waiting.len() - self.late.len() + ahead;
        let cold_us = self.cold_wait_us(request);
        if before < idle {
            return cold_us;
        }
        let service_us = match request.length {
            document::Work::Short if self.short_service_us > 0.0 => self.short_service_us,
            _ => self.expected_service_us(request),
        };
        let free = slots - self.late.on_time_use(self.now);
        let wait_us = (before - idle + 1) as f64 * service_us / free.max(slots * MIN_FREE_SHARE);
        wait_us.max(cold_us)
    }

    /// Returns the expected wait in microseconds of a new request of the late
    /// lane.
    pub(super) fn new_late_wait_us(&self, request: &Request) -> f64 {
        let ahead = self.late.queue.range(..key(request)).count();
        self.late_wait_us(request, ahead)
    }

    /// Returns whether a request that cannot be in time may wait in the late
    /// lane, as it is expected to be answered well before its deadline.
    ///
    /// Load pattern: crests and slow moments of some seconds, after which the
    /// slots have room again, with callers that wait for several times the
    /// target. Under overload that lasts longer than the callers wait, on-time
    /// work uses all slots, and the request is refused on arrival.
    pub(super) fn worth_waiting_late(&self, now: Duration, request: &Request) -> bool {
        if !request.late || request.exclusive || request.length == document::Work::Long {
            return false;
        }
        let end_us = self.new_late_wait_us(request) + self.expected_service_us(request);
        let remaining_us = micros(request.deadline.saturating_sub(now));
        self.late.len() < MAX_LATE_QUEUE && end_us <= remaining_us * DEADLINE_SHARE
    }

    /// Displaces the requests of the late lane that are no longer expected to
    /// end before their deadline.
    ///
    /// Load pattern: on-time work takes the room that was free when a late
    /// request was accepted. Its caller learns this while it can still try
    /// again, not at the deadline.
    pub(super) fn displace_late(&mut self, now: Duration) {
        let mut ahead = 0;
        let mut displaced = Vec::new();
        for (_, deadline, id) in &self.late.queue {
            let request = &self.waiting[id];
            let end_us = self.late_wait_us(request, ahead) + self.expected_service_us(request);
            if end_us > micros(deadline.saturating_sub(now)) {
                displaced.push(*id);
            } else {
                ahead += 1;
            }
        }
        for id in displaced {
            self.remove_waiting(id);
            self.pending_refusals.push_back((id, Reason::Shed));
            self.late.counts.displaced += 1;
        }
    }

    /// Returns the earliest time at which a request of the late lane can no
    /// longer end before its deadline, even if it started then.
    pub(super) fn late_check_at(&self) -> Option<Duration> {
        let latest_start = |id: &u64| {
            let request = &self.waiting[id];
            let service = Duration::from_secs_f64(self.expected_service_us(request) / 1e6);
            request.deadline.saturating_sub(service)
        };
        self.late
            .queue
            .iter()
            .map(|(_, _, id)| latest_start(id))
            .min()
    }

    /// Returns the time in milliseconds after which the backlog before a
    /// request that the late lane refused is expected to have drained. It is
    /// longer by up to [`RETRY_SPREAD`], by the id, so that callers that were
    /// refused together do not return together.
    pub(super) fn late_retry_after_ms(&self, request: &Request) -> u32 {
        let wait_ms = self.new_late_wait_us(request) / 1_000.0;
        let bounded = wait_ms.clamp(1.0, f64::from(MAX_RETRY_AFTER_MS));
        let spread = RETRY_SPREAD * (mix(request.id) >> 11) as f64 / (1_u64 << 53) as f64;
        (bounded * (1.0 + spread)).ceil() as u32
    }

    /// Returns the numbers of requests of the late lane.
    pub fn late_counts(&self) -> Counts {
        self.late.counts
    }
}
