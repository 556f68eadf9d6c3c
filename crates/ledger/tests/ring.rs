//! Ring membership, holders and tenure under single faults.

use std::time::Duration;

use savorylane_intent::hosts::{Host, List, State};
use savorylane_ledger::{Lease, Settings, ring};
use savorylane_wire::Incarnation;
use savorylane_wire::control::{Confirmation, Ring, Scope, Sender};

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
    };
    List {
        number,
        hosts: (0..hosts).map(host).collect(),
    }
}

/// Guards against rings of even size, which tolerate no more failures than the
/// odd size below, and against members outside the home region.
#[test]
fn members() {
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

/// Guards against moving keys between members that stay, and against a hash
/// that changes with the list number alone.
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

/// Guards against a holder that serves on after it was cut off: evidence ends
/// a fixed time after the question, however late the answer came.
#[test]
fn lease_expires() {
    let ring = ring_of(1, &["a", "b", "c"]);
    let mut a = started("a", &ring, true);
    assert!(a.activation(Duration::ZERO).is_none(), "no majority yet");
    a.on_confirmation(2 * SECOND, 0, &confirmation("b", 1, &ring, &[]), SECOND);
    assert!(a.activation(3 * SECOND).is_some());
    assert!(a.activation(4 * SECOND).is_none());
}

/// Guards against a new holder that takes over while a majority of the former
/// ring may still confirm the former holder.
#[test]
fn takeover() {
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
        "both at different moments"
    );
    d.on_confirmation(
        3 * SECOND,
        0,
        &confirmation("c", 1, &new, &[&old]),
        2 * SECOND,
    );
    assert!(d.activation(3 * SECOND).is_none(), "c again, b not yet");
    d.on_confirmation(
        3 * SECOND,
        0,
        &confirmation("b", 1, &new, &[&old]),
        2 * SECOND,
    );
    let coverage = d.activation(3 * SECOND).expect("both at one moment");
    assert_eq!(coverage.since, Some(8 * SECOND));
}

/// Guards against a member that restarts between two answers and forgets its
/// promise to the new holder.
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

/// Guards against a restarted member that confirms an old ring again before it
/// knows what it confirmed before.
#[test]
fn recovery() {
    let ring = ring_of(1, &["a", "b", "c"]);
    let mut a = started("a", &ring, false);
    a.on_confirmation(SECOND, 0, &confirmation("b", 1, &ring, &[]), SECOND);
    assert!(!a.confirmation(SECOND).recovered, "one of two others");
    let mut lost = confirmation("c", 1, &ring, &[]);
    lost.recovered = false;
    a.on_confirmation(SECOND, 0, &lost, SECOND);
    assert!(
        !a.confirmation(SECOND).recovered,
        "the other one lost its memory, too"
    );
    a.on_confirmation(SECOND, 0, &confirmation("c", 1, &ring, &[]), SECOND);
    assert!(a.confirmation(SECOND).recovered);
}

/// Guards against a holder that skips a list and does not learn of the ring in
/// between, whose holder may be at work.
#[test]
fn skipped_ring() {
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

/// Guards against a holder whose evidence ended and that goes on with its old
/// coverage, although another holder may have run keys in between.
#[test]
fn gap() {
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

/// Guards against the evidence of a member that follows the same hosts by a
/// list older than a ring in between, which it may still follow.
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
        "b followed the ring in between"
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

/// Guards against a restarted member that asks only its new ring, although its
/// earlier incarnation was counted in a former one.
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
