//! Tests of the rules by which a request may use an upstream.

use savorylane_intent::document::{Class, Target, Work};
use savorylane_intent::hosts::{Host, State};
use savorylane_policy::eligibility::{Exclusion, Tally, check, is_region_barred};

fn class(homes: &[&str]) -> Class {
    Class {
        name: "c".into(),
        service: "s".into(),
        path_prefix: "/".into(),
        methods: Vec::new(),
        work: Work::Short,
        idempotent: true,
        target: Target {
            latency_ms: 100,
            quantile: 0.99,
            success: 0.99,
        },
        shed_order: 0,
        authority: None,
        split: Vec::new(),
        timeout_ms: None,
        attempts: None,
        homes: homes.iter().map(|home| (*home).to_owned()).collect(),
    }
}

fn host(region: &str) -> Host {
    let address = |port| std::net::SocketAddr::from(([10, 0, 0, 1], port));
    Host {
        name: "h".into(),
        region: region.into(),
        data_centre: format!("{region}-a"),
        service: "s".into(),
        entry: address(1),
        data: address(2),
        control: address(3),
        operator: address(4),
        state: State::Live,
        instance: Some("i".into()),
        slots: Some(1),
        lapsed: false,
        evacuated: false,
        cold_ms: 0,
    }
}

fn evacuated(region: &str) -> Host {
    Host {
        evacuated: true,
        ..host(region)
    }
}

/// Guards against a request that is sent to a region that is no home of its
/// class, and against homes that bind classes which name none.
#[test]
fn homes_exclude_all_other_regions() {
    let (bound, free) = (class(&["north", "south"]), class(&[]));
    for region in ["north", "south"] {
        assert_eq!(check(&bound, &host(region), true), Ok(()));
    }
    assert_eq!(
        check(&bound, &host("east"), true),
        Err(Exclusion::OutsideHomes)
    );
    assert_eq!(check(&free, &host("east"), true), Ok(()));
}

/// Guards against a request to an upstream whose data centre is evacuated, that
/// leaves, or that membership finds unreachable.
#[test]
fn each_exclusion_rules_an_upstream_out() {
    let class = class(&[]);
    let leaving = Host {
        state: State::Leaving,
        ..host("north")
    };
    assert_eq!(check(&class, &leaving, true), Err(Exclusion::NotLive));
    let checked = check(&class, &evacuated("north"), true);
    assert_eq!(checked, Err(Exclusion::Evacuated));
    let checked = check(&class, &host("north"), false);
    assert_eq!(checked, Err(Exclusion::Unroutable));
    // On the own platform membership decides whether a host is leaving.
    let listed = Host {
        instance: None,
        ..leaving
    };
    assert_eq!(check(&class, &listed, true), Ok(()));
}

/// Guards against a retry that finds no host because it stays in the region of
/// its entry although that region is not a home or is evacuated, and against one
/// that leaves a region that merely has no room.
#[test]
fn retries_leave_a_barred_region_only() {
    let north = [host("north"), evacuated("north"), host("south")];
    assert!(!is_region_barred(&class(&[]), "north", &north));
    assert!(!is_region_barred(&class(&["north"]), "north", &north));
    assert!(is_region_barred(&class(&["south"]), "north", &north));
    let emptied = [evacuated("north"), host("south")];
    assert!(is_region_barred(&class(&[]), "north", &emptied));
    assert!(!is_region_barred(&class(&[]), "east", &emptied));
}

/// Guards against a refusal whose reason does not say what rules the upstreams
/// out.
#[test]
fn tally_counts_each_exclusion() {
    let mut tally = Tally::default();
    let class = class(&["north"]);
    for host in [host("north"), host("east"), evacuated("east")] {
        tally.add(&class, &host, true);
    }
    assert_eq!(tally.excluded_by(Exclusion::OutsideHomes), 2);
    assert_eq!(
        tally.to_string(),
        "3 listed, 0 of them not live, 2 outside the homes, 1 evacuated, 0 not routable"
    );
}
