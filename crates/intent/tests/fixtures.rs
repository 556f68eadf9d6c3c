//! Parses the documents, host lists and manifests in the fixture files.
//!
//! The file `NAME.txt` next to `NAME.json` contains the expected error message,
//! or a description of the result for files that must be accepted.

use std::fs;
use std::path::Path;

use savorylane_intent::{Fault, Manifest, document, hosts};

type Outcome = datatest_stable::Result<()>;

/// Compares `found` with the text file next to `path`.
fn expect(path: &Path, found: &str) -> Outcome {
    let expected = fs::read_to_string(path.with_extension("txt"))?;
    if found != expected.trim_end() {
        return Err(format!("expected: {}\nfound:    {found}", expected.trim_end()).into());
    }
    Ok(())
}

/// Checks that parsing failed with the expected error message.
fn expect_refusal<Value>(path: &Path, result: Result<Value, Fault>) -> Outcome {
    match result {
        Ok(_) => Err("expected a refusal, but the file was accepted".into()),
        Err(fault) => expect(path, &fault.to_string()),
    }
}

/// Guards against accepting an invalid document, and against an error message
/// that does not name the field, the value and the accepted values.
fn document_refused(path: &Path, bytes: Vec<u8>) -> Outcome {
    expect_refusal(path, document::validate(&bytes))
}

/// Guards against accepting an invalid host list, and against an error message
/// that does not name the field, the value and the accepted values.
fn hosts_refused(path: &Path, bytes: Vec<u8>) -> Outcome {
    expect_refusal(path, hosts::parse(&bytes))
}

/// Guards against accepting an invalid manifest, and against an error message
/// that does not name the field, the value and the accepted values.
fn manifest_refused(path: &Path, bytes: Vec<u8>) -> Outcome {
    expect_refusal(path, Manifest::parse(&bytes))
}

/// Guards against a canonical form that differs between builds. Daemons of two
/// builds would then disagree on the hash of every document.
fn document_accepted(path: &Path, bytes: Vec<u8>) -> Outcome {
    let version = document::validate(&bytes)?.version();
    expect(path, &format!("{} {}", version.number, version.hash))
}

/// Guards against refusing a host list that lags behind the document, or that
/// still contains the predecessor of a host at its address.
fn hosts_accepted(path: &Path, bytes: Vec<u8>) -> Outcome {
    let list = hosts::parse(&bytes)?;
    let names: Vec<&str> = list.hosts.iter().map(|host| host.name.as_str()).collect();
    expect(path, &format!("{} [{}]", list.number, names.join(",")))
}

/// Guards against refusing a valid manifest, and against losing one of its
/// fields when the manifest is written as JSON.
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
