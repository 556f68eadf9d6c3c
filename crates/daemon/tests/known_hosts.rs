//! Addresses that a daemon takes for those of hosts.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use savorylane_daemon::audit::Trail;
use savorylane_daemon::config::Store;
use savorylane_intent::hosts::{Host, List, State};

fn address(last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, last))
}

fn host(last: u8) -> Host {
    let port = |port| SocketAddr::new(address(last), port);
    Host {
        name: address(last).to_string(),
        region: "north".into(),
        data_centre: "a".into(),
        service: "stock".into(),
        entry: port(1),
        data: port(2),
        control: port(3),
        operator: port(4),
        state: State::Live,
        instance: None,
        slots: None,
        lapsed: false,
        evacuated: false,
        cold_ms: 0,
    }
}

/// Guards against a host that leaves and is treated as a stranger while it
/// completes the requests of its callers.
#[test]
fn a_host_that_left_is_no_stranger() {
    let (store, trail) = (Store::default(), Trail::default());
    let own = address(1).to_string();
    for (number, last) in [(1, 2), (2, 3)] {
        let list = List {
            number,
            hosts: vec![host(1), host(last)],
        };
        assert!(store.offer_list(&trail, list, "platform"));
    }
    assert!(store.is_other_host(address(2), &own), "a host that left");
    assert!(store.is_other_host(address(3), &own), "a host");
    assert!(!store.is_other_host(address(4), &own), "another peer");
    assert!(
        !store.is_other_host(address(1), &own),
        "callers of this host"
    );
}
