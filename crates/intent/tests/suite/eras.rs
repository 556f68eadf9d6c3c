//! Tests of the registry with a store that comes back from an older copy.

use std::time::Duration;

use savorylane_intent::hosts::State;
use savorylane_intent::registry::{Instance, REREGISTRATION_GRACE, Registry};
use savorylane_intent::revision;

const SECOND: Duration = Duration::from_secs(1);
/// Time at which the store comes back.
const RETURN: Duration = Duration::from_secs(10);

fn at(era: u64, own: u64) -> u64 {
    revision::compose(era, own).expect("a small revision")
}

fn instance(id: &str, state: State) -> Instance {
    let host = id.bytes().next().expect("a name");
    Instance {
        id: id.into(),
        address: ([10, 0, 0, host], 80).into(),
        service: "s".into(),
        data_centre: "a".into(),
        slots: 6,
        state,
        warm_up: Duration::ZERO,
        started_ms: 1,
    }
}

fn put(registry: &mut Registry, revision: u64, id: &str, state: State) {
    registry.put(revision, id, Some(instance(id, state)));
}

/// Returns the upstreams that may get requests.
fn live(registry: &Registry) -> Vec<&str> {
    let instances = registry.instances().into_iter();
    let live = instances.filter(|instance| instance.state == State::Live);
    live.map(|instance| instance.id.as_str()).collect()
}

/// Returns a registry that knows, at revision 100 of era 1, the live upstreams
/// `a` and `b`, that `c` is leaving and that `d` has left.
fn registry() -> Registry {
    let mut registry = Registry::default();
    registry.reconcile(SECOND, at(1, 90), &["a", "c", "d"]);
    for id in ["a", "c", "d"] {
        put(&mut registry, at(1, 80), id, State::Live);
    }
    put(&mut registry, at(1, 95), "b", State::Live);
    put(&mut registry, at(1, 96), "c", State::Leaving);
    registry.remove(SECOND, at(1, 97), "d");
    registry.advance(SECOND, at(1, 100));
    registry
}

/// Applies the copy, which is older than all but the first three entries.
fn restore(registry: &mut Registry) -> u64 {
    registry.reconcile(RETURN, at(2, 90), &["a", "c", "d"]);
    for id in ["a", "c", "d"] {
        put(registry, at(2, 80), id, State::Live);
    }
    registry.advance(RETURN, at(2, 90))
}

/// Guards against list numbers that go back with the store's revisions, and
/// against other numbers than before for a store that states no era.
#[test]
fn list_numbers_grow_across_eras() {
    let mut registry = registry();
    let before = registry.advance(SECOND, at(1, 100));
    assert!(restore(&mut registry) > before);
    let mut plain = Registry::default();
    assert_eq!(plain.advance(SECOND, 7), (7 << 8) | 128);
    assert_eq!(plain.advance(SECOND, 7), (7 << 8) | 129);
}

/// Guards against a greatest list number that does not fit 64 bits.
#[test]
fn revisions_out_of_range_are_refused() {
    assert_eq!(revision::compose(0, u64::MAX), None);
    assert_eq!(
        revision::compose(1, revision::MAX_REVISION_IN_ERA + 1),
        None
    );
    assert_eq!(revision::compose(revision::MAX_ERA + 1, 1), None);
    let greatest = at(revision::MAX_ERA, revision::MAX_REVISION_IN_ERA);
    assert_eq!(greatest, revision::MAX_REVISION);
    assert_eq!(
        (revision::era(greatest), revision::own(at(3, 5))),
        (revision::MAX_ERA, 5)
    );
}

/// Guards against dropping at once an upstream that registered after the copy
/// was made, and against keeping one that does not register again.
#[test]
fn upstreams_that_the_copy_lacks_have_time_to_register() {
    let mut registry = registry();
    restore(&mut registry);
    assert_eq!(live(&registry), ["a", "b"]);
    registry.advance(RETURN + REREGISTRATION_GRACE, at(2, 91));
    assert_eq!(live(&registry), ["a"]);
}

/// Guards against requests to an upstream that the copy shows as live although
/// it leaves or has left, also when the store removes the entry again.
#[test]
fn upstreams_that_left_are_not_used_again() {
    let mut registry = registry();
    restore(&mut registry);
    assert_eq!(live(&registry), ["a", "b"]);
    registry.remove(RETURN + SECOND, at(2, 92), "d");
    registry.advance(RETURN + SECOND, at(2, 92));
    let ids: Vec<&str> = registry.instances().iter().map(|i| i.id.as_str()).collect();
    assert_eq!(ids, ["a", "b", "c"]);
}

/// Guards against an upstream that is out of use for good because it had left
/// before: it registers again, has started again, or is still listed when the
/// store would have removed a silent one.
#[test]
fn upstreams_that_are_back_are_used() {
    let mut registry = registry();
    restore(&mut registry);
    put(&mut registry, at(2, 91), "c", State::Live);
    registry.advance(RETURN + SECOND, at(2, 91));
    assert_eq!(live(&registry), ["a", "b", "c"]);
    registry.advance(RETURN + 10 * SECOND, at(2, 91));
    assert_eq!(live(&registry), ["a", "c", "d"]);

    let mut registry = self::registry();
    registry.reconcile(RETURN, at(2, 90), &["a", "d"]);
    let restarted = Instance {
        started_ms: 2,
        ..instance("d", State::Live)
    };
    registry.put(at(2, 80), "d", Some(restarted));
    assert_eq!(live(&registry), ["a", "b", "d"]);
}

/// Guards against a new reader that takes the first revision of the new era for
/// one of the old, and drops or uses what the copy shows wrongly.
#[test]
fn seeded_registry_notices_the_new_era() {
    let instances = vec![instance("b", State::Live), instance("c", State::Leaving)];
    let mut registry = Registry::seeded(at(1, 100) << 8, instances);
    registry.remember_departed(SECOND, ["d".to_owned()]);
    restore(&mut registry);
    assert_eq!(live(&registry), ["a", "b"]);
}
