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
const SPARE: f64 = 1.6;
/// Fewest bodies that pass at a time.
const BODIES_MIN: usize = 2;
/// Share of the time until the target that a body may be expected to wait and
/// pass. The rest is for the upstream.
const TARGET_SHARE: f64 = 0.6;
/// Weight of a new sample in the smoothed time that a body takes.
const WEIGHT: f64 = 0.125;
/// Greatest hint of when to come back.
const RETRY_MAX: Duration = Duration::from_secs(1);

/// Returns how many bodies pass at a time over a link of `mbps` megabits a
/// second, each at `window` bytes a round trip.
pub fn bodies(mbps: u32, window: u32) -> usize {
    let in_flight = f64::from(mbps) * 1e6 / 8.0 * ROUND_TRIP.as_secs_f64();
    let needed = in_flight / f64::from(window);
    ((needed * SPARE).ceil() as usize).max(BODIES_MIN)
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
pub struct Room {
    most: usize,
    /// Start of each body that passes.
    passing: BTreeMap<u64, Duration>,
    /// Bodies that wait, first those that pass first.
    waiting: BTreeSet<(u8, Duration, u64)>,
    /// Smoothed time that a body takes, seconds; 0 before the first one.
    taken_s: f64,
}

impl Room {
    /// Returns room for `most` bodies at a time, at least 1.
    pub fn new(most: usize) -> Self {
        Self {
            most: most.max(1),
            passing: BTreeMap::new(),
            waiting: BTreeSet::new(),
            taken_s: 0.0,
        }
    }

    /// Takes a body that asks for room at `now`.
    pub fn arrive(&mut self, now: Duration, transfer: Transfer) -> Decision {
        if transfer.deadline <= now {
            return Decision::Refuse(Reason::Deadline);
        }
        let place = (transfer.shed_order, transfer.deadline, transfer.id);
        if self.waiting.is_empty() && self.passing.len() < self.most {
            self.start(now, transfer.id);
            return Decision::Run;
        }
        let ahead = self.waiting.range(..place).count();
        let expected = self.wait_s(ahead) + self.taken_s;
        let left_s = transfer.target.saturating_sub(now).as_secs_f64();
        if expected > left_s * TARGET_SHARE {
            return Decision::Refuse(Reason::Deadline);
        }
        self.waiting.insert(place);
        Decision::Wait
    }

    /// Returns the next waiting body that passes or is refused at `now`. Call
    /// it until it returns `None` after each [`Room::finish`].
    pub fn next(&mut self, now: Duration) -> Option<Action> {
        if self.passing.len() >= self.most {
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
    pub fn finish(&mut self, now: Duration, id: u64, whole: bool) {
        self.waiting.retain(|(_, _, waiting)| *waiting != id);
        let Some(start) = self.passing.remove(&id) else {
            return;
        };
        if !whole {
            return;
        }
        let sample = now.saturating_sub(start).as_secs_f64();
        self.taken_s = match self.taken_s {
            0.0 => sample,
            known => known + (sample - known) * WEIGHT,
        };
    }

    /// Returns when it is useful to ask again.
    pub fn retry_after(&self) -> Duration {
        Duration::from_secs_f64(self.wait_s(self.waiting.len())).min(RETRY_MAX)
    }

    /// Returns the number of bodies that pass.
    pub fn passing(&self) -> usize {
        self.passing.len()
    }

    /// Returns the number of bodies that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the expected wait behind `ahead` waiting bodies, seconds.
    fn wait_s(&self, ahead: usize) -> f64 {
        self.taken_s * (ahead + 1) as f64 / self.most as f64
    }

    fn start(&mut self, now: Duration, id: u64) {
        let earlier = self.passing.insert(id, now);
        assert!(earlier.is_none(), "a body passes once");
        assert!(self.passing.len() <= self.most, "the bodies fit the room");
    }
}
