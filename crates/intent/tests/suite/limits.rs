//! Limits of sizes and of stored history, and costs at the design size.

use std::io::Write;

use savorylane_intent::adopt::{MAX_BASES, MAX_REFUSED, Outcome, Store};
use savorylane_intent::delta::Change;
use savorylane_intent::hosts::{self, Host, List, State};
use savorylane_intent::transfer::{self, Content};
use savorylane_intent::{Document, Fault, Hash, Manifest, Snapshot, bound, document, manifest};

use crate::sample;

/// Returns a document with the maximum number of services and classes, and with
/// the longest values in all required fields.
fn largest() -> Document {
    let mut document = sample::sized(*bound::DOCUMENT_NUMBERS.end(), bound::MAX_SERVICES, 16);
    document.deployment = "d".repeat(bound::MAX_NAME_BYTES);
    let long = |name: &str| format!("{name:x<width$}", width = bound::MAX_NAME_BYTES);
    for service in &mut document.services {
        service.name = long(&service.name);
    }
    for class in &mut document.classes {
        class.path_prefix = format!(
            "{:~<width$}",
            class.path_prefix,
            width = bound::MAX_PREFIX_BYTES
        );
        class.name = long(&class.name);
        class.service = long(&class.service);
        class.methods = bound::METHODS.map(String::from).to_vec();
        class.target.latency_ms = *bound::DURATIONS_MS.end();
        class.target.quantile = 0.999_999;
        class.target.success = 0.999_999;
        class.shed_order = u8::MAX;
    }
    document.sort();
    document
}

/// Returns a list of `count` live hosts in two regions and four data centres.
fn host_list(count: usize) -> List {
    let address = |at: usize, port| {
        format!("10.0.{}.{}:{port}", at / 250, at % 250)
            .parse()
            .expect("a socket address")
    };
    let host = |at: usize| Host {
        name: format!("host-{at:04}"),
        region: format!("region-{}", at % 2),
        data_centre: format!("region-{}-{}", at % 2, at % 4),
        service: format!("s{}", at % 200),
        entry: address(at, 7000),
        data: address(at, 7001),
        control: address(at, 7002),
        operator: address(at, 7003),
        state: State::Live,
        instance: None,
        slots: None,
        lapsed: false,
        evacuated: false,
        cold_ms: 0,
    };
    List {
        number: 1,
        hosts: (0..count).map(host).collect(),
    }
}

/// Guards against a document that passes the checks in one form but exceeds a
/// limit in another: as canonical bytes, as parts of a manifest or in a
/// transfer.
#[test]
fn largest_document_fits_all_bounds() {
    let largest = largest();
    let bytes = largest.canonical();
    println!("largest document: {} bytes", bytes.len());
    assert_eq!(document::validate(&bytes), Ok(largest.clone()));
    let (manifest, values) = Manifest::split(&largest);
    assert!(manifest.parts.len() <= bound::MAX_PARTS);
    assert_eq!(Manifest::parse(&manifest.to_json()), Ok(manifest.clone()));
    let slices: Vec<&[u8]> = values.iter().map(|(_, value)| value.as_slice()).collect();
    assert_eq!(manifest.join(&slices), Ok(largest.clone()));

    // The largest delta replaces every service and every class.
    let mut other = largest.clone();
    other
        .services
        .iter_mut()
        .for_each(|service| service.name.replace_range(..1, "t"));
    for class in &mut other.classes {
        class.name.replace_range(..1, "t");
        class.service.replace_range(..1, "t");
    }
    let content = Content::Delta(Box::new(savorylane_intent::Delta::between(
        &largest, &other,
    )));
    assert_eq!(transfer::decode(&transfer::encode(&content)), Ok(content));
}

/// Guards against counts and sizes that are not limited.
#[test]
fn oversized_values_are_refused() {
    let message = |result: Result<Document, Fault>| result.expect_err("too large").to_string();
    let services = sample::sized(1, bound::MAX_SERVICES + 1, 0);
    assert_eq!(
        message(document::validate(&services.canonical())),
        "services: found 601 entries; expected at most 600"
    );
    let classes = sample::sized(1, 1, bound::MAX_CLASSES + 1);
    assert_eq!(
        message(document::validate(&classes.canonical())),
        "classes: found 9601 entries; expected at most 9600"
    );
    assert_eq!(
        message(document::validate(&vec![
            b' ';
            bound::MAX_DOCUMENT_BYTES + 1
        ])),
        "document: found 8000001 bytes; expected at most 8000000"
    );
    let hosts = serde_json::to_vec(&host_list(bound::MAX_HOSTS + 1)).expect("valid JSON");
    assert_eq!(
        hosts::parse(&hosts).expect_err("too many").to_string(),
        "hosts: found 3301 entries; expected at most 3300"
    );
    let hosts = vec![b' '; manifest::MAX_VALUE_BYTES + 1];
    assert_eq!(
        hosts::parse(&hosts).expect_err("too large").to_string(),
        "hosts: found 1000001 bytes; expected at most 1000000"
    );
}

/// Guards against a small transfer that takes unlimited memory when inflated.
#[test]
fn inflation_is_bounded() {
    let zeros = vec![0; 64 << 20];
    let mut bytes = vec![1];
    bytes.extend_from_slice(&Hash::of(&zeros).0);
    let mut encoder = flate2::write::DeflateEncoder::new(bytes, flate2::Compression::best());
    encoder
        .write_all(&zeros)
        .expect("writing to memory does not fail");
    let bomb = encoder.finish().expect("writing to memory does not fail");
    assert!(bomb.len() < 100_000);
    assert_eq!(
        transfer::decode(&bomb).expect_err("too large").to_string(),
        "transfer: found 8000002 bytes; expected at most 8000001"
    );
}

/// Guards against a change of one target that takes more than one second of a
/// daemon's control budget, 6 KB, at the design size of 200 services and 1,100
/// hosts.
#[test]
fn one_change_at_the_design_size_makes_a_small_delta() {
    let old = sample::sized(1, 200, 4);
    let mut new = old.clone();
    new.number = 2;
    new.classes[17].target.latency_ms = 50;
    let mut sender = Store::default();
    sender.offer_document(old.clone());
    let mut receiver = sender.clone();
    let whole = transfer::encode(&sender.content_since(None).expect("a document is in force"));
    sender.offer_document(new.clone());
    let content = sender.content_since(receiver.version().map(|version| version.hash));
    let delta = transfer::encode(&content.expect("a document is in force"));
    println!("document: {} bytes", old.canonical().len());
    println!("transfers: whole {}, delta {}", whole.len(), delta.len());
    assert!(delta.len() < 6_000);
    let Outcome::Adopted { changes, .. } = receiver.offer_transfer(&delta) else {
        panic!("the delta was not adopted");
    };
    assert!(matches!(&changes[..], [Change::TargetChanged { to, .. }] if to.latency_ms == 50));

    let bytes = serde_json::to_vec(&host_list(1_100)).expect("valid JSON");
    println!("host list: {} bytes", bytes.len());
    let snapshot = Snapshot::build(new, hosts::parse(&bytes).expect("valid"));
    assert_eq!(snapshot.hosts("s7").count(), 6);
    assert_eq!(
        snapshot.host("host-0999").map(|host| host.name.as_str()),
        Some("host-0999")
    );
    assert!(snapshot.host("host-1100").is_none());
    let class = snapshot.class(None, "GET", "/s7/c3/x").expect("a class");
    assert_eq!(snapshot.class_named("s7-c3"), Some(class));
    let with_fewer_hosts = snapshot.with_list(host_list(200));
    assert_eq!(
        (
            with_fewer_hosts.version,
            with_fewer_hosts.hosts("s7").count()
        ),
        (snapshot.version, 1)
    );
}

/// Guards against a faulty manifest that blocks a valid document of the same
/// version, and against fetching an invalid version repeatedly. Both depend on
/// the hashes under which a refusal is remembered.
#[test]
fn only_provably_invalid_versions_are_refused_permanently() {
    let good = sample::sized(5, 1, 1);
    let mut store = Store::default();

    // The manifest states the valid document's hash, but its parts contain
    // another document.
    let (mut faulty, values) = sample::split(&sample::sized(4, 1, 1), 1_000);
    faulty.number = 5;
    faulty.hash = good.version().hash;
    let outcome = store.offer_parts(&faulty, &[&values[0]]);
    assert!(matches!(outcome, Outcome::Refused { .. }), "{outcome:?}");
    assert!(!store.should_fetch_manifest(&faulty));
    assert!(store.should_fetch(good.version()));

    // The manifest states a greater number than its document.
    let (mut faulty, values) = sample::split(&good, 1_000);
    faulty.number = 6;
    let outcome = store.offer_parts(&faulty, &[&values[0]]);
    assert!(matches!(outcome, Outcome::Refused { .. }), "{outcome:?}");
    assert!(store.should_fetch(good.version()));

    // The parts have the stated hash, but their document is invalid.
    let mut bad = sample::sized(7, 1, 1);
    bad.classes[0].target.quantile = 1.0;
    let (manifest, values) = sample::split(&bad, 1_000);
    let outcome = store.offer_parts(&manifest, &[&values[0]]);
    assert!(matches!(outcome, Outcome::Refused { .. }), "{outcome:?}");
    assert!(!store.should_fetch(bad.version()));
    assert_eq!(store.version(), None);

    // A peer transfers the invalid document, complete and as a delta.
    store.offer_document(good.clone());
    bad.number = 8;
    store.offer_transfer(&transfer::encode(&Content::Document(bad.clone().into())));
    assert!(!store.should_fetch(bad.version()));
    bad.number = 9;
    let delta = savorylane_intent::Delta::between(&good, &bad);
    store.offer_transfer(&transfer::encode(&Content::Delta(Box::new(delta))));
    assert!(!store.should_fetch(bad.version()));
    assert_eq!(store.version(), Some(good.version()));
}

/// Guards against a store that grows with the number of offers.
#[test]
fn stored_bases_and_refusals_are_bounded() {
    let mut store = Store::default();
    for number in 1..=20 {
        store.offer_document(sample::sized(number, 1, 1));
    }
    assert_eq!(store.bases.len(), MAX_BASES);
    let numbers: Vec<u64> = store.bases.iter().map(|base| base.version.number).collect();
    assert_eq!(numbers, [19, 18, 17, 16]);
    for number in 0..MAX_REFUSED as u64 + 10 {
        let mut bad = sample::sized(100 + number, 1, 1);
        bad.deployment.clear();
        store.offer_document(bad);
    }
    assert_eq!(store.refused.len(), MAX_REFUSED);

    // The base of the delta has been evicted, so that the complete document is
    // needed.
    let (old, new) = (sample::sized(1, 1, 1), sample::sized(30, 1, 1));
    let delta = savorylane_intent::Delta::between(&old, &new);
    let outcome = store.offer_transfer(&transfer::encode(&Content::Delta(Box::new(delta))));
    assert!(matches!(outcome, Outcome::Baseless { .. }), "{outcome:?}");
}
