//! Upstreams as a store lists them one by one.

use std::time::Duration;

use savorylane_intent::hosts::State;
use savorylane_intent::registry::{Instance, RETURN, Registry};

const SECOND: Duration = Duration::from_secs(1);

fn instance(id: &str, address: &str, started_ms: u64) -> Instance {
    Instance {
        id: id.into(),
        address: address.parse().expect("an address"),
        service: "s".into(),
        data_centre: "a".into(),
        slots: 6,
        state: State::Live,
        warming: Duration::ZERO,
        started_ms,
    }
}

fn ids(registry: &Registry) -> Vec<&str> {
    registry.instances().iter().map(|i| i.id.as_str()).collect()
}

/// A registry with the upstreams `a` and `b`.
fn two() -> Registry {
    let mut registry = Registry::default();
    registry.put(1, "a", Some(instance("a", "10.0.0.1:80", 1)));
    registry.put(2, "b", Some(instance("b", "10.0.0.2:80", 1)));
    registry.settle(SECOND, 2);
    registry
}

/// Guards against hosts that are lost at once when a store returns that let
/// their leases lapse, and against ones that are kept although they are gone.
#[test]
fn entries_that_lapsed_in_an_outage_are_kept_for_a_time() {
    let mut registry = two();
    registry.on_return(10 * SECOND);
    registry.remove(10 * SECOND, 3, "a");
    registry.remove(10 * SECOND, 4, "b");
    registry.settle(10 * SECOND, 4);
    assert_eq!(ids(&registry), ["a", "b"]);
    registry.put(5, "a", Some(instance("a", "10.0.0.1:80", 1)));
    registry.settle(10 * SECOND + RETURN, 5);
    assert_eq!(ids(&registry), ["a"]);
}

/// Guards against an upstream that leaves and is kept because of an outage.
#[test]
fn an_upstream_that_said_it_leaves_is_not_kept() {
    let mut registry = two();
    let mut leaving = instance("a", "10.0.0.1:80", 1);
    leaving.state = State::Leaving;
    registry.put(3, "a", Some(leaving));
    registry.on_return(10 * SECOND);
    registry.remove(10 * SECOND, 4, "a");
    registry.settle(10 * SECOND, 4);
    assert_eq!(ids(&registry), ["b"]);
}

/// Guards against an answer that arrives late and undoes a later change.
#[test]
fn an_older_revision_changes_nothing() {
    let mut registry = two();
    registry.remove(SECOND, 5, "a");
    registry.put(4, "b", None);
    registry.put(1, "b", None);
    assert_eq!(ids(&registry), Vec::<&str>::new());
    registry.put(3, "b", Some(instance("b", "10.0.0.2:80", 1)));
    assert_eq!(ids(&registry), Vec::<&str>::new());
}

/// Guards against a reading after lost history that keeps what is gone, and
/// against one that drops what is newer than it.
#[test]
fn a_complete_reading_ends_what_it_does_not_name() {
    let mut registry = two();
    registry.put(9, "c", Some(instance("c", "10.0.0.3:80", 1)));
    registry.retain(SECOND, 8, &["b"]);
    assert_eq!(ids(&registry), ["b", "c"]);
}

/// Guards against two hosts at one address, and against the earlier of them.
#[test]
fn the_latest_start_has_an_address() {
    let mut registry = two();
    registry.put(3, "c", Some(instance("c", "10.0.0.1:80", 5)));
    assert_eq!(ids(&registry), ["c", "b"]);
}

/// Guards against a list whose number stays the same or falls while it changes.
#[test]
fn numbers_of_lists_rise() {
    let mut registry = two();
    let numbers = [2, 2, 3, 3, 7].map(|revision| registry.settle(SECOND, revision));
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
}

/// Guards against a new reader that drops hosts at once which lapsed in the
/// outage that ended as it took over, and against one that keeps others.
#[test]
fn a_seeded_registry_follows_the_first_reading() {
    let known = || {
        Registry::seeded(
            0,
            vec![
                instance("a", "10.0.0.1:80", 0),
                instance("b", "10.0.0.2:80", 0),
            ],
        )
    };
    let mut registry = known();
    registry.retain(SECOND, 7, &["b"]);
    registry.put(6, "b", Some(instance("b", "10.0.0.2:80", 1)));
    registry.settle(SECOND, 7);
    assert_eq!(ids(&registry), ["b"]);
    let mut registry = known();
    registry.on_return(SECOND);
    registry.retain(SECOND, 7, &["b"]);
    registry.settle(SECOND, 7);
    assert_eq!(ids(&registry), ["a", "b"]);
    registry.settle(SECOND + RETURN, 7);
    assert_eq!(ids(&registry), ["b"]);
}

/// Guards against a list with hosts that are gone, which stays in force at a
/// daemon that goes from one reader to another of the same revision.
#[test]
fn a_list_with_kept_entries_precedes_one_without() {
    let mut keeping = two();
    keeping.on_return(SECOND);
    keeping.remove(SECOND, 3, "a");
    let with_kept = keeping.settle(SECOND, 3);
    let again = keeping.settle(SECOND, 3);
    let mut whole = two();
    whole.remove(SECOND, 3, "a");
    let without = whole.settle(SECOND, 3);
    assert!(with_kept < again && again < without);
    let expired = keeping.settle(SECOND + RETURN, 3);
    assert!(expired >= without);
    assert!(expired < whole.settle(SECOND, 4));
}
