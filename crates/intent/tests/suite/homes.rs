//! Tests of homes that no listed host serves.

use savorylane_intent::document::{Class, Service, Share};
use savorylane_intent::homes::{Gap, gaps};
use savorylane_intent::hosts::{Host, List, State};
use savorylane_intent::{Document, Snapshot};

use super::sample::class;

fn host(name: &str, region: &str, service: &str) -> Host {
    let address = |port| std::net::SocketAddr::from(([10, 0, 0, 1], port));
    Host {
        name: name.into(),
        region: region.into(),
        data_centre: region.into(),
        service: service.into(),
        entry: address(1),
        data: address(2),
        control: address(3),
        operator: address(4),
        state: State::Live,
        instance: None,
        slots: None,
        lapsed: false,
        evacuated: false,
        cold_ms: 0,
    }
}

/// Guards against operators who are not told that homes name no region or leave
/// a part of a split without upstreams, and against reports on classes whose
/// homes are served.
#[test]
fn homes_without_hosts_are_named() {
    let with_homes = |name: &str, homes: &[&str], split: &[&str]| Class {
        homes: homes.iter().map(|home| (*home).to_owned()).collect(),
        split: split
            .iter()
            .map(|service| Share {
                service: (*service).to_owned(),
                weight: 1,
            })
            .collect(),
        ..class(name.into(), "x".into(), format!("/{name}/"), 100)
    };
    let document = Document {
        number: 1,
        deployment: "d".into(),
        services: ["x", "y"].map(Service::new).into(),
        classes: vec![
            with_homes("anywhere", &[], &["x", "y"]),
            with_homes("served", &["north"], &[]),
            with_homes("split", &["north"], &["x", "y"]),
            with_homes("unknown", &["nowhere"], &[]),
        ],
        limits: None,
    };
    let hosts = vec![host("h1", "north", "x"), host("h2", "south", "y")];
    let snapshot = Snapshot::build(document, List { number: 1, hosts });
    let service = |class: &str, service: &str| Gap::Service {
        class: class.into(),
        service: service.into(),
    };
    let region = Gap::Region {
        class: "unknown".into(),
        region: "nowhere".into(),
    };
    assert_eq!(
        gaps(&snapshot),
        [service("split", "y"), region, service("unknown", "x")]
    );
}
