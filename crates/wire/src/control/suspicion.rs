//! Messages about requests that may have crashed an upstream.

use serde::{Deserialize, Serialize};

use savorylane_intent::Hash;

use super::Sender;

/// Informs the daemons of a service about requests that were in flight when an
/// upstream died, or acknowledges such a message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspicion {
    /// Sender of the message. For a report, this is the gatekeeper whose
    /// upstream died, which also decides about the requests. For an
    /// acknowledgement, it is the daemon that received the report.
    pub from: Sender,
    /// Service of the upstream.
    pub service: String,
    /// Suspect requests.
    pub suspects: Vec<Suspect>,
}

/// A suspect request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspect {
    /// Hash of the method, path, caller, body length and start of the body.
    pub fingerprint: Hash,
    /// State of the suspicion against the request.
    pub state: State,
}

/// State of the suspicion against a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
// Keeps the text of decoding errors, which peers receive in RPC errors.
#[serde(expecting = "enum Suspected", rename_all = "kebab-case")]
pub enum State {
    /// The request was in flight when an upstream died.
    Suspect,
    /// The request completed while it ran alone, after it had become suspect.
    Cleared,
    /// An upstream died while only this request ran, or a second upstream died
    /// while it was in flight.
    Confirmed,
}
