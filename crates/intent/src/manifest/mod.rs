//! Manifest that binds the platform values of one document together.

use serde::{Deserialize, Serialize};

use crate::document::{self, Document};
use crate::fault::Fault;
use crate::version::{Hash, Version};

/// Largest platform value, in bytes.
pub const VALUE_BYTES: usize = 1_000_000;

/// Names the parts of a document and the hash of each.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Number of the document.
    pub number: u64,
    /// Hash of the document's canonical bytes.
    pub hash: Hash,
    /// Parts in the order in which they are joined.
    pub parts: Vec<Part>,
}

/// One platform value that holds a piece of the document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// Key of the platform value.
    pub key: String,
    /// Hash of the value.
    pub hash: Hash,
}

impl Manifest {
    /// Parses a manifest.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::Malformed`] for other content.
    pub fn parse(bytes: &[u8]) -> Result<Self, Fault> {
        serde_json::from_slice(bytes).map_err(|error| Fault::Malformed {
            reason: error.to_string(),
        })
    }

    /// Returns the version that the manifest announces.
    pub fn version(&self) -> Version {
        Version {
            number: self.number,
            hash: self.hash,
        }
    }

    /// Splits `document` into platform values and returns them with their manifest.
    pub fn split(document: &Document) -> (Self, Vec<(String, Vec<u8>)>) {
        let bytes = document.canonical();
        let values: Vec<(String, Vec<u8>)> = bytes
            .chunks(VALUE_BYTES)
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

    /// Joins `values`, the parts in the manifest's order, into a checked document.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::Mismatch`] for a torn read, or the fault that
    /// [`document::validate`] finds.
    pub fn join(&self, values: &[&[u8]]) -> Result<Document, Fault> {
        let mut bytes = Vec::new();
        if values.len() != self.parts.len() {
            return Err(Fault::Value {
                field: "parts".into(),
                value: values.len().to_string(),
                accepted: format!("the manifest names {}", self.parts.len()),
            });
        }
        for (part, value) in self.parts.iter().zip(values) {
            check(&part.key, part.hash, value)?;
            bytes.extend_from_slice(value);
        }
        let document = document::validate(&bytes)?;
        check("document", self.hash, &document.canonical())?;
        if document.number != self.number {
            return Err(Fault::Value {
                field: "number".into(),
                value: document.number.to_string(),
                accepted: format!("the manifest states {}", self.number),
            });
        }
        Ok(document)
    }
}

fn check(what: &str, expected: Hash, bytes: &[u8]) -> Result<(), Fault> {
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
