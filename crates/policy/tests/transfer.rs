//! Tests of the admission of large bodies to a link.

use std::time::Duration;

use savorylane_policy::gate::{Action, Decision, Reason};
use savorylane_policy::transfer::{Limiter, Transfer, concurrent_bodies};

/// Size of a body. At the rate of the link, a single body takes 80 ms.
const BODY_BYTES: f64 = 280_000.0;
const LINK_BYTES_PER_MS: f64 = 3_500.0;
/// Time between two bodies, which offers 1.3 times the rate of the link.
const GAP_MS: u64 = 61;
const TARGET_MS: u64 = 1_200;
const DEADLINE_MS: u64 = 5_000;
/// Time during which bodies arrive.
const LOAD_MS: u64 = 30_000;

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn transfer(id: u64, now_ms: u64, shed_order: u8) -> Transfer {
    Transfer {
        id,
        shed_order,
        deadline: at(now_ms + DEADLINE_MS),
        target: at(now_ms + TARGET_MS),
    }
}

/// Simulation of a link that is shared evenly by the active transfers.
struct Link {
    limiter: Limiter,
    /// Id and remaining bytes of each active transfer.
    active: Vec<(u64, f64)>,
    started_ms: Vec<u64>,
    in_time: u64,
    refused: u64,
    late: u64,
}

impl Link {
    fn arrive(&mut self, now_ms: u64) {
        let id = self.started_ms.len() as u64;
        self.started_ms.push(now_ms);
        match self.limiter.arrive(at(now_ms), transfer(id, now_ms, 1)) {
            Decision::Run => self.active.push((id, BODY_BYTES)),
            Decision::Wait => {}
            Decision::Refuse(_) => self.refused += 1,
        }
    }

    /// Simulates the transfers of one millisecond.
    fn step(&mut self, now_ms: u64) {
        let share = LINK_BYTES_PER_MS / self.active.len().max(1) as f64;
        for (_, left) in &mut self.active {
            *left -= share;
        }
        let ended = self.active.extract_if(.., |(_, left)| *left <= 0.0);
        for (id, _) in ended.collect::<Vec<_>>() {
            self.limiter.finish(at(now_ms), id, true);
            let elapsed_ms = now_ms - self.started_ms[id as usize];
            match elapsed_ms <= TARGET_MS {
                true => self.in_time += 1,
                false => self.late += 1,
            }
        }
        while let Some(action) = self.limiter.next_action(at(now_ms)) {
            match action {
                Action::Start(id) => self.active.push((id, BODY_BYTES)),
                Action::Refuse(..) => self.refused += 1,
            }
        }
    }

    /// Simulates the load with at most `max_concurrent` transfers at a time.
    fn run(max_concurrent: usize) -> Self {
        let mut link = Self {
            limiter: Limiter::new(max_concurrent),
            active: Vec::new(),
            started_ms: Vec::new(),
            in_time: 0,
            refused: 0,
            late: 0,
        };
        for now_ms in 0..LOAD_MS {
            if now_ms.is_multiple_of(GAP_MS) {
                link.arrive(now_ms);
            }
            link.step(now_ms);
        }
        link
    }
}

/// Load pattern: uploads at 1.3 times the rate of the link. Guards against all
/// uploads being late because all of them share the link.
#[test]
fn an_overloaded_link_carries_most_uploads_in_time() {
    let carried = LOAD_MS as f64 * LINK_BYTES_PER_MS / BODY_BYTES;
    let link = Link::run(concurrent_bodies(28, 65_536));
    assert!(link.in_time as f64 > 0.9 * carried, "{}", link.in_time);
    assert_eq!(link.late, 0);
    assert!(link.refused > 0, "the load is more than the link carries");
    // Without a limit, only the first uploads are in time.
    let unbounded = Link::run(usize::MAX);
    assert!(unbounded.in_time < link.in_time / 4);
}

/// Guards against a limit that leaves the link from another region idle while
/// bodies wait, and against a limit of fewer than two transfers.
#[test]
fn concurrent_bodies_keep_the_link_full() {
    let rates = [(7, 32_768, 2), (28, 65_536, 4), (140, 65_536, 19)];
    for (mbps, window, max_concurrent) in rates {
        assert_eq!(
            concurrent_bodies(mbps, window),
            max_concurrent,
            "{mbps} Mbit/s"
        );
    }
}

/// Guards against bodies that wait under overload behind ones with a higher
/// shed order.
#[test]
fn bodies_with_a_lower_shed_order_start_first() {
    let mut limiter = Limiter::new(1);
    assert_eq!(limiter.arrive(at(0), transfer(1, 0, 1)), Decision::Run);
    assert_eq!(limiter.arrive(at(0), transfer(2, 0, 2)), Decision::Wait);
    assert_eq!(limiter.arrive(at(10), transfer(3, 10, 1)), Decision::Wait);
    limiter.finish(at(20), 1, true);
    assert_eq!(limiter.next_action(at(20)), Some(Action::Start(3)));
    assert_eq!(limiter.next_action(at(20)), None);
}

/// Guards against capacity that an aborted or cancelled transfer keeps, and
/// against a transfer that starts after its deadline.
#[test]
fn capacity_is_released_however_a_transfer_ends() {
    let mut limiter = Limiter::new(1);
    assert_eq!(limiter.arrive(at(0), transfer(1, 0, 1)), Decision::Run);
    assert_eq!(limiter.arrive(at(0), transfer(2, 0, 1)), Decision::Wait);
    assert_eq!(limiter.arrive(at(0), transfer(3, 0, 1)), Decision::Wait);
    limiter.finish(at(1), 2, false);
    limiter.finish(at(DEADLINE_MS), 1, false);
    let refused = Action::Refuse(3, Reason::Deadline);
    assert_eq!(limiter.next_action(at(DEADLINE_MS)), Some(refused));
    assert_eq!(limiter.active(), 0);
    let over = transfer(4, 0, 1);
    let refused = Decision::Refuse(Reason::Deadline);
    assert_eq!(limiter.arrive(at(DEADLINE_MS), over), refused);
}
