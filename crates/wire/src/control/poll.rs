//! How a daemon learns versions and host lists from another one.

use serde::{Deserialize, Serialize};

use savorylane_intent::{Hash, Version};

use super::Sender;
use crate::rpc::Transfer;

/// Asks a daemon for what is newer than the sender's knowledge.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Poll {
    /// Sender.
    pub from: Sender,
    /// Data centre of the sender.
    pub data_centre: String,
    /// Rate of the sender's link, megabits a second; 0 if it is not known.
    pub rate: u32,
    /// Whether the sender relies on the receiver for news.
    pub needs: bool,
    /// Time for which the sender has read the store without a gap,
    /// milliseconds; `None` if it does not read it.
    pub reading_ms: Option<u64>,
    /// Version in force at the sender.
    pub version: Option<Version>,
    /// Number of the sender's host list; 0 for none.
    pub list: u64,
    /// Hash of the sender's host list.
    pub list_hash: Option<Hash>,
    /// Time for which the receiver may wait for news, milliseconds.
    pub wait_ms: u64,
    /// Time before which the sender wants no version, milliseconds; it has just
    /// adopted one.
    #[serde(default)]
    pub version_after_ms: u64,
}

/// A host that may read the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Candidate {
    /// Name of the host.
    pub host: String,
    /// Rate of its link, megabits a second.
    pub rate: u32,
}

/// Answer to a poll.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct News {
    /// Whether the sender is a reader.
    pub reader: bool,
    /// As in [`Poll::rate`].
    pub rate: u32,
    /// As in [`Poll::reading_ms`].
    pub reading_ms: Option<u64>,
    /// Age of what the sender knows, milliseconds; `None` if it knows nothing.
    pub age_ms: Option<u64>,
    /// Time for which the sender waited for news, milliseconds.
    pub held_ms: u64,
    /// Host that the receiver is to poll instead.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub source: Option<String>,
    /// Whether the receiver is to read the store.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub promote: bool,
    /// Whether the sender is about to end.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// Hosts that read the store when the sender is lost, in this order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub candidates: Vec<Candidate>,
    /// Revision of the store up to which the sender knows all versions, so that
    /// the next reader goes on from there; 0 if it is not known.
    pub revision: u64,
    /// Number of the version in force at the sender; 0 for none.
    pub version: u64,
    /// What leads to the sender's version, if that is greater.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub document: Option<Transfer>,
    /// What leads to the sender's host list, if its number is greater.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub list: Option<Transfer>,
}
