//! Tests of requests at a gate that come from peers that are no hosts.

use std::time::Duration;

use savorylane_intent::document::Work;
use savorylane_policy::gate::{Action, Decision, Gate, Outcome, Reason, Request};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn request(id: u64) -> Request {
    Request {
        id,
        class: 1,
        length: Work::Short,
        shed_order: 0,
        deadline: ms(20_000),
        target: ms(20_000),
        caller: id,
        exclusive: false,
        late: false,
        stranger: false,
    }
}

fn stranger(id: u64) -> Request {
    Request {
        stranger: true,
        ..request(id)
    }
}

/// Guards against peers that are no hosts and take the slots from all others.
#[test]
fn strangers_have_a_part_of_the_slots() {
    for (slots, part) in [(1, 1), (4, 1), (6, 2), (200, 50)] {
        let mut gate = Gate::new(slots);
        for id in 0..part {
            assert_eq!(gate.arrive(ms(0), stranger(id)), Decision::Run);
        }
        let refused = Decision::Refuse(Reason::Strangers);
        assert_eq!(gate.arrive(ms(0), stranger(1_000)), refused);
        gate.finish(ms(0), 0, Outcome::Cancelled);
        assert_eq!(gate.arrive(ms(0), stranger(1_001)), Decision::Run);
    }
}

/// Guards against a new host that is cut off, although it is listed meanwhile.
#[test]
fn a_stranger_that_becomes_a_host_keeps_its_slot() {
    let mut gate = Gate::new(1);
    assert_eq!(gate.arrive(ms(0), stranger(1)), Decision::Run);
    gate.stall(ms(0), 1);
    gate.recognise(1);
    gate.stall(ms(0), 1);
    assert_eq!(gate.displace_stranger(ms(5_000)), None);
}

/// Guards against a host's request that is refused or waits behind a peer that
/// does not send or does not read.
#[test]
fn a_stalled_stranger_gives_its_slot_to_a_host() {
    let mut gate = Gate::new(1);
    assert_eq!(gate.arrive(ms(0), stranger(1)), Decision::Run);
    gate.stall(ms(0), 1);
    assert_eq!(gate.displace_stranger(ms(400)), None);
    assert_eq!(gate.arrive(ms(400), request(2)), Decision::Wait);
    assert_eq!(gate.next_displaced(ms(400)), None);
    assert_eq!(gate.wake_at(), Some(ms(500)));
    assert_eq!(gate.next_displaced(ms(500)), Some(1));
    assert_eq!(gate.next_action(ms(500)), Some(Action::Start(2)));
}

/// Guards against a slow upstream for which its caller is blamed: only the time
/// counts for which the peer was waited for.
#[test]
fn a_stranger_that_makes_progress_keeps_its_slot() {
    let mut gate = Gate::new(1);
    assert_eq!(gate.arrive(ms(0), stranger(1)), Decision::Run);
    gate.stall(ms(0), 1);
    gate.resume(ms(300), 1);
    assert_eq!(gate.displace_stranger(ms(5_000)), None);
    gate.stall(ms(5_000), 1);
    assert_eq!(gate.displace_stranger(ms(5_100)), None);
    assert_eq!(gate.displace_stranger(ms(5_200)), Some(1));
    gate.finish(ms(5_201), 1, Outcome::Cancelled);
    assert_eq!(gate.arrive(ms(5_201), request(2)), Decision::Run);
}

/// Guards against a stranger that is cut off while there is room.
#[test]
fn a_stalled_stranger_keeps_its_slot_while_another_is_free() {
    let mut gate = Gate::new(2);
    assert_eq!(gate.arrive(ms(0), stranger(1)), Decision::Run);
    gate.stall(ms(0), 1);
    assert_eq!(gate.displace_stranger(ms(5_000)), None);
}

/// Guards against a request that must run alone and whose body does not come.
#[test]
fn a_stalled_stranger_that_runs_alone_gives_way() {
    let mut gate = Gate::new(6);
    let alone = Request {
        exclusive: true,
        ..stranger(1)
    };
    assert_eq!(gate.arrive(ms(0), alone), Decision::Run);
    gate.stall(ms(0), 1);
    assert_eq!(gate.arrive(ms(100), request(2)), Decision::Wait);
    assert_eq!(gate.next_displaced(ms(500)), Some(1));
    assert_eq!(gate.next_action(ms(500)), Some(Action::Start(2)));
}
