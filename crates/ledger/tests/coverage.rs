//! Coverage that a holder retains across a change of its ring.

use std::time::Duration;

use savorylane_ledger::ring::MAX_HISTORY;
use savorylane_ledger::{Lease, Settings, ring};
use savorylane_wire::Incarnation;
use savorylane_wire::control::ring::Confirmation;
use savorylane_wire::control::{Ring, Scope, Sender};

const SECOND: Duration = Duration::from_secs(1);

fn ring_of(number: u64, members: &[&str]) -> Ring {
    let scope = Scope {
        service: "utlan".into(),
        home: None,
    };
    let members = members.iter().map(|member| (*member).into()).collect();
    ring::build(scope, number, members)
}

fn sender(host: &str) -> Sender {
    Sender {
        host: host.into(),
        incarnation: Incarnation::default(),
    }
}

/// Returns the confirmation of `ring` by a member that followed the `former`
/// rings before and has run for an hour.
fn confirmation(host: &str, ring: &Ring, former: &[&Ring]) -> Confirmation {
    Confirmation {
        from: sender(host),
        ring: ring.clone(),
        recovered: true,
        active: None,
        former: former.iter().map(|ring| (*ring).clone()).collect(),
        history: former.iter().map(|ring| (*ring).clone()).collect(),
        floor: 0,
        uptime_ms: 3_600_000,
    }
}

/// Returns the first key that the given hosts hold in the given rings.
fn key_with_holders(holders: &[(&Ring, &str)]) -> String {
    let held = |key: &String| {
        let mut holders = holders.iter();
        holders.all(|(ring, host)| ring::holder(ring, key) == Some(host))
    };
    (0..)
        .map(|number| format!("key-{number}"))
        .find(held)
        .unwrap()
}

/// Returns the lease of daemon `a`, the old ring `a b c` and the new ring
/// `a b d`. The daemon adopted the new ring at 7.5 s, and no other member has
/// confirmed it yet. Its coverage in the old ring was unlimited.
fn lease_after_ring_change() -> (Lease, Ring, Ring) {
    let (old, new) = (ring_of(1, &["a", "b", "c"]), ring_of(4, &["a", "b", "d"]));
    let settings = Settings {
        first_start: true,
        ..Settings::default()
    };
    let mut a = Lease::new(settings, sender("a"), Duration::ZERO, 0, old.clone());
    for time in [1, 3, 5, 7] {
        a.on_confirmation(
            SECOND * time,
            0,
            &confirmation("b", &old, &[]),
            SECOND * time,
        );
    }
    assert_eq!(a.activation(7 * SECOND).unwrap().since, None);
    a.on_ring(Duration::from_millis(7500), 0, new.clone());
    (a, old, new)
}

/// Returns the start of the coverage of `key`; `None` if it is unlimited.
fn since(lease: &Lease, now: Duration, key: &str) -> Option<Duration> {
    lease.coverage(now, key).expect("active").since
}

/// Guards against a list change that makes a holder refuse keys that it held
/// before, and against unlimited coverage of keys that another member held.
#[test]
fn ring_change_keeps_coverage() {
    let (mut a, old, new) = lease_after_ring_change();
    let kept = key_with_holders(&[(&old, "a"), (&new, "a")]);
    let moved = key_with_holders(&[(&old, "c"), (&new, "a")]);
    a.on_confirmation(8 * SECOND, 0, &confirmation("b", &new, &[&old]), 8 * SECOND);
    assert_eq!(since(&a, 8 * SECOND, &kept), None);
    assert_eq!(since(&a, 8 * SECOND, &moved), Some(13 * SECOND));
}

/// Guards against unlimited coverage of keys that another daemon held by a list
/// that this daemon skipped. A member reports that ring only in its history,
/// because the ring is already retired.
#[test]
fn skipped_ring_limits_coverage() {
    let (mut a, old, new) = lease_after_ring_change();
    let middle = ring_of(2, &["b", "c", "x"]);
    let kept = key_with_holders(&[(&old, "a"), (&new, "a")]);
    let mut answer = confirmation("b", &new, &[]);
    (answer.active, answer.history) = (Some(4), vec![old, middle.clone()]);
    a.on_confirmation(8 * SECOND, 0, &answer, 8 * SECOND);
    assert_eq!(since(&a, 8 * SECOND, &kept), Some(13 * SECOND));
    // A majority of the intermediate ring shows that there was no other ring.
    a.on_confirmation(
        9 * SECOND,
        0,
        &confirmation("c", &new, &[&middle]),
        9 * SECOND,
    );
    a.on_confirmation(9 * SECOND, 0, &answer, 9 * SECOND);
    assert_eq!(since(&a, 9 * SECOND, &kept), Some(13 * SECOND));
}

/// Guards against trusting a member's report that the former ring is retired:
/// the majority behind the report may know rings that this daemon does not.
#[test]
fn reported_retirement_is_not_enough() {
    let (mut a, old, new) = lease_after_ring_change();
    let kept = key_with_holders(&[(&old, "a"), (&new, "a")]);
    let mut answer = confirmation("d", &new, &[]);
    answer.active = Some(4);
    a.on_confirmation(8 * SECOND, 0, &answer, 8 * SECOND);
    assert_eq!(since(&a, 8 * SECOND, &kept), Some(13 * SECOND));
    a.on_confirmation(9 * SECOND, 0, &confirmation("b", &new, &[&old]), 9 * SECOND);
    assert_eq!(since(&a, 9 * SECOND, &kept), None);
}

/// Guards against counting members that may have forgotten a ring: they started
/// after this daemon's lease was last confirmed, or their history does not
/// reach back far enough.
#[test]
fn members_without_full_history() {
    for (uptime_ms, floor) in [(900, 0), (4000, 0), (3_600_000, 1)] {
        let (mut a, old, new) = lease_after_ring_change();
        let kept = key_with_holders(&[(&old, "a"), (&new, "a")]);
        let mut answer = confirmation("b", &new, &[&old]);
        (answer.uptime_ms, answer.floor) = (uptime_ms, floor);
        a.on_confirmation(8 * SECOND, 0, &answer, 8 * SECOND);
        assert_eq!(since(&a, 8 * SECOND, &kept), Some(13 * SECOND));
    }
}

/// Guards against coverage that survives a pause, during which members may have
/// forgotten a ring, and against coverage across more rings than fit into the
/// history.
#[test]
fn pause_or_full_history_drops_coverage() {
    let (mut a, old, new) = lease_after_ring_change();
    let kept = key_with_holders(&[(&old, "a"), (&new, "a")]);
    a.on_pause(8 * SECOND, 0);
    a.on_confirmation(9 * SECOND, 0, &confirmation("b", &new, &[&old]), 9 * SECOND);
    assert_eq!(since(&a, 9 * SECOND, &kept), Some(14 * SECOND));

    let (mut a, old, new) = lease_after_ring_change();
    let names: Vec<String> = (0..MAX_HISTORY)
        .map(|number| format!("x{number}"))
        .collect();
    let between: Vec<Ring> = names
        .iter()
        .map(|name| ring_of(2, &["a", "b", name]))
        .collect();
    let mut holders = vec![(&old, "a"), (&new, "a")];
    holders.extend(between.iter().map(|ring| (ring, "a")));
    let kept = key_with_holders(&holders);
    for (count, expected) in [(MAX_HISTORY - 1, None), (MAX_HISTORY, Some(13 * SECOND))] {
        let mut a = a.clone();
        let mut answer = confirmation("b", &new, &[&old]);
        answer.history.extend(between[..count].iter().cloned());
        a.on_confirmation(8 * SECOND, 0, &answer, 8 * SECOND);
        assert!(a.confirmation(8 * SECOND).history.len() <= MAX_HISTORY);
        assert_eq!(
            since(&a, 8 * SECOND, &kept),
            expected,
            "{count} rings between"
        );
    }

    // A ring that becomes known later limits the coverage of the keys that
    // another member held in it.
    let late = ring_of(3, &["b", "c", "x"]);
    a.on_confirmation(8 * SECOND, 0, &confirmation("b", &new, &[&old]), 8 * SECOND);
    assert_eq!(since(&a, 8 * SECOND, &kept), None);
    a.on_confirmation(
        9 * SECOND,
        0,
        &confirmation("d", &new, &[&late]),
        9 * SECOND,
    );
    assert!(since(&a, 9 * SECOND, &kept) >= Some(13 * SECOND));
}
