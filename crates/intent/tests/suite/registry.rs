//! Tests of the registry of upstreams that a store lists.

use std::time::Duration;

use savorylane_intent::hosts::State;
use savorylane_intent::registry::{Instance, REREGISTRATION_GRACE, Registry};

const SECOND: Duration = Duration::from_secs(1);

fn instance(id: &str, address: &str, started_ms: u64) -> Instance {
    Instance {
        id: id.into(),
        address: address.parse().expect("an address"),
        service: "s".into(),
        data_centre: "a".into(),
        slots: 6,
        state: State::Live,
        warm_up: Duration::ZERO,
        started_ms,
    }
}

fn ids(registry: &Registry) -> Vec<&str> {
    registry.instances().iter().map(|i| i.id.as_str()).collect()
}

/// Returns a registry with the upstreams `a` and `b`.
fn registry_with_two() -> Registry {
    let mut registry = Registry::default();
    registry.put(1, "a", Some(instance("a", "10.0.0.1:80", 1)));
    registry.put(2, "b", Some(instance("b", "10.0.0.2:80", 1)));
    registry.advance(SECOND, 2);
    registry
}

/// Guards against removing live upstreams at once when a store, after an
/// outage, removes entries whose leases lapsed, and against keeping upstreams
/// that do not register again within the grace period.
#[test]
fn entries_that_lapsed_in_an_outage_are_kept_for_a_grace_period() {
    let mut registry = registry_with_two();
    registry.start_grace_period(10 * SECOND);
    registry.remove(10 * SECOND, 3, "a");
    registry.remove(10 * SECOND, 4, "b");
    registry.advance(10 * SECOND, 4);
    assert_eq!(ids(&registry), ["a", "b"]);
    registry.put(5, "a", Some(instance("a", "10.0.0.1:80", 1)));
    registry.advance(10 * SECOND + REREGISTRATION_GRACE, 5);
    assert_eq!(ids(&registry), ["a"]);
}

/// Guards against keeping an upstream that announced its departure, because its
/// entry is removed during the grace period after an outage.
#[test]
fn leaving_upstream_is_removed_despite_an_outage() {
    let mut registry = registry_with_two();
    let mut leaving = instance("a", "10.0.0.1:80", 1);
    leaving.state = State::Leaving;
    registry.put(3, "a", Some(leaving));
    registry.start_grace_period(10 * SECOND);
    registry.remove(10 * SECOND, 4, "a");
    registry.advance(10 * SECOND, 4);
    assert_eq!(ids(&registry), ["b"]);
}

/// Guards against a delayed answer of the store that undoes a later change.
#[test]
fn older_revision_changes_nothing() {
    let mut registry = registry_with_two();
    registry.remove(SECOND, 5, "a");
    registry.put(4, "b", None);
    registry.put(1, "b", None);
    assert_eq!(ids(&registry), Vec::<&str>::new());
    registry.put(3, "b", Some(instance("b", "10.0.0.2:80", 1)));
    assert_eq!(ids(&registry), Vec::<&str>::new());
}

/// Guards against a complete read, as made after the store's history was lost,
/// that keeps removed entries, and against one that drops entries which are
/// newer than the read.
#[test]
fn complete_read_removes_older_unlisted_entries() {
    let mut registry = registry_with_two();
    registry.put(9, "c", Some(instance("c", "10.0.0.3:80", 1)));
    registry.reconcile(SECOND, 8, &["b"]);
    assert_eq!(ids(&registry), ["b", "c"]);
}

/// Guards against listing two upstreams at one address, and against listing the
/// earlier one.
#[test]
fn address_belongs_to_the_latest_started_instance() {
    let mut registry = registry_with_two();
    registry.put(3, "c", Some(instance("c", "10.0.0.1:80", 5)));
    assert_eq!(ids(&registry), ["c", "b"]);
}

/// Guards against a list that changes without an increase of its number.
#[test]
fn list_numbers_increase_with_each_change() {
    let mut registry = registry_with_two();
    let numbers = [2, 2, 3, 3, 7].map(|revision| registry.advance(SECOND, revision));
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
}

/// Guards against a new reader that at once drops hosts whose leases lapsed in
/// an outage that ended as it took over, and against one that keeps departed
/// hosts without an outage or after the grace period.
#[test]
fn seeded_registry_follows_the_first_complete_read() {
    let seeded = || {
        Registry::seeded(
            0,
            vec![
                instance("a", "10.0.0.1:80", 0),
                instance("b", "10.0.0.2:80", 0),
            ],
        )
    };
    let mut registry = seeded();
    registry.reconcile(SECOND, 7, &["b"]);
    registry.put(6, "b", Some(instance("b", "10.0.0.2:80", 1)));
    registry.advance(SECOND, 7);
    assert_eq!(ids(&registry), ["b"]);
    let mut registry = seeded();
    registry.start_grace_period(SECOND);
    registry.reconcile(SECOND, 7, &["b"]);
    registry.advance(SECOND, 7);
    assert_eq!(ids(&registry), ["a", "b"]);
    registry.advance(SECOND + REREGISTRATION_GRACE, 7);
    assert_eq!(ids(&registry), ["b"]);
}

/// Guards against a list with departed hosts that stays in force at a daemon
/// which switches to another reader of the same revision. The list without
/// lapsed entries must have the greater number.
#[test]
fn list_with_lapsed_entries_precedes_one_without() {
    let mut with_lapsed = registry_with_two();
    with_lapsed.start_grace_period(SECOND);
    with_lapsed.remove(SECOND, 3, "a");
    let first_number = with_lapsed.advance(SECOND, 3);
    let next_number = with_lapsed.advance(SECOND, 3);
    let mut without_lapsed = registry_with_two();
    without_lapsed.remove(SECOND, 3, "a");
    let complete_number = without_lapsed.advance(SECOND, 3);
    assert!(first_number < next_number && next_number < complete_number);
    let expired_number = with_lapsed.advance(SECOND + REREGISTRATION_GRACE, 3);
    assert!(expired_number >= complete_number);
    assert!(expired_number < without_lapsed.advance(SECOND, 4));
}

/// Guards against two hosts of one name in a list, because an entry of another
/// program shares the address of a host, and against an upstream that gives way
/// to that entry.
#[test]
fn an_ip_address_has_one_upstream() {
    let mut registry = Registry::default().with_port(80);
    registry.put(1, "a", Some(instance("a", "10.0.0.1:80", 1)));
    registry.put(2, "other", Some(instance("other", "10.0.0.1:9100", 9)));
    registry.put(3, "b", Some(instance("b", "10.0.0.2:9100", 1)));
    registry.advance(SECOND, 3);
    assert_eq!(ids(&registry), ["a", "b"]);
    registry.put(4, "c", Some(instance("c", "10.0.0.1:80", 2)));
    registry.advance(SECOND, 4);
    assert_eq!(ids(&registry), ["c", "b"]);
    registry.remove(SECOND, 5, "c");
    registry.remove(SECOND, 6, "a");
    registry.advance(SECOND, 6);
    assert_eq!(ids(&registry), ["other", "b"]);
}
