//! Hashes and versions of configurations, and the total order of versions.

use std::fmt;
use std::str::FromStr;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::fault::Fault;

/// BLAKE3 hash of content, such as a document or a part of it.
///
/// In JSON, a hash is a string of 64 hexadecimal digits.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Hash(pub [u8; 32]);

impl Hash {
    /// Returns the hash of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }
}

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", blake3::Hash::from_bytes(self.0).to_hex())
    }
}

impl fmt::Debug for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Hash {
    type Err = Fault;

    fn from_str(text: &str) -> Result<Self, Fault> {
        let hash = blake3::Hash::from_hex(text).map_err(|_| Fault::Hash {
            text: text.chars().take(80).collect(),
        })?;
        Ok(Self(*hash.as_bytes()))
    }
}

impl Serialize for Hash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Hash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(D::Error::custom)
    }
}

/// Version of an intent document.
///
/// Versions are ordered by number, then by hash. The hash keeps the order
/// total if two operators publish different documents with the same number.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Version {
    /// Number of the document, chosen by its operator.
    pub number: u64,
    /// Hash of the document's canonical bytes.
    pub hash: Hash,
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.number, &self.hash.to_string()[..12])
    }
}
