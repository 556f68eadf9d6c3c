//! Messages about the rings of hosts that hold idempotency keys.

use serde::{Deserialize, Serialize};

use savorylane_intent::Hash;

use super::Sender;

/// Set of idempotency keys that share one ring.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Scope {
    /// Service that runs the work with these keys.
    pub service: String,
    /// Home region of the keys; `None` for keys without a home region.
    pub home: Option<String>,
}

/// Members of one ring, computed from a host list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ring {
    /// Keys that the ring holds.
    pub scope: Scope,
    /// Number of the host list that the ring was computed from.
    pub number: u64,
    /// Names of the member hosts, sorted.
    pub members: Vec<String>,
    /// Hash of the scope and the members, but not of the number.
    pub hash: Hash,
}

/// Asks a daemon for the rings that it follows. The answer has a
/// [`Confirmation`] per ring.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
// Keeps the text of decoding errors, which peers receive in RPC errors.
#[serde(expecting = "struct Question")]
pub struct Query {
    /// Sender of the query.
    pub from: Sender,
    /// Scopes of the queried rings.
    pub scopes: Vec<Scope>,
}

/// Confirms the ring that a daemon follows at the time of its answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Confirmation {
    /// Sender of the confirmation.
    pub from: Sender,
    /// Ring according to the sender's host list.
    pub ring: Ring,
    /// Whether the sender knows what its earlier incarnations confirmed. If
    /// not, the confirmation must be ignored.
    pub recovered: bool,
    /// Number of the host list under which the sender became an active holder;
    /// `None` if it has not become one.
    pub active: Option<u64>,
    /// Earlier rings that may still have an active holder.
    pub former: Vec<Ring>,
    /// Newest rings that the sender followed or learned about from peers,
    /// including rings that no longer have an active holder.
    #[serde(default)]
    pub history: Vec<Ring>,
    /// Number of the newest ring that was evicted from the history; 0 for none.
    #[serde(default)]
    pub floor: u64,
    /// Time for which the sender has kept track of its rings, in milliseconds.
    #[serde(default)]
    pub uptime_ms: u64,
}
