//! Room for large bodies on the link of a host.
//!
//! Bodies that pass at the same time share the link. With too many of them all
//! come late, although the link carries no more; and what passes of a body
//! before its request is refused is lost for the others. A few bodies pass at
//! a time therefore, and whoever has one asks first.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::gate::{Action, Decision, Reason};

/// Round trip to another region, over which a body must not wait for its window.
const ROUND_TRIP: Duration = Duration::from_millis(44);
/// Bodies that pass at a time, for each that a full link needs: others use the
/// link while one waits for its sender.
const OVERCOMMIT: f64 = 1.6;
/// Fewest bodies that pass at a time.
const CONCURRENT_BODIES_MIN: usize = 2;
/// Share of the time until the target that a body may be expected to wait and
/// pass. The rest is for the upstream.
const TARGET_SHARE: f64 = 0.6;
/// Weight of a new sample in the smoothed time that a body takes.
const SMOOTHING_WEIGHT: f64 = 0.125;
/// Greatest hint of when to come back.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(1);

/// Returns how many bodies pass at a time over a link of `mbps` megabits a
/// second, each at `window` bytes a round trip.
pub fn concurrent_bodies(mbps: u32, window: u32) -> usize {
    let in_flight = f64::from(mbps) * 1e6 / 8.0 * ROUND_TRIP.as_secs_f64();
    let needed = in_flight / f64::from(window);
    ((needed * OVERCOMMIT).ceil() as usize).max(CONCURRENT_BODIES_MIN)
}

/// A body that is to pass.
#[derive(Clone, Copy, Debug)]
pub struct Transfer {
    /// Identifies the body within this room.
    pub id: u64,
    /// Under overload, higher values are refused first.
    pub shed_order: u8,
    /// Moment after which the request is of no use.
    pub deadline: Duration,
    /// Moment at which the target of the class is missed.
    pub target: Duration,
}

/// Room on one link.
///
/// Invariants: at most `most` bodies pass; a body passes or waits, never both.
#[derive(Debug)]
pub struct Limiter {
    max_concurrent: usize,
    /// Start of each body that passes.
    active: BTreeMap<u64, Duration>,
    /// Bodies that wait, first those that pass first.
    waiting: BTreeSet<(u8, Duration, u64)>,
    /// Smoothed time that a body takes, seconds; 0 before the first one.
    transfer_s: f64,
}

impl Limiter {
    /// Returns room for `most` bodies at a time, at least 1.
    pub fn new(max_concurrent: usize) -> Self {
        Self {
            max_concurrent: max_concurrent.max(1),
            active: BTreeMap::new(),
            waiting: BTreeSet::new(),
            transfer_s: 0.0,
        }
    }

    /// Takes a body that asks for room at `now`.
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

    /// Returns the next waiting body that passes or is refused at `now`. Call
    /// it until it returns `None` after each [`Limiter::finish`].
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

    /// Ends a body that passes or waits; `whole` says whether all of it has
    /// come. An id that does neither is ignored.
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

    /// Returns when it is useful to ask again.
    pub fn retry_after(&self) -> Duration {
        Duration::from_secs_f64(self.expected_wait_s(self.waiting.len())).min(RETRY_AFTER_MAX)
    }

    /// Returns the number of bodies that pass.
    pub fn active(&self) -> usize {
        self.active.len()
    }

    /// Returns the number of bodies that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the expected wait behind `ahead` waiting bodies, seconds.
    fn expected_wait_s(&self, ahead: usize) -> f64 {
        self.transfer_s * (ahead + 1) as f64 / self.max_concurrent as f64
    }

    fn start(&mut self, now: Duration, id: u64) {
        let earlier = self.active.insert(id, now);
        assert!(earlier.is_none(), "a body passes once");
        assert!(
            self.active.len() <= self.max_concurrent,
            "the bodies fit the room"
        );
    }
}
