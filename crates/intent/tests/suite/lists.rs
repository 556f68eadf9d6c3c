//! Transfers, deltas and merging of host lists.

use proptest::collection::btree_map;
use proptest::prelude::*;
use savorylane_intent::hosts::delta::{self, Content, Delta};
use savorylane_intent::hosts::{self, Host, List, State};

/// Returns a host that is live if `slots` is even, and otherwise leaving.
fn host(number: u8, slots: u32) -> Host {
    let port = |port: u16| {
        format!("10.0.0.{number}:{port}")
            .parse()
            .expect("an address")
    };
    Host {
        name: format!("10.0.0.{number}"),
        region: "r".into(),
        data_centre: "a".into(),
        service: "s".into(),
        entry: port(1),
        data: port(2),
        control: port(3),
        operator: port(4),
        state: if slots.is_multiple_of(2) {
            State::Live
        } else {
            State::Leaving
        },
        instance: Some(format!("i-{number}")),
        slots: Some(slots),
        lapsed: false,
        evacuated: false,
        cold_ms: 0,
    }
}

/// Generates host lists as daemons store them, with the hosts sorted by name.
fn list() -> impl Strategy<Value = List> {
    let hosts = btree_map(1..20_u8, 1..4_u32, 0..12);
    (1..1_000_u64, hosts).prop_map(|(number, hosts)| {
        let hosts = hosts.into_iter().map(|(number, slots)| host(number, slots));
        let mut hosts: Vec<Host> = hosts.collect();
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        List { number, hosts }
    })
}

proptest! {
    /// Guards against a transfer whose result differs from the sender's list,
    /// whether as a delta or as a complete list.
    #[test]
    fn delta_yields_the_list_of_the_sender(base in list(), next in list()) {
        let sent = delta::encode(&delta::content_since(Some(&base), &next));
        let received = match delta::decode(&sent).expect("content is complete") {
            Content::List(list) => list,
            Content::Delta(delta) => delta.apply(&base).expect("the base fits"),
        };
        prop_assert_eq!(received, next);
    }

    /// Guards against applying a delta to a list other than its base.
    #[test]
    fn delta_refuses_another_base_list(base in list(), other in list(), next in list()) {
        prop_assume!(base != other);
        let delta = Delta::between(&base, &next);
        prop_assert!(delta.apply(&other).is_err());
    }

    /// Guards against accepting a truncated transfer as a list.
    #[test]
    fn truncated_list_transfer_is_refused(next in list(), share in 0.0..1.0_f64) {
        let sent = delta::encode(&delta::content_since(None, &next));
        let cut = (sent.len() as f64 * share) as usize;
        prop_assert!(delta::decode(&sent[..cut]).is_err());
    }
}

/// Guards against a departed host that becomes live again. A daemon that was
/// cut off while the host left still lists it as lapsed, and daemons that have
/// learned about the departure must not adopt that entry.
#[test]
fn departed_hosts_do_not_return_as_lapsed_entries() {
    let lapsed = |number| Host {
        lapsed: true,
        ..host(number, 2)
    };
    let own = List {
        number: 1,
        hosts: vec![host(1, 2), host(2, 3)],
    };
    let newer = List {
        number: 2,
        hosts: vec![lapsed(1), lapsed(2), lapsed(3), host(4, 2)],
    };
    let adopted = hosts::without_departed(&own, newer);
    // Host 1 is live in the own list, host 2 is leaving, host 3 has left, and
    // host 4 is new.
    assert_eq!(adopted.hosts, [lapsed(1), host(2, 3), host(4, 2)]);
    assert_eq!(adopted.number, 2);
}

/// Guards against a lapsed entry of an earlier instance that replaces the
/// current instance at the same address.
#[test]
fn a_lapsed_host_does_not_replace_its_successor() {
    let successor = Host {
        instance: Some("i-9".into()),
        ..host(1, 2)
    };
    let own = List {
        number: 1,
        hosts: vec![successor.clone()],
    };
    let lapsed = Host {
        lapsed: true,
        ..host(1, 2)
    };
    let newer = List {
        number: 2,
        hosts: vec![lapsed],
    };
    assert_eq!(hosts::without_departed(&own, newer).hosts, [successor]);
}

/// Guards against departed hosts that return through the list of a daemon that
/// is cut off from the platform and keeps them. Daemons that reach the platform
/// must not adopt these hosts from its list.
#[test]
fn hosts_kept_by_a_cut_off_daemon_are_not_adopted_by_others() {
    let known = List {
        number: 1,
        hosts: vec![host(1, 2), host(2, 2)],
    };
    let platform = List {
        number: 2,
        hosts: vec![host(2, 2)],
    };
    let kept = hosts::merge(&known, platform.clone());
    assert_eq!(kept.hosts.len(), 2, "the cut-off daemon uses both");
    assert_eq!(
        hosts::without_departed(&platform, kept).hosts,
        platform.hosts
    );
}

/// Returns a list of two hosts with faulty ones among them.
fn list_with_faulty_hosts() -> List {
    let mut service = host(3, 2);
    service.service = "Batch Jobs".into();
    let mut region = host(4, 2);
    region.region = "other".into();
    let mut duplicate = host(1, 4);
    duplicate.instance = Some("i-second".into());
    let mut port = host(5, 2);
    port.control.set_port(0);
    List {
        number: 7,
        hosts: vec![host(1, 2), duplicate, host(2, 2), service, region, port],
    }
}

/// Guards against a host of a peer's list that no list may contain and that
/// costs this daemon the whole list, as a complete list, as a delta and at a
/// start.
#[test]
fn a_faulty_host_costs_a_list_only_that_host() {
    let faulty = list_with_faulty_hosts();
    let base = List {
        number: 6,
        hosts: vec![host(1, 2)],
    };
    // A list that a delta describes has no two hosts of one name.
    let mut unique = faulty.clone();
    unique.hosts.remove(1);
    let delta = Delta::between(&base, &unique);
    let names = ["10.0.0.1", "10.0.0.2"];
    let received = [
        (4, Content::List(faulty.clone()).resolve(&base)),
        (4, hosts::unpack(&hosts::pack(&faulty))),
        (3, Content::Delta(delta).resolve(&base)),
    ];
    for (dropped, received) in received {
        let received = received.expect("the list is not refused");
        let hosts = received.list.hosts.iter();
        assert_eq!(received.dropped.len(), dropped, "{:?}", received.dropped);
        assert_eq!(hosts.map(|host| &host.name).collect::<Vec<_>>(), names);
        assert_eq!(received.list.number, 7);
    }
}

/// Guards against a store whose counter is so high that other daemons refuse the
/// numbers of the lists made of it.
#[test]
fn a_list_of_a_peer_may_have_any_number() {
    let list = List {
        number: u64::MAX,
        hosts: vec![host(1, 2)],
    };
    let received = hosts::unpack(&hosts::pack(&list)).expect("the number is accepted");
    assert_eq!(received.list, list);
}
