//! Hosts that a daemon keeps in its host list although the platform removed
//! them.

use savorylane_daemon::audit::Trail;
use savorylane_daemon::config::Store;
use savorylane_intent::hosts::delta;
use savorylane_intent::hosts::{Host, List, State};

/// Returns a live host that runs the instance `instance`.
fn host(number: u8, instance: &str) -> Host {
    let address = |port: u16| format!("10.0.0.{number}:{port}").parse().unwrap();
    Host {
        name: format!("10.0.0.{number}"),
        region: "r".into(),
        data_centre: "a".into(),
        service: "s".into(),
        entry: address(1),
        data: address(2),
        control: address(3),
        operator: address(4),
        state: State::Live,
        instance: Some(instance.into()),
        slots: Some(1),
        lapsed: false,
        evacuated: false,
        cold_ms: 0,
    }
}

fn leaving(number: u8, instance: &str) -> Host {
    Host {
        state: State::Leaving,
        ..host(number, instance)
    }
}

fn list(number: u64, hosts: Vec<Host>) -> List {
    List { number, hosts }
}

/// Returns the instances of hosts, those that the platform removed with a star.
fn instances(hosts: &[Host]) -> Vec<String> {
    let name = |host: &Host| {
        let mark = if host.lapsed { "*" } else { "" };
        format!("{}{mark}", host.instance.as_deref().unwrap())
    };
    hosts.iter().map(name).collect()
}

/// Guards against a host that a daemon keeps for itself and that reaches other
/// daemons: in the list that is sent, in the base of a difference, or through a
/// number that hides a list of the platform.
#[test]
fn other_daemons_get_the_list_of_the_platform() {
    let (store, trail) = (Store::default(), Trail::default());
    store.offer_list(&trail, list(1, vec![host(1, "a"), host(2, "b")]), "test");
    store.keep_hosts(&trail, &List::default());
    let platform = list(2, vec![host(2, "b")]);
    store.offer_list(&trail, platform.clone(), "test");
    let in_force = store.list().unwrap();
    assert_eq!(instances(&in_force.hosts), ["a*", "b"]);
    assert_eq!(in_force.number, 2);
    assert_eq!(instances(&store.kept_hosts()), ["a*"]);
    let sent = store.platform_list().unwrap();
    assert_eq!(*sent.list, platform);
    assert_eq!(sent.hash, delta::hash(&platform));
    assert_eq!(store.list_by_hash(sent.hash).as_deref(), Some(&platform));
    assert_eq!(store.list_by_hash(delta::hash(&in_force)), None);
    assert_eq!(store.current().list_number, 2);
}

/// A list of the platform, and the instances then in force at a daemon that
/// keeps hosts.
struct Step {
    platform: Vec<Host>,
    in_force: &'static [&'static str],
}

/// Guards against a kept host that hides another instance at its address, that
/// stays although it was reported as leaving, or that is kept without end.
#[test]
fn a_host_is_kept_until_the_platform_says_more_of_it() {
    let (store, trail) = (Store::default(), Trail::default());
    let steps = [
        Step {
            platform: vec![host(1, "a"), host(2, "b"), host(3, "c")],
            in_force: &["a", "b", "c"],
        },
        Step {
            platform: vec![host(3, "c")],
            in_force: &["a*", "b*", "c"],
        },
        Step {
            platform: vec![host(1, "d"), leaving(2, "b"), host(3, "c")],
            in_force: &["d", "b", "c"],
        },
        Step {
            platform: vec![host(1, "d"), host(3, "c")],
            in_force: &["d", "c"],
        },
        Step {
            platform: vec![host(3, "c")],
            in_force: &["d*", "c"],
        },
    ];
    for (number, step) in (1..).zip(steps) {
        store.offer_list(&trail, list(number, step.platform), "test");
        store.keep_hosts(&trail, &List::default());
        let in_force = store.list().unwrap();
        assert_eq!(instances(&in_force.hosts), step.in_force, "list {number}");
        assert_eq!(in_force.number, number);
    }
    assert!(store.drop_kept_hosts(&trail), "nothing was kept");
    assert_eq!(instances(&store.list().unwrap().hosts), ["c"]);
    store.offer_list(&trail, list(9, Vec::new()), "test");
    assert_eq!(instances(&store.list().unwrap().hosts), [""; 0]);
}

/// Guards against a daemon that starts to keep hosts after it has learned of
/// their removal, and does not use them again.
#[test]
fn hosts_known_before_are_in_force_again() {
    let (store, trail) = (Store::default(), Trail::default());
    let known = list(1, vec![host(1, "a"), leaving(2, "b")]);
    store.offer_list(&trail, list(2, vec![host(3, "c")]), "test");
    assert!(store.keep_hosts(&trail, &known), "nothing is kept");
    assert_eq!(instances(&store.list().unwrap().hosts), ["a*", "c"]);
    assert!(!store.keep_hosts(&trail, &known), "the list changed again");
}
