//! Documents for the tests.

use std::collections::BTreeSet;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use savorylane_intent::document::{Class, Service, Target, Work};
use savorylane_intent::{Document, Hash, Manifest, manifest};

/// Nested and adjacent path prefixes, one for each possible class.
const PREFIXES: [&str; 6] = ["/", "/a", "/a/b", "/ab", "/a/bc", "/b"];

/// Returns a configuration with a fixed seed, so that every run has the same
/// result.
pub(crate) fn config(seed: u64) -> Config {
    Config {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..Config::default()
    }
}

/// Returns a class with fixed values in all other fields.
pub(crate) fn class(name: String, service: String, path_prefix: String, latency_ms: u32) -> Class {
    Class {
        name,
        service,
        path_prefix,
        methods: vec!["GET".into(), "POST".into()],
        work: Work::Short,
        idempotent: false,
        target: Target {
            latency_ms,
            quantile: 0.99,
            success: 0.999,
        },
        shed_order: 0,
        authority: None,
        split: Vec::new(),
        timeout_ms: None,
        attempts: None,
        homes: Vec::new(),
    }
}

/// Generates small documents with numbers from 1 to 3, so that two of them
/// often share a number, a service or a class.
pub(crate) fn document() -> impl Strategy<Value = Document> {
    let slot = prop::option::of((0..3_usize, 1..4_u32, 1..1_000_000_u32, any::<bool>()));
    let classes = prop::collection::vec(slot, PREFIXES.len());
    let services = prop::collection::btree_set(0..4_usize, 0..3);
    (1..4_u64, classes, services).prop_map(|(number, slots, mut used)| {
        let mut classes = Vec::new();
        for (at, slot) in slots.into_iter().enumerate() {
            let Some((service, latency_ms, millionths, idempotent)) = slot else {
                continue;
            };
            used.insert(service);
            let (name, service) = (format!("c{at}"), format!("s{service}"));
            let mut class = class(name, service, PREFIXES[at].into(), latency_ms);
            class.target.quantile = f64::from(millionths) / 1e6;
            class.idempotent = idempotent;
            classes.push(class);
        }
        Document {
            number,
            deployment: "testata".into(),
            services: services_named(used),
            classes,
            limits: None,
        }
    })
}

/// Returns the services with the given numbers.
fn services_named(used: BTreeSet<usize>) -> Vec<Service> {
    used.into_iter()
        .map(|at| Service::new(format!("s{at}")))
        .collect()
}

/// Returns a document with `services` services that have `classes` classes
/// each.
pub(crate) fn sized(number: u64, services: usize, classes: usize) -> Document {
    let mut document = Document {
        number,
        deployment: "design-size".into(),
        services: services_named((0..services).collect()),
        classes: Vec::new(),
        limits: None,
    };
    for service in 0..services {
        for at in 0..classes {
            document.classes.push(class(
                format!("s{service}-c{at}"),
                format!("s{service}"),
                format!("/s{service}/c{at}"),
                100,
            ));
        }
    }
    document.sort();
    document
}

/// Splits a document into parts of `bytes` bytes each.
pub(crate) fn split(document: &Document, bytes: usize) -> (Manifest, Vec<Vec<u8>>) {
    let values: Vec<Vec<u8>> = document
        .canonical()
        .chunks(bytes)
        .map(<[u8]>::to_vec)
        .collect();
    let parts = values
        .iter()
        .enumerate()
        .map(|(at, value)| manifest::Part {
            key: format!("part/{at}"),
            hash: Hash::of(value),
        })
        .collect();
    let manifest = Manifest {
        number: document.number,
        hash: document.version().hash,
        parts,
    };
    (manifest, values)
}
