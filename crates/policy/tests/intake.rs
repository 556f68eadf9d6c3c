//! Limits of what callers hold.

use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use savorylane_policy::intake::{Action, Body, Intake, Limits, Room};

const LIMITS: Limits = Limits {
    connections: 16,
    body_bytes: 1_000_000,
    answer_bytes: 500_000,
    receive_bytes: 1_000_000,
    stream_bytes: 1_000_000,
    stalled: 4,
};
/// Size of a large body in bytes.
const LARGE: Option<u64> = Some(50_000_000);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn address(last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 0, last))
}

fn body(id: u64, size: Option<u64>) -> Body {
    Body {
        id,
        connection: id,
        size,
    }
}

/// Opens a connection for each id and begins a request with a body on it.
fn begin(intake: &mut Intake, ids: std::ops::Range<u64>) {
    for id in ids {
        intake.open(Duration::ZERO, id, address(1));
        intake.begin(id, true);
    }
}

/// Guards against idle or silent callers that keep new ones out, and against a
/// closed connection that is chosen twice.
#[test]
fn the_connection_waited_for_longest_makes_room() {
    let mut intake = Intake::new(LIMITS);
    for id in 0..16 {
        assert_eq!(intake.room(seconds(0.0), address(1)), Room::Free);
        intake.open(seconds(id as f64 / 100.0), id, address(1));
    }
    intake.begin(0, false);
    assert_eq!(intake.room(seconds(1.0), address(1)), Room::Close(1));
    intake.open(seconds(1.0), 16, address(1));
    assert_eq!(intake.room(seconds(1.0), address(1)), Room::Close(2));
}

/// Guards against a crowd at one address that keeps callers of other addresses
/// out while none of its connections is stalled, and against requests that have
/// arrived and lose their connection.
#[test]
fn an_address_with_few_connections_displaces_a_crowd() {
    let mut intake = Intake::new(LIMITS);
    begin(&mut intake, 0..16);
    assert_eq!(intake.room(seconds(0.1), address(1)), Room::Full);
    for id in 0..15 {
        intake.resume(seconds(0.1), id, true);
    }
    assert_eq!(intake.room(seconds(0.1), address(2)), Room::Close(15));
    intake.close(15);
    intake.open(seconds(0.1), 16, address(2));
    assert_eq!(intake.room(seconds(9.0), address(3)), Room::Close(16));
    intake.open(seconds(9.0), 17, address(3));
    assert_eq!(intake.room(seconds(9.0), address(3)), Room::Full);
}

/// Guards against bodies that use more memory than there is, and against small
/// bodies that wait behind large ones.
#[test]
fn bodies_wait_for_memory_small_ones_first() {
    let mut intake = Intake::new(LIMITS);
    begin(&mut intake, 0..16);
    let admitted = (0..14).filter(|id| intake.admit(body(*id, LARGE))).count();
    assert!(intake.bytes() <= LIMITS.body_bytes);
    assert!((1..14).contains(&admitted));
    let left = LIMITS.body_bytes - intake.bytes();
    let small = Some(left);
    assert!(!intake.admit(body(14, small)));
    intake.release(0);
    assert_eq!(intake.next_action(seconds(0.1)), Some(Action::Admit(14)));
    assert!(intake.bytes() <= LIMITS.body_bytes);
}

/// Guards against a slow caller that is cut although nobody needs its memory,
/// and against stalled bodies that keep memory from others.
#[test]
fn a_stalled_body_is_closed_only_if_others_wait() {
    let mut intake = Intake::new(LIMITS);
    begin(&mut intake, 0..16);
    assert!(intake.admit(body(0, LARGE)));
    intake.wait(seconds(0.0), 0);
    assert_eq!(intake.next_action(seconds(4.0)), None);
    let mut last = 1;
    while intake.admit(body(last, LARGE)) {
        last += 1;
    }
    assert_eq!(intake.next_action(seconds(4.0)), Some(Action::Close(0)));
    assert_eq!(intake.next_action(seconds(4.0)), None);
    intake.close(0);
    intake.release(0);
    assert_eq!(intake.next_action(seconds(4.0)), Some(Action::Admit(last)));
}

/// Guards against a caller that is blamed for the time in which the daemon does
/// not read, and against one that sends single bytes to appear busy.
#[test]
fn only_the_time_spent_waiting_for_the_caller_counts() {
    let mut intake = Intake::new(LIMITS);
    begin(&mut intake, 0..16);
    for tenth in 0..10 {
        let now = f64::from(tenth) / 10.0;
        intake.wait(seconds(now), 3);
        intake.resume(seconds(now + 0.09), 3, false);
    }
    intake.wait(seconds(0.0), 4);
    intake.resume(seconds(0.4), 4, false);
    assert_eq!(intake.close_longest(seconds(9.0)), Some(3));
    assert_eq!(intake.close_longest(seconds(9.0)), None);
}

/// Guards against bodies that stop within and occupy the slots of upstreams,
/// and against a limit that holds on after they have ended.
#[test]
fn stalled_bodies_on_their_way_hold_later_ones_back() {
    let mut intake = Intake::new(LIMITS);
    begin(&mut intake, 0..4);
    for id in 0..4 {
        intake.wait(seconds(id as f64 / 100.0), id);
    }
    assert!(!intake.is_pressed(seconds(0.2)));
    assert!(intake.is_pressed(seconds(0.6)));
    begin(&mut intake, 4..5);
    intake.hold_back(4);
    assert!(!intake.pass(4));
    assert_eq!(intake.next_action(seconds(0.6)), Some(Action::Close(0)));
    assert_eq!(intake.next_action(seconds(0.6)), Some(Action::Pass(4)));
    for id in 0..4 {
        intake.close(id);
    }
    assert!(!intake.is_pressed(seconds(0.6)));
}

/// Guards against a limit that an ordinary deployment meets, and against one
/// that leaves no descriptors or memory to the rest of the process.
#[test]
fn limits_follow_memory_and_descriptors() {
    for (memory_mb, descriptors) in [(110, 4_100), (160, 4_100), (512, 8_192), (64, 512)] {
        let limits = Limits::new(memory_mb, descriptors);
        assert!(limits.connections <= descriptors / 2);
        let held = limits.connections as u64 * (32 << 10) + limits.body_bytes;
        assert!(held <= memory_mb * 1_000_000 * 3 / 4, "{memory_mb} MB");
    }
    assert!(Limits::new(110, 4_100).connections >= 1_000);
}

/// Guards against answers that callers do not read and that take the memory of
/// the process, and against a caller that reads and loses its answer for them.
#[test]
fn the_caller_that_does_not_read_for_longest_is_closed() {
    let mut intake = Intake::new(LIMITS);
    begin(&mut intake, 0..4);
    for id in 0..4 {
        intake.resume(seconds(0.0), id, true);
        intake.hold_answer(id, 200_000);
    }
    // The first caller reads, the others stop one after the other.
    for id in 1..3 {
        intake.block(seconds(id as f64), id);
        assert_eq!(intake.next_action(seconds(3.0)), None);
    }
    intake.block(seconds(3.0), 3);
    assert_eq!(intake.next_action(seconds(3.0)), Some(Action::Close(1)));
    assert_eq!(intake.next_action(seconds(3.0)), None);
    // Memory that is held while a caller does not read counts as well.
    intake.hold_answer(2, 200_000);
    assert_eq!(intake.next_action(seconds(3.0)), Some(Action::Close(2)));
    assert_eq!(intake.next_action(seconds(3.0)), None);
}

/// Guards against a caller that reads a little from time to time and counts as
/// one that reads.
#[test]
fn the_time_without_reading_adds_up_within_an_answer() {
    let mut intake = Intake::new(LIMITS);
    begin(&mut intake, 0..3);
    for id in 0..3 {
        intake.resume(seconds(0.0), id, true);
        intake.hold_answer(id, 200_000);
        intake.block(seconds(id as f64), id);
        if id == 0 {
            intake.unblock(seconds(2.0), 0);
            intake.block(seconds(2.0), 0);
        }
    }
    assert_eq!(intake.next_action(seconds(2.0)), Some(Action::Close(0)));
}

/// Guards against callers that do not read their answers and keep all
/// connections from others.
#[test]
fn a_caller_that_does_not_read_makes_room() {
    let mut intake = Intake::new(LIMITS);
    begin(&mut intake, 0..16);
    for id in 0..16 {
        intake.resume(seconds(0.0), id, true);
    }
    assert_eq!(intake.room(seconds(1.0), address(1)), Room::Full);
    intake.block(seconds(1.0), 7);
    assert_eq!(intake.room(seconds(1.4), address(1)), Room::Full);
    assert_eq!(intake.room(seconds(1.5), address(1)), Room::Close(7));
}

/// Guards against memory of answers that is never released.
#[test]
fn the_end_of_an_answer_releases_its_memory() {
    let mut intake = Intake::new(LIMITS);
    begin(&mut intake, 0..4);
    for id in 0..3 {
        intake.hold_answer(id, 400_000);
        intake.block(seconds(0.0), id);
        intake.release_answer(id, 400_000);
        assert_eq!(intake.next_action(seconds(0.0)), None);
    }
    intake.hold_answer(3, 600_000);
    intake.block(seconds(0.0), 3);
    intake.close(3);
    assert_eq!(intake.next_action(seconds(0.0)), None);
}

/// Guards against many connections for which the operating system receives more
/// than the memory of the process, and against a slow upload among few.
#[test]
fn many_connections_receive_less_ahead() {
    let mut intake = Intake::new(Limits::new(160, 4_100));
    assert_eq!(intake.receive_bytes(), 64 << 10);
    let mut bytes = 0;
    for id in 0..1_400 {
        bytes += intake.receive_bytes();
        intake.open(seconds(0.0), id, address(1));
        if id == 50 {
            assert_eq!(intake.receive_bytes(), 64 << 10);
        }
    }
    assert!(bytes < 160_000_000 / 6, "{bytes} bytes");
}

/// Guards against HTTP/2 connections that keep others out with requests that all
/// wait for the caller, and against one that is closed with a request that does
/// not.
#[test]
fn an_http2_connection_whose_requests_all_wait_for_the_caller_makes_room() {
    let mut intake = Intake::new(LIMITS);
    for id in 0..16 {
        intake.open(seconds(0.0), id, address(1));
        for _ in 0..3 {
            intake.begin_stream(seconds(0.0), id);
            intake.set_stream_waiting(seconds(0.0), id, true);
        }
        if id != 7 {
            intake.set_stream_waiting(seconds(0.1), id, false);
        }
    }
    assert_eq!(intake.room(seconds(0.4), address(1)), Room::Full);
    assert_eq!(intake.room(seconds(1.0), address(1)), Room::Close(7));
    intake.open(seconds(1.0), 16, address(1));
    assert_eq!(intake.room(seconds(1.0), address(1)), Room::Full);
}
