//! Long polls, with which a daemon gets versions and host lists from another
//! daemon.
//!
//! A daemon either is a *reader*, which reads the platform's store, or polls a
//! reader of its data centre. Readers also poll readers of other data centres.

use serde::{Deserialize, Serialize};

use savorylane_intent::{Hash, Version};

use super::Sender;
use crate::rpc::Payload;

/// Asks a daemon for a newer version and a newer host list than the sender has.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Poll {
    /// Sender of the poll.
    pub from: Sender,
    /// Data centre of the sender.
    pub data_centre: String,
    /// Rate of the sender's link in megabits per second; 0 if it is not known.
    pub rate: u32,
    /// Whether the sender relies on the receiver for new versions and host
    /// lists. A receiver in the same data centre that is no reader then becomes
    /// one.
    pub needs: bool,
    /// Time for which the sender has read the store without a gap, in
    /// milliseconds; `None` if the sender does not read the store.
    pub reading_ms: Option<u64>,
    /// Version in force at the sender; `None` if there is none.
    pub version: Option<Version>,
    /// Number of the sender's host list; 0 if it has none.
    pub list: u64,
    /// Hash of the sender's host list, as the base of a delta.
    pub list_hash: Option<Hash>,
    /// Maximum time for which the receiver may hold the poll while it has
    /// nothing newer, in milliseconds.
    pub wait_ms: u64,
    /// Time before which the sender does not want a version because it has just
    /// adopted one, in milliseconds.
    #[serde(default)]
    pub version_after_ms: u64,
    /// Whether the sender is cut off from the store and wants the hosts that the
    /// receiver keeps, because it does not know its own data centre.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub wants_kept: bool,
}

/// A host that may read the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Candidate {
    /// Name of the host.
    pub host: String,
    /// Rate of the host's link in megabits per second; 0 if it is not known.
    pub rate: u32,
}

/// Answer to a [`Poll`]. "Sender" stands for the sender of the answer, and
/// "receiver" for the sender of the poll.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
// Keeps the text of decoding errors, which peers receive in RPC errors.
#[serde(expecting = "struct News")]
pub struct Answer {
    /// Whether the sender is a reader.
    pub reader: bool,
    /// Rate of the sender's link, as in [`Poll::rate`].
    pub rate: u32,
    /// Reading time of the sender, as in [`Poll::reading_ms`].
    pub reading_ms: Option<u64>,
    /// Time since the sender last knew all changes, in milliseconds; `None` if
    /// it has never known them.
    pub age_ms: Option<u64>,
    /// Time for which the sender held the poll, in milliseconds.
    pub held_ms: u64,
    /// Host that the receiver must poll instead of the sender, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub source: Option<String>,
    /// Whether the receiver must become a reader.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub promote: bool,
    /// Whether the sender is about to shut down.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// Hosts that take over as readers when the sender is lost, in this order.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub candidates: Vec<Candidate>,
    /// Revision of the store up to which the sender knows all versions, from
    /// which the next reader resumes; 0 if it is not known.
    pub revision: u64,
    /// Number of the version in force at the sender; 0 for none.
    pub version: u64,
    /// Document in force at the sender, if its number is greater than that of
    /// the receiver's version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub document: Option<Payload>,
    /// Host list of the sender, if its number is greater than that of the
    /// receiver's list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub list: Option<Payload>,
    /// Hosts that the sender keeps although the store removed them, if the
    /// receiver [wants](Poll::wants_kept) them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kept: Option<Payload>,
}
