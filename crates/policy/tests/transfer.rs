//! Room for large bodies on a link.

use std::time::Duration;

use savorylane_policy::gate::{Action, Decision, Reason};
use savorylane_policy::transfer::{Room, Transfer, bodies};

/// Bytes of a body and rate of the link: a body alone takes 80 ms.
const BODY_BYTES: f64 = 280_000.0;
const LINK_BYTES_PER_MS: f64 = 3_500.0;
/// Time between two bodies, at 1.3 times what the link carries.
const GAP_MS: u64 = 61;
const TARGET_MS: u64 = 1_200;
const DEADLINE_MS: u64 = 5_000;
/// Time for which bodies come.
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

/// Bodies on a link that all that pass share evenly.
struct Link {
    room: Room,
    /// Number of each body that passes, and its bytes that have not come.
    passing: Vec<(u64, f64)>,
    started_ms: Vec<u64>,
    in_time: u64,
    refused: u64,
    late: u64,
}

impl Link {
    fn arrive(&mut self, now_ms: u64) {
        let id = self.started_ms.len() as u64;
        self.started_ms.push(now_ms);
        match self.room.arrive(at(now_ms), transfer(id, now_ms, 1)) {
            Decision::Run => self.passing.push((id, BODY_BYTES)),
            Decision::Wait => {}
            Decision::Refuse(_) => self.refused += 1,
        }
    }

    /// Lets bodies pass for a millisecond.
    fn step(&mut self, now_ms: u64) {
        let share = LINK_BYTES_PER_MS / self.passing.len().max(1) as f64;
        for (_, left) in &mut self.passing {
            *left -= share;
        }
        let ended = self.passing.extract_if(.., |(_, left)| *left <= 0.0);
        for (id, _) in ended.collect::<Vec<_>>() {
            self.room.finish(at(now_ms), id, true);
            let taken_ms = now_ms - self.started_ms[id as usize];
            match taken_ms <= TARGET_MS {
                true => self.in_time += 1,
                false => self.late += 1,
            }
        }
        while let Some(action) = self.room.next(at(now_ms)) {
            match action {
                Action::Start(id) => self.passing.push((id, BODY_BYTES)),
                Action::Refuse(..) => self.refused += 1,
            }
        }
    }

    /// Runs the load with room for `most` bodies at a time.
    fn run(most: usize) -> Self {
        let mut link = Self {
            room: Room::new(most),
            passing: Vec::new(),
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

/// Load pattern: uploads at 1.3 times what the link carries. Guards against
/// uploads that are all late because all of them share the link.
#[test]
fn a_link_with_too_many_uploads_carries_most_in_time() {
    let carried = LOAD_MS as f64 * LINK_BYTES_PER_MS / BODY_BYTES;
    let link = Link::run(bodies(28, 65_536));
    assert!(link.in_time as f64 > 0.9 * carried, "{}", link.in_time);
    assert_eq!(link.late, 0);
    assert!(link.refused > 0, "the load is more than the link carries");
    // Without a bound none but the first ones are in time.
    let unbounded = Link::run(usize::MAX);
    assert!(unbounded.in_time < link.in_time / 4);
}

/// Guards against a link from another region that idles while bodies wait, and
/// against one that is never busy with fewer than two.
#[test]
fn as_many_bodies_pass_as_fill_the_link() {
    let rates = [(7, 32_768, 2), (28, 65_536, 4), (140, 65_536, 19)];
    for (mbps, window, most) in rates {
        assert_eq!(bodies(mbps, window), most, "{mbps} Mbit/s");
    }
}

/// Guards against bodies that are given up under overload before ones that
/// matter less.
#[test]
fn bodies_that_are_shed_later_pass_first() {
    let mut room = Room::new(1);
    assert_eq!(room.arrive(at(0), transfer(1, 0, 1)), Decision::Run);
    assert_eq!(room.arrive(at(0), transfer(2, 0, 2)), Decision::Wait);
    assert_eq!(room.arrive(at(10), transfer(3, 10, 1)), Decision::Wait);
    room.finish(at(20), 1, true);
    assert_eq!(room.next(at(20)), Some(Action::Start(3)));
    assert_eq!(room.next(at(20)), None);
}

/// Guards against room that is kept by a body which broke off or gave up, and
/// against one that starts after its deadline.
#[test]
fn room_is_given_back_however_a_body_ends() {
    let mut room = Room::new(1);
    assert_eq!(room.arrive(at(0), transfer(1, 0, 1)), Decision::Run);
    assert_eq!(room.arrive(at(0), transfer(2, 0, 1)), Decision::Wait);
    assert_eq!(room.arrive(at(0), transfer(3, 0, 1)), Decision::Wait);
    room.finish(at(1), 2, false);
    room.finish(at(DEADLINE_MS), 1, false);
    let refused = Action::Refuse(3, Reason::Deadline);
    assert_eq!(room.next(at(DEADLINE_MS)), Some(refused));
    assert_eq!(room.passing(), 0);
    let over = transfer(4, 0, 1);
    let refused = Decision::Refuse(Reason::Deadline);
    assert_eq!(room.arrive(at(DEADLINE_MS), over), refused);
}
