//! Admission of large bodies to the link of a host.
//!
//! Concurrent transfers share the link. With too many of them all bodies
//! arrive late, although the throughput of the link stays the same, and the
//! bytes of a body whose request is then refused are wasted. Only a few bodies
//! are therefore transferred at a time, and a sender reserves capacity before
//! it sends one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::gate::{Action, Decision, Reason};

/// Round-trip time to another region. A transfer over it must not stall on its
/// flow-control window.
const ROUND_TRIP: Duration = Duration::from_millis(44);
/// Ratio of concurrent transfers to those that would fill the link, so that
/// other transfers use the link while one waits for its sender.
const OVERCOMMIT: f64 = 1.6;
/// Minimum number of concurrent transfers.
const MIN_CONCURRENT_BODIES: usize = 2;
/// Share of the time until the target that the wait and the transfer of a body
/// may be expected to take together. The rest is left to the upstream.
const TARGET_SHARE: f64 = 0.6;
/// Weight of a new sample in the smoothed transfer time.
const SMOOTHING_WEIGHT: f64 = 0.125;
/// Upper bound of the retry-after hint.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the number of concurrent transfers for a link of `mbps` megabits
/// per second, each of which sends `window` bytes per round trip.
pub fn concurrent_bodies(mbps: u32, window: u32) -> usize {
    let in_flight = f64::from(mbps) * 1e6 / 8.0 * ROUND_TRIP.as_secs_f64();
    let needed = in_flight / f64::from(window);
    ((needed * OVERCOMMIT).ceil() as usize).max(MIN_CONCURRENT_BODIES)
}

/// A request to transfer a body.
#[derive(Clone, Copy, Debug)]
pub struct Transfer {
    /// Identifies the body within its limiter.
    pub id: u64,
    /// Shed order of the class: lower values are transferred first.
    pub shed_order: u8,
    /// Time after which the caller no longer waits for the answer.
    pub deadline: Duration,
    /// Time by which the request must be answered to meet the latency target
    /// of its class.
    pub target: Duration,
}

/// Limiter of the concurrent transfers on one link.
///
/// Invariants:
///
/// - At most `max_concurrent` transfers are active.
/// - A transfer is either active or waiting, never both.
#[derive(Debug)]
pub struct Limiter {
    max_concurrent: usize,
    /// Start times of the active transfers by id.
    active: BTreeMap<u64, Duration>,
    /// Waiting transfers as shed order, deadline and id, in the order in which
    /// they start.
    waiting: BTreeSet<(u8, Duration, u64)>,
    /// Smoothed transfer time in seconds; 0 before the first sample.
    transfer_s: f64,
}

impl Limiter {
    /// Creates a limiter of `max_concurrent` transfers, at least 1.
    pub fn new(max_concurrent: usize) -> Self {
        Self {
            max_concurrent: max_concurrent.max(1),
            active: BTreeMap::new(),
            waiting: BTreeSet::new(),
            transfer_s: 0.0,
        }
    }

    /// Admits, queues or refuses a transfer that is requested at `now`.
    pub fn arrive(&mut self, now: Duration, transfer: Transfer) -> Decision {
        if transfer.deadline <= now {
            return Decision::Refuse(Reason::Deadline);
        }
        let position = (transfer.shed_order, transfer.deadline, transfer.id);
        if self.waiting.is_empty() && self.active.len() < self.max_concurrent {
            self.start(now, transfer.id);
            return Decision::Run;
        }
        let ahead = self.waiting.range(..position).count();
        let expected = self.expected_wait_s(ahead) + self.transfer_s;
        let left_s = transfer.target.saturating_sub(now).as_secs_f64();
        if expected > left_s * TARGET_SHARE {
            return Decision::Refuse(Reason::Deadline);
        }
        self.waiting.insert(position);
        Decision::Wait
    }

    /// Returns the next waiting transfer that starts or is refused at `now`.
    ///
    /// Must be called after each [`Limiter::finish`] until it returns `None`.
    pub fn next_action(&mut self, now: Duration) -> Option<Action> {
        if self.active.len() >= self.max_concurrent {
            return None;
        }
        let (_, deadline, id) = self.waiting.pop_first()?;
        if deadline <= now {
            return Some(Action::Refuse(id, Reason::Deadline));
        }
        self.start(now, id);
        Some(Action::Start(id))
    }

    /// Records that an active or waiting transfer ended. `complete` is whether
    /// the whole body arrived, which makes its transfer time a sample.
    ///
    /// An id that is neither active nor waiting is ignored.
    pub fn finish(&mut self, now: Duration, id: u64, complete: bool) {
        self.waiting.retain(|(_, _, waiting)| *waiting != id);
        let Some(start) = self.active.remove(&id) else {
            return;
        };
        if !complete {
            return;
        }
        let sample = now.saturating_sub(start).as_secs_f64();
        self.transfer_s = match self.transfer_s {
            0.0 => sample,
            known => known + (sample - known) * SMOOTHING_WEIGHT,
        };
    }

    /// Returns the time after which a refused transfer is worth requesting
    /// again.
    pub fn retry_after(&self) -> Duration {
        Duration::from_secs_f64(self.expected_wait_s(self.waiting.len())).min(MAX_RETRY_AFTER)
    }

    /// Returns the number of active transfers.
    pub fn active(&self) -> usize {
        self.active.len()
    }

    /// Returns the number of waiting transfers.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the expected wait in seconds behind `ahead` waiting transfers.
    fn expected_wait_s(&self, ahead: usize) -> f64 {
        self.transfer_s * (ahead + 1) as f64 / self.max_concurrent as f64
    }

    /// Marks a transfer as active.
    fn start(&mut self, now: Duration, id: u64) {
        let earlier = self.active.insert(id, now);
        assert!(earlier.is_none(), "a transfer starts once");
        assert!(
            self.active.len() <= self.max_concurrent,
            "active transfers fit the limit"
        );
    }
}
