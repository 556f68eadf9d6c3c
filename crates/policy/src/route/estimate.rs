//! Load and latency of one host, as a daemon estimates them.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use savorylane_intent::document;
use savorylane_wire::{Incarnation, Load};

use super::CONNECTION_IDLE_TIMEOUT;
use super::pace::Pace;

/// Maximum number of unanswered short requests whose start times are kept.
/// With more in flight, the age of the oldest kept request is a lower bound of
/// the age of the oldest one.
const MAX_START_TIMES: usize = 16;
/// Right shift that gives an answer faster than the smoothed response time a
/// weight of an eighth.
const FASTER_SHIFT: u32 = 3;
/// Right shift that gives a slower answer a weight of a quarter, so that a host
/// that becomes slow is noticed within a few answers.
const SLOWER_SHIFT: u32 = 2;
/// Time over which the share of a new host grows to its full value.
const SLOW_START_US: u64 = 5_000_000;
/// Initial share of a new host.
const MIN_SLOW_START_SHARE: f64 = 0.05;
/// Backoff after the first failure; doubles with each further one.
const BASE_BACKOFF_US: u64 = 50_000;
/// Upper bound of the backoff.
const MAX_BACKOFF_US: u64 = 2_000_000;

/// Time after which a report that the host is leaving no longer keeps requests
/// from the host. The process that sent it may have been replaced since, and
/// only an answer to another request would show that.
const LEAVING_TIMEOUT_US: u64 = 1_000_000;

/// Time constant, in service times of short work, with which a reported load
/// decays. Long work occupies its slots for many service times of short work,
/// so a shorter time constant would send short work to hosts that are still
/// busy with long work.
const LOAD_DECAY_SERVICE_TIMES: f64 = 16.0;

/// Time since the last answer after which a response time is stale. Requests
/// that may not probe a slow host would otherwise avoid it for good.
const MAX_LATENCY_AGE_US: u64 = 1_000_000;

/// Outcome of a request to a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The host answered. The elapsed time is a sample of its response time.
    Answered,
    /// The request was cancelled. The elapsed time is a lower bound of the
    /// response time.
    Cancelled,
    /// The connection failed or stayed silent.
    Failed,
    /// The host refused the request without running it.
    Refused,
}

/// Snapshot of an estimate at the time a request was sent to the host.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Observation {
    /// Expected number of requests at the host.
    pub load: u32,
    /// Reported concurrency limit; 0 before the first report.
    pub limit: u32,
    /// Age of the last load report in milliseconds.
    pub age_ms: u64,
    /// Smoothed response time of short work in milliseconds; 0 if unknown.
    pub latency_ms: u64,
}

/// A request counted by [`Estimate::begin`], to be passed to [`Estimate::end`]
/// exactly once.
#[derive(Debug)]
#[must_use]
pub struct Ticket {
    started_us: u64,
    /// Whether the request may wait in the late lane of the host, so that its
    /// response time says nothing about the host.
    late: bool,
    /// Index of the start time in [`Estimate::starts`], if it is kept.
    start_index: Option<usize>,
    length: document::Work,
    round_trip_us: u64,
    /// Mean of the class in microseconds; 0 if unknown.
    mean_us: u64,
}

impl Ticket {
    /// Returns the ticket of a request whose class is answered in `mean` on
    /// average and whose round trip takes `round_trip`, so that its response
    /// time counts for the pace of the host.
    pub fn with_mean(self, mean: Option<Duration>, round_trip: Duration) -> Self {
        Self {
            round_trip_us: round_trip.as_micros() as u64,
            mean_us: mean.map_or(0, micros),
            ..self
        }
    }
}

/// Estimated load and latency of one host, from a daemon's own requests and
/// the load reported with their answers.
///
/// The request path updates the fields with atomics. Fields that are read
/// together may stem from two updates, which only costs accuracy.
#[derive(Debug, Default)]
pub struct Estimate {
    in_flight_short: AtomicU32,
    in_flight_long: AtomicU32,
    /// Requests sent since the last report.
    sent: AtomicU32,
    /// Running and queued requests in the last report.
    reported_load: AtomicU32,
    /// Reported concurrency limit; 0 before the first report.
    limit: AtomicU32,
    /// Reported service time of short work.
    service_us: AtomicU32,
    /// Time of the last report.
    reported_us: AtomicU64,
    leaving: AtomicU32,
    reserve_above: AtomicU32,
    incarnation_started_ms: AtomicU64,
    incarnation_nonce: AtomicU32,
    short_response_us: AtomicU64,
    long_response_us: AtomicU64,
    pace: Pace,
    /// Start times of unanswered short requests; 0 marks a free entry.
    starts: [AtomicU64; MAX_START_TIMES],
    /// Failures since the last answer.
    failures: AtomicU32,
    /// Time of the last failure.
    failed_us: AtomicU64,
    /// Start of the slow start; 0 before the host was seen.
    first_seen_us: AtomicU64,
    /// Time of the last answer.
    answered_us: AtomicU64,
    /// Time of the last probe.
    pub(super) probed_us: AtomicU64,
}

/// Returns a time in microseconds, at least 1 because 0 means absent.
pub(super) fn micros(now: Duration) -> u64 {
    (now.as_micros() as u64).max(1)
}

impl Estimate {
    /// Records that a request is sent to the host.
    pub fn begin(&self, now: Duration, length: document::Work) -> Ticket {
        let started_us = micros(now);
        self.mark_seen(now);
        self.sent.fetch_add(1, Ordering::Relaxed);
        let start_index = match length {
            document::Work::Short => {
                self.in_flight_short.fetch_add(1, Ordering::Relaxed);
                self.starts.iter().position(|start| {
                    start
                        .compare_exchange(0, started_us, Ordering::Relaxed, Ordering::Relaxed)
                        .is_ok()
                })
            }
            document::Work::Long => {
                self.in_flight_long.fetch_add(1, Ordering::Relaxed);
                None
            }
        };
        Ticket {
            started_us,
            late: false,
            start_index,
            length,
            round_trip_us: 0,
            mean_us: 0,
        }
    }

    /// Records that a short request is sent to the host that may wait in its
    /// late lane.
    ///
    /// It is not counted as in flight, since it takes no room from requests
    /// that can be in time, and a long wait does not make the host slow.
    pub fn begin_late(&self, now: Duration) -> Ticket {
        self.mark_seen(now);
        self.sent.fetch_add(1, Ordering::Relaxed);
        Ticket {
            started_us: micros(now),
            late: true,
            start_index: None,
            length: document::Work::Short,
            round_trip_us: 0,
            mean_us: 0,
        }
    }

    /// Records that a request ended, and updates the response time and the
    /// backoff.
    pub fn end(&self, now: Duration, ticket: Ticket, outcome: Outcome) {
        let now_us = micros(now);
        if let Some(start_index) = ticket.start_index {
            self.starts[start_index].store(0, Ordering::Relaxed);
        }
        let (in_flight, smoothed) = match ticket.length {
            document::Work::Short => (&self.in_flight_short, &self.short_response_us),
            document::Work::Long => (&self.in_flight_long, &self.long_response_us),
        };
        if !ticket.late {
            in_flight.fetch_sub(1, Ordering::Relaxed);
        }
        let sample = now_us.saturating_sub(ticket.started_us).max(1);
        let known = smoothed.load(Ordering::Relaxed);
        let is_slower = sample > known;
        if ticket.mean_us > 0
            && (outcome == Outcome::Answered || outcome == Outcome::Cancelled && is_slower)
        {
            let passed = sample.saturating_sub(ticket.round_trip_us);
            self.pace.record(passed, ticket.mean_us);
        }
        match outcome {
            Outcome::Answered => {
                if !ticket.late {
                    smoothed.store(smooth(known, sample), Ordering::Relaxed);
                }
                self.failures.store(0, Ordering::Relaxed);
                self.answered_us.store(now_us, Ordering::Relaxed);
            }
            Outcome::Cancelled if sample > known && !ticket.late => {
                smoothed.store(smooth(known, sample), Ordering::Relaxed);
            }
            Outcome::Cancelled | Outcome::Refused => {}
            Outcome::Failed => {
                self.failures.fetch_add(1, Ordering::Relaxed);
                self.failed_us.store(now_us, Ordering::Relaxed);
            }
        }
    }

    /// Records the load reported with an answer. A report of an earlier
    /// incarnation of the host is ignored; one of a later incarnation resets
    /// the estimate.
    pub fn record_load(&self, now: Duration, load: &Load) {
        let known = self.incarnation();
        if load.incarnation < known {
            return;
        }
        if load.incarnation > known {
            self.restart(now, load.incarnation, known != Incarnation::default());
        }
        self.reported_load
            .store(load.running.saturating_add(load.queued), Ordering::Relaxed);
        self.limit.store(load.limit, Ordering::Relaxed);
        self.service_us.store(load.service_us, Ordering::Relaxed);
        self.sent.store(0, Ordering::Relaxed);
        self.reported_us.store(micros(now), Ordering::Relaxed);
        self.leaving
            .store(u32::from(load.leaving), Ordering::Relaxed);
        self.reserve_above
            .store(load.reserve_above, Ordering::Relaxed);
    }

    /// Returns the body size in bytes above which a request to the host has to
    /// reserve capacity of the link first; 0 if no request has to.
    pub fn reserve_above(&self) -> u32 {
        self.reserve_above.load(Ordering::Relaxed)
    }

    /// Starts the slow start of the host at `now` unless the host was seen
    /// before.
    pub fn mark_seen(&self, now: Duration) {
        let _ = self.first_seen_us.compare_exchange(
            0,
            micros(now),
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
    }

    /// Records a new incarnation of the host. If an earlier one was known
    /// (`restarted`), resets the response times and starts a slow start.
    fn restart(&self, now: Duration, incarnation: Incarnation, restarted: bool) {
        self.incarnation_started_ms
            .store(incarnation.started_ms, Ordering::Relaxed);
        self.incarnation_nonce
            .store(incarnation.nonce, Ordering::Relaxed);
        if restarted {
            self.short_response_us.store(0, Ordering::Relaxed);
            self.long_response_us.store(0, Ordering::Relaxed);
            self.pace.reset();
            self.failures.store(0, Ordering::Relaxed);
            self.first_seen_us.store(micros(now), Ordering::Relaxed);
        }
    }

    /// Returns the latest known incarnation of the host.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation {
            started_ms: self.incarnation_started_ms.load(Ordering::Relaxed),
            nonce: self.incarnation_nonce.load(Ordering::Relaxed),
        }
    }

    /// Returns the number of requests of this daemon that the host has not
    /// answered.
    pub fn in_flight(&self) -> u32 {
        self.in_flight_short.load(Ordering::Relaxed) + self.in_flight_long.load(Ordering::Relaxed)
    }

    /// Returns whether the host reported that it is leaving.
    pub fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed) != 0
    }

    /// Returns whether a host that reported that it is leaving must be avoided:
    /// until the report is [`LEAVING_TIMEOUT_US`] old, and after that while a
    /// request is in flight whose answer will confirm or end the report.
    pub(super) fn must_avoid_leaving(&self, now: Duration) -> bool {
        self.leaving() && !self.may_recheck(now, LEAVING_TIMEOUT_US)
    }

    /// Returns whether a request may be sent to a leaving host to learn whether
    /// it still leaves: no other one is in flight, and the last report and the
    /// last probe are at least `interval_us` old.
    pub(super) fn may_recheck(&self, now: Duration, interval_us: u64) -> bool {
        let checked_us = self
            .reported_us()
            .max(self.probed_us.load(Ordering::Relaxed));
        self.in_flight() == 0 && micros(now) >= checked_us + interval_us
    }

    /// Records that a request chosen at `now` will show whether a leaving host
    /// still leaves.
    pub(super) fn record_recheck(&self, now: Duration) {
        if self.leaving() {
            self.probed_us.store(micros(now), Ordering::Relaxed);
        }
    }

    /// Returns the time of the last report.
    pub(super) fn reported_us(&self) -> u64 {
        self.reported_us.load(Ordering::Relaxed)
    }

    /// Returns the smoothed response time of short or long work, if one was
    /// measured.
    pub fn response_time(&self, length: document::Work) -> Option<Duration> {
        let us = match length {
            document::Work::Short => self.short_response_us.load(Ordering::Relaxed),
            document::Work::Long => self.long_response_us.load(Ordering::Relaxed),
        };
        (us > 0).then(|| Duration::from_micros(us))
    }

    /// Returns the time in microseconds that the host takes for a request of a
    /// class with the mean `mean`, if its pace is known.
    pub(super) fn paced_us(&self, mean: Duration) -> Option<f64> {
        self.pace.expected_us(mean)
    }

    /// Returns the age of the oldest unanswered short request whose start time
    /// is kept.
    pub fn oldest_age(&self, now: Duration) -> Option<Duration> {
        let start = self
            .starts
            .iter()
            .map(|start| start.load(Ordering::Relaxed))
            .filter(|start| *start > 0)
            .min()?;
        Some(Duration::from_micros(micros(now).saturating_sub(start)))
    }

    /// Returns whether the host is backed off after failures.
    pub fn backed_off(&self, now: Duration) -> bool {
        let failures = self.failures.load(Ordering::Relaxed);
        if failures == 0 {
            return false;
        }
        let wait = (BASE_BACKOFF_US << (failures - 1).min(8)).min(MAX_BACKOFF_US);
        micros(now) < self.failed_us.load(Ordering::Relaxed) + wait
    }

    /// Returns whether a request failed since the last answer.
    pub(super) fn failing(&self) -> bool {
        self.failures.load(Ordering::Relaxed) > 0
    }

    /// Returns whether the response times are too old to avoid the host
    /// because of them.
    pub(super) fn latency_is_stale(&self, now: Duration) -> bool {
        micros(now) > self.answered_us.load(Ordering::Relaxed) + MAX_LATENCY_AGE_US
    }

    /// Returns whether a connection to the host is open, as far as the requests
    /// of this daemon show.
    pub(super) fn is_connected(&self, now: Duration) -> bool {
        let idle_us = CONNECTION_IDLE_TIMEOUT.as_micros() as u64;
        let answered_us = self.answered_us.load(Ordering::Relaxed);
        self.in_flight() > 0 || (answered_us > 0 && micros(now) < answered_us + idle_us)
    }

    /// Returns the share of the requests that the host may receive during slow
    /// start: a twentieth when the host is first seen, growing to 1.
    pub(super) fn slow_start_share(&self, now: Duration) -> f64 {
        let seen = self.first_seen_us.load(Ordering::Relaxed);
        if seen == 0 {
            return MIN_SLOW_START_SHARE;
        }
        let age = micros(now).saturating_sub(seen);
        (age as f64 / SLOW_START_US as f64).clamp(MIN_SLOW_START_SHARE, 1.0)
    }

    /// Returns the expected number of requests at the host: the last reported
    /// load, decayed with its age, plus the requests sent since the report.
    pub(super) fn outstanding(&self, now: Duration) -> f64 {
        let own = f64::from(self.in_flight());
        let age_us = micros(now).saturating_sub(self.reported_us());
        let service_us = self.service_us.load(Ordering::Relaxed).max(1_000);
        let kept = (-(age_us as f64) / (LOAD_DECAY_SERVICE_TIMES * f64::from(service_us))).exp();
        let reported = f64::from(self.reported_load.load(Ordering::Relaxed)) * kept;
        own.max(reported + f64::from(self.sent.load(Ordering::Relaxed)))
    }

    /// Returns a snapshot of the estimate at `now`, for a log line.
    pub fn observe(&self, now: Duration) -> Observation {
        let us = |atomic: &AtomicU64| atomic.load(Ordering::Relaxed);
        let age_us = micros(now).saturating_sub(us(&self.reported_us));
        Observation {
            load: self.outstanding(now).round() as u32,
            limit: self.limit.load(Ordering::Relaxed),
            age_ms: age_us / 1_000,
            latency_ms: us(&self.short_response_us) / 1_000,
        }
    }

    /// Returns the reported concurrency limit, if there is one.
    pub(super) fn limit(&self) -> Option<f64> {
        let limit = self.limit.load(Ordering::Relaxed);
        (limit > 0).then_some(f64::from(limit))
    }
}

/// Returns `known` moved towards `sample`, or `sample` if nothing is known.
pub(super) fn smooth(known: u64, sample: u64) -> u64 {
    if known == 0 {
        sample
    } else if sample > known {
        known + ((sample - known) >> SLOWER_SHIFT)
    } else {
        known - ((known - sample) >> FASTER_SHIFT)
    }
}
