//! Limits of what the peers of one listener hold.

use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use savorylane_policy::quota::{Limits, Listener, Outcome, Peer, Quota, Room};

const LIMITS: Limits = Limits {
    connections: 8,
    strangers: 4,
    bytes: 1_000_000,
};
/// Size of a body of which a few fit, in bytes.
const LARGE: u64 = 300_000;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn address(last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 0, last))
}

fn held(closed: &[u64]) -> Outcome {
    Outcome {
        held: true,
        closed: closed.to_vec(),
    }
}

/// Opens a connection for each id, one per second, from one address.
fn open(quota: &mut Quota, ids: std::ops::Range<u64>, peer: Peer, last: u8) {
    for id in ids {
        assert_eq!(quota.room(peer, address(last)), Room::Free);
        quota.open(seconds(id), id, peer, address(last));
    }
}

/// Guards against silent strangers that keep a probe or an operator out.
#[test]
fn the_connection_idle_for_longest_makes_room() {
    let mut quota = Quota::new(LIMITS);
    open(&mut quota, 0..4, Peer::Stranger, 1);
    quota.begin(seconds(4), 0, 0);
    assert_eq!(quota.room(Peer::Stranger, address(1)), Room::Close(1));
}

/// Guards against strangers that keep hosts out with requests that do not end,
/// and against a host's connection that is closed for a stranger.
#[test]
fn a_stranger_makes_room_for_a_host() {
    let mut quota = Quota::new(LIMITS);
    open(&mut quota, 0..4, Peer::Stranger, 1);
    open(&mut quota, 4..8, Peer::Host, 2);
    for id in 0..8 {
        quota.begin(seconds(9), id, 0);
    }
    assert_eq!(quota.room(Peer::Host, address(3)), Room::Close(0));
    quota.close(0);
    quota.open(seconds(9), 8, Peer::Host, address(3));
    quota.begin(seconds(9), 8, 0);
    assert_eq!(quota.room(Peer::Stranger, address(4)), Room::Close(1));
    for id in 1..4 {
        quota.close(id);
    }
    open(&mut quota, 9..12, Peer::Host, 4);
    for id in 9..12 {
        quota.begin(seconds(12), id, 0);
    }
    assert_eq!(quota.room(Peer::Stranger, address(5)), Room::Full);
}

/// Guards against one address that keeps all others out with requests that do
/// not end.
#[test]
fn an_address_with_few_connections_displaces_a_crowd() {
    let mut quota = Quota::new(LIMITS);
    open(&mut quota, 0..4, Peer::Stranger, 1);
    for id in 0..4 {
        quota.begin(seconds(4), id, 0);
    }
    assert_eq!(quota.room(Peer::Stranger, address(1)), Room::Full);
    assert_eq!(quota.room(Peer::Stranger, address(2)), Room::Close(0));
}

/// Guards against strangers whose requests take the memory of the process, and
/// against a request of a host that is refused for them.
#[test]
fn the_stranger_that_holds_most_makes_room_for_a_request() {
    let mut quota = Quota::new(LIMITS);
    open(&mut quota, 0..3, Peer::Stranger, 1);
    open(&mut quota, 3..4, Peer::Host, 2);
    assert_eq!(quota.begin(seconds(4), 0, LARGE), held(&[]));
    assert_eq!(quota.begin(seconds(4), 0, LARGE), held(&[]));
    assert_eq!(quota.begin(seconds(4), 1, LARGE), held(&[]));
    assert_eq!(quota.begin(seconds(4), 3, LARGE), held(&[0]));
    assert!(quota.bytes() <= LIMITS.bytes);
    assert_eq!(quota.begin(seconds(4), 1, LARGE), held(&[]));
    // The stranger that holds most is refused itself.
    assert_eq!(quota.begin(seconds(4), 1, LARGE), Outcome::default());
}

/// Guards against a host that is closed with requests that may run, where a
/// refusal is enough, and against one host that takes everything.
#[test]
fn a_request_of_a_host_is_refused_before_a_host_is_closed() {
    let mut quota = Quota::new(LIMITS);
    open(&mut quota, 0..4, Peer::Host, 1);
    for id in 0..3 {
        assert_eq!(quota.begin(seconds(4), id, LARGE), held(&[]));
    }
    assert_eq!(quota.begin(seconds(4), 3, LARGE), Outcome::default());
    quota.end(seconds(5), 2, LARGE);
    assert_eq!(quota.begin(seconds(5), 0, LARGE), held(&[]));
    assert_eq!(quota.begin(seconds(5), 3, LARGE), held(&[0]));
}

/// Guards against answers that strangers do not read, and against a
/// configuration that many hosts fetch at once and that counts as such.
#[test]
fn answers_to_strangers_take_memory() {
    let mut quota = Quota::new(LIMITS);
    open(&mut quota, 0..3, Peer::Stranger, 1);
    open(&mut quota, 3..4, Peer::Host, 2);
    for id in 0..4 {
        quota.begin(seconds(4), id, 0);
    }
    assert_eq!(quota.answer(3, 10 * LARGE), Outcome::default());
    assert_eq!(quota.answer(0, LARGE), held(&[]));
    assert_eq!(quota.answer(1, 2 * LARGE), held(&[]));
    assert_eq!(quota.answer(2, LARGE), held(&[1]));
    // Nobody else holds as much, so that the answer's own connection is closed.
    assert_eq!(quota.answer(2, 10 * LARGE), held(&[2]));
    quota.end(seconds(5), 2, 11 * LARGE);
    quota.close(2);
    assert!(quota.bytes() <= LIMITS.bytes);
}

/// Guards against memory that is never released.
#[test]
fn the_end_of_requests_and_connections_releases_memory() {
    let mut quota = Quota::new(LIMITS);
    open(&mut quota, 0..3, Peer::Stranger, 1);
    for id in 0..3 {
        quota.begin(seconds(4), id, 1_000);
        quota.answer(id, 2_000);
    }
    quota.end(seconds(5), 0, 3_000);
    quota.close(1);
    assert_eq!(quota.room(Peer::Stranger, address(2)), Room::Free);
    quota.end(seconds(5), 2, 3_000);
    assert_eq!((quota.bytes(), quota.connections()), (0, 2));
}

/// Guards against limits that a deployment of several hundred hosts meets, and
/// against limits that leave nothing to callers.
#[test]
fn limits_follow_memory_and_descriptors() {
    let listeners = [
        Listener::Data,
        Listener::Control,
        Listener::Operator,
        Listener::Ready,
    ];
    for (memory_mb, descriptors) in [(110, 4_100), (160, 4_100), (512, 8_192), (64, 512)] {
        let limits = listeners.map(|listener| Limits::new(listener, memory_mb, descriptors));
        let connections: usize = limits.iter().map(|limits| limits.connections).sum();
        let bytes: u64 = limits.iter().map(|limits| limits.bytes).sum();
        assert!(connections <= descriptors * 3 / 8);
        assert!(bytes <= memory_mb * 1_000_000 / 6);
    }
    // Two connections from each of 500 hosts.
    assert!(Limits::new(Listener::Data, 110, 4_100).connections >= 1_000);
}

/// Guards against memory of connections that are being closed, which is given
/// away many times before it is free.
#[test]
fn memory_of_connections_that_are_being_closed_is_given_away_once() {
    let limits = Limits {
        strangers: 200,
        connections: 200,
        ..LIMITS
    };
    let mut quota = Quota::new(limits);
    open(&mut quota, 0..200, Peer::Stranger, 1);
    let mut in_use = 0;
    for id in 0..200 {
        // The connection of an earlier request takes more than that of a later
        // one, so that it makes room.
        let bytes = LARGE - id;
        let outcome = quota.begin(seconds(300), id, bytes);
        in_use += if outcome.held { bytes } else { 0 };
    }
    let max = LIMITS.bytes + LIMITS.bytes / 4 + LARGE;
    assert!(in_use <= max, "{in_use} bytes are in use");
    for id in 0..200 {
        quota.close(id);
    }
    assert_eq!(quota.bytes(), 0);
}
