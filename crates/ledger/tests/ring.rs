//! Ring membership, holders, and the lease under single faults.

use std::time::Duration;

use savorylane_intent::hosts::{Host, List, State};
use savorylane_ledger::{Lease, Settings, ring};
use savorylane_wire::Incarnation;
use savorylane_wire::control::ring::Confirmation;
use savorylane_wire::control::{Ring, Scope, Sender};

const SECOND: Duration = Duration::from_secs(1);

fn scope(home: Option<&str>) -> Scope {
    Scope {
        service: "utlan".into(),
        home: home.map(Into::into),
    }
}

fn list(number: u64, hosts: usize) -> List {
    let address = "127.0.0.1:1".parse().unwrap();
    let host = |index: usize| Host {
        name: format!("host-{index}"),
        region: ["svealand", "norrland"][index % 2].into(),
        data_centre: "sv-a".into(),
        service: "utlan".into(),
        entry: address,
        data: address,
        control: address,
        operator: address,
        state: State::Live,
        instance: None,
        slots: None,
        lapsed: false,
        evacuated: false,
        cold_ms: 0,
    };
    List {
        number,
        hosts: (0..hosts).map(host).collect(),
    }
}

/// Guards against rings of even size, which tolerate no more failures than the
/// next smaller odd size, and against members outside the home region.
#[test]
fn rings_above_two_members_are_odd_and_in_the_home_region() {
    for (hosts, size) in [(2, 1), (4, 2), (6, 3), (8, 3), (12, 5), (40, 7)] {
        let ring = ring::compute(&list(1, hosts), &scope(Some("svealand")));
        assert_eq!(ring.members.len(), size, "{hosts} hosts");
        let even = |name: &String| name[5..].parse::<usize>().unwrap() % 2 == 0;
        assert!(ring.members.iter().all(even));
    }
    assert!(
        ring::compute(&list(1, 6), &scope(Some("gotaland")))
            .members
            .is_empty()
    );
}

/// Guards against moving keys between members that remain in the ring, and
/// against a ring hash that changes with the list number alone.
#[test]
fn unmoved_keys_keep_their_holder() {
    let before = ring::compute(&list(1, 40), &scope(None));
    assert_eq!(ring::compute(&list(2, 40), &scope(None)).hash, before.hash);
    let mut shorter = list(2, 40);
    shorter.hosts.retain(|host| host.name != before.members[0]);
    let after = ring::compute(&shorter, &scope(None));
    assert_ne!(after.hash, before.hash);
    for key in 0..1000 {
        let key = format!("key-{key}");
        let (old, new) = (ring::holder(&before, &key), ring::holder(&after, &key));
        let joined = !before
            .members
            .iter()
            .any(|member| Some(member.as_str()) == new);
        assert!(old == new || joined || old == Some(&before.members[0]));
    }
}

fn ring_of(number: u64, members: &[&str]) -> Ring {
    let members = members.iter().map(|member| (*member).into()).collect();
    ring::build(scope(None), number, members)
}

fn confirmation(host: &str, nonce: u32, ring: &Ring, former: &[&Ring]) -> Confirmation {
    Confirmation {
        from: Sender {
            host: host.into(),
            incarnation: Incarnation {
                started_ms: 0,
                nonce,
            },
        },
        ring: ring.clone(),
        recovered: true,
        active: None,
        former: former.iter().map(|ring| (*ring).clone()).collect(),
        history: Vec::new(),
        floor: 0,
        uptime_ms: 0,
    }
}

/// Returns the lease of a daemon that started at time 0.
fn started(host: &str, ring: &Ring, first_start: bool) -> Lease {
    let me = Sender {
        host: host.into(),
        incarnation: Incarnation {
            started_ms: 0,
            nonce: 1,
        },
    };
    let settings = Settings {
        first_start,
        ..Settings::default()
    };
    Lease::new(settings, me, Duration::ZERO, 0, ring.clone())
}

/// Guards against a holder that continues to run keys after it was partitioned.
/// The lease ends a fixed time after the question, however late the answer
/// arrived.
#[test]
fn lease_expires() {
    let ring = ring_of(1, &["a", "b", "c"]);
    let mut a = started("a", &ring, true);
    assert!(a.activation(Duration::ZERO).is_none(), "no majority yet");
    a.on_confirmation(2 * SECOND, 0, &confirmation("b", 1, &ring, &[]), SECOND);
    assert!(a.activation(3 * SECOND).is_some());
    assert!(a.activation(4 * SECOND).is_none());
}

/// Guards against a new holder that becomes active while a majority of the
/// former ring may still confirm the former holder: two of three members must
/// follow the new ring at one moment.
#[test]
fn a_takeover_needs_a_majority_of_the_former_ring() {
    let (old, new) = (ring_of(1, &["a", "b", "c"]), ring_of(2, &["b", "c", "d"]));
    let mut d = started("d", &old, true);
    d.on_ring(SECOND, 0, new.clone());
    d.on_confirmation(SECOND, 0, &confirmation("c", 1, &new, &[&old]), SECOND);
    assert!(
        d.activation(SECOND).is_none(),
        "one of three left the former ring"
    );
    d.on_confirmation(2 * SECOND, 0, &confirmation("b", 1, &new, &[&old]), SECOND);
    assert!(
        d.activation(2 * SECOND).is_none(),
        "both, but at different moments"
    );
    d.on_confirmation(
        3 * SECOND,
        0,
        &confirmation("c", 1, &new, &[&old]),
        2 * SECOND,
    );
    assert!(
        d.activation(3 * SECOND).is_none(),
        "c confirmed again, b not yet"
    );
    d.on_confirmation(
        3 * SECOND,
        0,
        &confirmation("b", 1, &new, &[&old]),
        2 * SECOND,
    );
    let coverage = d.activation(3 * SECOND).expect("both at one moment");
    assert_eq!(coverage.since, Some(8 * SECOND));
}

/// Guards against counting a member that restarted between two confirmations
/// and so lost the new ring.
#[test]
fn restart_between_confirmations() {
    let (old, new) = (ring_of(1, &["a", "b", "c"]), ring_of(2, &["b", "c", "d"]));
    let mut d = started("d", &old, true);
    d.on_ring(SECOND, 0, new.clone());
    d.on_confirmation(SECOND, 0, &confirmation("c", 1, &new, &[&old]), SECOND);
    d.on_confirmation(2 * SECOND, 0, &confirmation("b", 1, &new, &[&old]), SECOND);
    d.on_confirmation(
        3 * SECOND,
        0,
        &confirmation("c", 2, &new, &[&old]),
        2 * SECOND,
    );
    assert!(d.activation(3 * SECOND).is_none());
}

/// Guards against a restarted member that confirms a ring before it knows which
/// rings it confirmed before the restart.
#[test]
fn a_restarted_member_confirms_nothing_before_recovery() {
    let ring = ring_of(1, &["a", "b", "c"]);
    let mut a = started("a", &ring, false);
    a.on_confirmation(SECOND, 0, &confirmation("b", 1, &ring, &[]), SECOND);
    assert!(!a.confirmation(SECOND).recovered, "one of two others");
    let mut lost = confirmation("c", 1, &ring, &[]);
    lost.recovered = false;
    a.on_confirmation(SECOND, 0, &lost, SECOND);
    assert!(
        !a.confirmation(SECOND).recovered,
        "the other member has not recovered either"
    );
    a.on_confirmation(SECOND, 0, &confirmation("c", 1, &ring, &[]), SECOND);
    assert!(a.confirmation(SECOND).recovered);
}

/// Guards against a holder that skips a list and becomes active although a
/// holder of the skipped ring may still be active.
#[test]
fn a_skipped_ring_must_be_retired_first() {
    let (first, middle) = (ring_of(1, &["a", "b", "c"]), ring_of(2, &["a", "x", "y"]));
    let last = ring_of(3, &["a", "b", "c"]);
    let mut a = started("a", &first, true);
    a.on_confirmation(SECOND, 0, &confirmation("b", 1, &first, &[]), SECOND);
    assert!(a.activation(SECOND).is_some());
    a.on_ring(2 * SECOND, 0, last.clone());
    a.on_confirmation(
        2 * SECOND,
        0,
        &confirmation("b", 1, &last, &[&middle]),
        2 * SECOND,
    );
    assert!(a.activation(2 * SECOND).is_none());
    a.on_confirmation(
        3 * SECOND,
        0,
        &confirmation("x", 1, &last, &[&middle]),
        3 * SECOND,
    );
    a.on_confirmation(
        3 * SECOND,
        0,
        &confirmation("b", 1, &last, &[&middle]),
        3 * SECOND,
    );
    assert!(a.activation(3 * SECOND).is_some());
}

/// Guards against a holder that keeps its old coverage after its lease expired,
/// although another holder may have run keys since.
#[test]
fn an_expired_lease_loses_its_coverage() {
    let ring = ring_of(1, &["a", "b", "c"]);
    let mut a = started("a", &ring, true);
    a.on_confirmation(SECOND, 0, &confirmation("b", 1, &ring, &[]), SECOND);
    assert_eq!(a.activation(SECOND).unwrap().since, None);
    a.on_confirmation(
        10 * SECOND,
        0,
        &confirmation("b", 1, &ring, &[]),
        10 * SECOND,
    );
    assert_eq!(a.activation(10 * SECOND).unwrap().since, Some(15 * SECOND));
}

/// Guards against confirmations by members with an older list. Such a member
/// follows the same ring, but may still adopt an intermediate list whose ring
/// differs.
#[test]
fn confirmation_by_older_list() {
    let (first, middle) = (ring_of(1, &["a", "b", "c"]), ring_of(2, &["a", "x", "y"]));
    let last = ring_of(3, &["a", "b", "c"]);
    let mut a = started("a", &last, true);
    a.on_confirmation(SECOND, 0, &confirmation("b", 1, &first, &[]), SECOND);
    assert_eq!(
        a.confirmation(SECOND).active,
        Some(1),
        "b has not reached list 3"
    );
    a.on_confirmation(
        2 * SECOND,
        0,
        &confirmation("b", 1, &last, &[&middle]),
        2 * SECOND,
    );
    assert!(
        a.activation(2 * SECOND).is_none(),
        "b followed the intermediate ring"
    );
    for time in [2, 3] {
        a.on_confirmation(
            SECOND * time,
            0,
            &confirmation("x", 1, &first, &[]),
            SECOND * time,
        );
    }
    assert!(
        a.activation(3 * SECOND).is_none(),
        "x has not reached list 2"
    );
}

/// Guards against a restarted member that recovers from its new ring alone,
/// although its earlier incarnation may have counted in a former ring.
#[test]
fn recovery_asks_former_ring() {
    let (old, new) = (ring_of(1, &["a", "b", "c"]), ring_of(2, &["a", "b", "d"]));
    let mut a = started("a", &new, false);
    a.on_confirmation(SECOND, 0, &confirmation("b", 1, &new, &[&old]), SECOND);
    a.on_confirmation(SECOND, 0, &confirmation("d", 1, &new, &[]), SECOND);
    assert!(!a.confirmation(SECOND).recovered);
    a.on_confirmation(SECOND, 0, &confirmation("c", 1, &new, &[&old]), SECOND);
    assert!(a.confirmation(SECOND).recovered);
}
