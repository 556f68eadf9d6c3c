//! Manifests, which list the platform values that make up a document.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::bound;
use crate::document::{self, Document};
use crate::fault::Fault;
use crate::version::{Hash, Version};

/// Maximum size of a platform value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// The parts of a document, with their hashes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Number of the document.
    pub number: u64,
    /// Hash of the document's canonical bytes.
    pub hash: Hash,
    /// Parts in the order in which they are concatenated.
    pub parts: Vec<Part>,
}

/// A platform value that contains one part of a document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// Key of the platform value.
    pub key: String,
    /// Hash of the value.
    pub hash: Hash,
}

impl Manifest {
    /// Parses and checks a manifest.
    ///
    /// # Errors
    ///
    /// Returns the first [`Fault`] found.
    pub fn parse(bytes: &[u8]) -> Result<Self, Fault> {
        bound::check_size("manifest", bytes.len(), MAX_VALUE_BYTES)?;
        let manifest: Self = bound::parse(bytes)?;
        bound::check_range("number", manifest.number, &bound::DOCUMENT_NUMBERS)?;
        bound::check_count("parts", manifest.parts.len(), bound::MAX_PARTS)?;
        if manifest.parts.is_empty() {
            let accepted = format!("expected 1 to {} parts", bound::MAX_PARTS);
            return Err(Fault::value("parts", "an empty list", accepted));
        }
        let mut keys = BTreeSet::new();
        for (index, part) in manifest.parts.iter().enumerate() {
            if !is_key(&part.key) {
                return Err(Fault::value(
                    format_args!("parts[{index}].key"),
                    bound::quote(&part.key),
                    "expected 1 to 256 characters of a-z, 0-9, `-`, `_`, `.` and `/`, other than the reserved keys `intent` and `hosts`",
                ));
            }
            if !keys.insert(part.key.as_str()) {
                return Err(Fault::Duplicate {
                    field: "parts".into(),
                    name: part.key.clone(),
                });
            }
        }
        Ok(manifest)
    }

    /// Returns the manifest as compact JSON: the platform value `intent`.
    ///
    /// # Panics
    ///
    /// Never: every manifest can be written as JSON.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a manifest can be written as JSON")
    }

    /// Returns the version that the manifest announces.
    pub fn version(&self) -> Version {
        Version {
            number: self.number,
            hash: self.hash,
        }
    }

    /// Splits `document` into platform values; returns the manifest, and the
    /// keys and values of the parts.
    pub fn split(document: &Document) -> (Self, Vec<(String, Vec<u8>)>) {
        let bytes = document.canonical();
        let values: Vec<(String, Vec<u8>)> = bytes
            .chunks(MAX_VALUE_BYTES)
            .map(|chunk| (format!("intent/{}", Hash::of(chunk)), chunk.to_vec()))
            .collect();
        let parts = values
            .iter()
            .map(|(key, value)| Part {
                key: key.clone(),
                hash: Hash::of(value),
            })
            .collect();
        let manifest = Self {
            number: document.number,
            hash: Hash::of(&bytes),
            parts,
        };
        (manifest, values)
    }

    /// Concatenates `values`, which are the parts in the order of the manifest,
    /// and returns the checked document.
    ///
    /// # Errors
    ///
    /// Returns the fault that [`Manifest::concat`], [`document::validate`] or
    /// [`Manifest::confirm`] finds; [`Fault::Mismatch`] for a torn read.
    pub fn join(&self, values: &[&[u8]]) -> Result<Document, Fault> {
        let document = document::validate(&self.concat(values)?)?;
        self.confirm(&document)?;
        Ok(document)
    }

    /// Checks that `document` has the version that the manifest announces.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::Mismatch`] if the hash differs, and [`Fault::Value`] if
    /// the number differs.
    pub fn confirm(&self, document: &Document) -> Result<(), Fault> {
        check_hash("document", self.hash, &document.canonical())?;
        if document.number != self.number {
            return Err(Fault::value(
                "number",
                format!("`{}`", self.number),
                format!("expected the document's number, {}", document.number),
            ));
        }
        Ok(())
    }

    /// Checks the hash and size of each of `values`, and concatenates them.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::Mismatch`] for a torn read, where a value does not have
    /// the hash of its part, and [`Fault::Value`] for a wrong number of values
    /// or for values that are too large.
    pub fn concat(&self, values: &[&[u8]]) -> Result<Vec<u8>, Fault> {
        if values.len() != self.parts.len() {
            return Err(Fault::value(
                "parts",
                format!("{} values", values.len()),
                format!(
                    "expected {}, one for each part of the manifest",
                    self.parts.len()
                ),
            ));
        }
        for (part, value) in self.parts.iter().zip(values) {
            check_hash(&part.key, part.hash, value)?;
        }
        for (part, value) in self.parts.iter().zip(values) {
            bound::check_size(&part.key, value.len(), MAX_VALUE_BYTES)?;
        }
        let bytes = values.concat();
        bound::check_size("document", bytes.len(), bound::MAX_DOCUMENT_BYTES)?;
        Ok(bytes)
    }
}

/// Returns whether `text` is an accepted key of a part. `intent` and `hosts`
/// are the keys of the manifest and of the host list.
fn is_key(text: &str) -> bool {
    (1..=bound::MAX_KEY_BYTES).contains(&text.len())
        && !matches!(text, "hosts" | "intent")
        && text.bytes().all(|byte| {
            byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_./".contains(&byte)
        })
}

/// Checks that `bytes` have the hash `expected`; `what` names the content in
/// the error.
fn check_hash(what: &str, expected: Hash, bytes: &[u8]) -> Result<(), Fault> {
    let found = Hash::of(bytes);
    if found != expected {
        return Err(Fault::Mismatch {
            what: what.into(),
            expected,
            found,
        });
    }
    Ok(())
}
