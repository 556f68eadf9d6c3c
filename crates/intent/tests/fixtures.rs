//! Reads documents, host lists and manifests from files.
//!
//! The file `NAME.txt` beside `NAME.json` holds the expected error text, or
//! for accepted files what identifies the result.

use std::fs;
use std::path::Path;

use savorylane_intent::{Fault, Manifest, document, hosts};

type Outcome = datatest_stable::Result<()>;

/// Compares `found` with the text beside `path`.
fn expect(path: &Path, found: &str) -> Outcome {
    let expected = fs::read_to_string(path.with_extension("txt"))?;
    if found != expected.trim_end() {
        return Err(format!("expected: {}\nfound:    {found}", expected.trim_end()).into());
    }
    Ok(())
}

fn refused<Value>(path: &Path, result: Result<Value, Fault>) -> Outcome {
    match result {
        Ok(_) => Err("accepted, but must be refused".into()),
        Err(fault) => expect(path, &fault.to_string()),
    }
}

/// Guards against accepting a malformed document, and against an error text
/// that does not name the field, the value and what is accepted.
fn document_refused(path: &Path, bytes: Vec<u8>) -> Outcome {
    refused(path, document::validate(&bytes))
}

/// Guards against the same faults for host lists.
fn hosts_refused(path: &Path, bytes: Vec<u8>) -> Outcome {
    refused(path, hosts::parse(&bytes))
}

/// Guards against the same faults for manifests.
fn manifest_refused(path: &Path, bytes: Vec<u8>) -> Outcome {
    refused(path, Manifest::parse(&bytes))
}

/// Guards against a canonical form that differs between builds: daemons of
/// two builds would then disagree about the hash of every document.
fn document_accepted(path: &Path, bytes: Vec<u8>) -> Outcome {
    let version = document::validate(&bytes)?.version();
    expect(path, &format!("{} {}", version.number, version.hash))
}

/// Guards against refusing host lists that lag behind the document or hold
/// the predecessor of a host.
fn hosts_accepted(path: &Path, bytes: Vec<u8>) -> Outcome {
    let list = hosts::parse(&bytes)?;
    let names: Vec<&str> = list.hosts.iter().map(|host| host.name.as_str()).collect();
    expect(path, &format!("{} [{}]", list.number, names.join(",")))
}

/// Guards against refusing a manifest, and against losing a field of it.
fn manifest_accepted(path: &Path, bytes: Vec<u8>) -> Outcome {
    let manifest = Manifest::parse(&bytes)?;
    assert_eq!(Manifest::parse(&manifest.to_json())?, manifest);
    expect(path, &manifest.version().to_string())
}

datatest_stable::harness! {
    { test = document_refused, root = "tests/fixtures/document/refused", pattern = r"\.json$" },
    { test = document_accepted, root = "tests/fixtures/document/accepted", pattern = r"\.json$" },
    { test = hosts_refused, root = "tests/fixtures/hosts/refused", pattern = r"\.json$" },
    { test = hosts_accepted, root = "tests/fixtures/hosts/accepted", pattern = r"\.json$" },
    { test = manifest_refused, root = "tests/fixtures/manifest/refused", pattern = r"\.json$" },
    { test = manifest_accepted, root = "tests/fixtures/manifest/accepted", pattern = r"\.json$" },
}
