//! Questions and answers about the ring that holds idempotency keys.

use serde::{Deserialize, Serialize};

use savorylane_intent::Hash;

use super::Sender;

/// Keys that share one ring.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Scope {
    /// Service that runs the work.
    pub service: String,
    /// Home region of the keys; `None` for keys without one.
    pub home: Option<String>,
}

/// Members of one ring as a host list gives them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ring {
    /// Keys that the ring holds.
    pub scope: Scope,
    /// Number of the host list that the ring was computed from.
    pub number: u64,
    /// Hosts, sorted by name.
    pub members: Vec<String>,
    /// Hash of the scope and the members; the number has no part in it.
    pub hash: Hash,
}

/// Asks a member for its rings; each is answered by a [`Confirmation`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Question {
    /// Sender.
    pub from: Sender,
    /// Rings that the question is about.
    pub scopes: Vec<Scope>,
}

/// Ring that a daemon follows at the time of its answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Confirmation {
    /// Sender.
    pub from: Sender,
    /// Ring by the sender's host list.
    pub ring: Ring,
    /// Whether the sender knows what its earlier incarnations confirmed. The
    /// answers of other senders count for nothing.
    pub recovered: bool,
    /// Number of the host list under which the sender became a holder.
    pub active: Option<u64>,
    /// Earlier rings that may still have a holder at work.
    pub former: Vec<Ring>,
    /// Newest rings that the sender followed or heard of, also those that
    /// have no holder any more.
    #[serde(default)]
    pub history: Vec<Ring>,
    /// Number of the newest ring that no longer fits into the history.
    #[serde(default)]
    pub floor: u64,
    /// Time for which the sender has remembered its rings, in milliseconds.
    #[serde(default)]
    pub uptime_ms: u64,
}
