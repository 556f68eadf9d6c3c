//! Requests that may have crashed an upstream.

use serde::{Deserialize, Serialize};

use savorylane_intent::Hash;

use super::Sender;

/// Tells the daemons of a service about requests that were in flight when an
/// upstream died.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspicion {
    /// Sender; the gatekeeper of the upstream that died, or the judge.
    pub from: Sender,
    /// Service of the upstream.
    pub service: String,
    /// The requests.
    pub suspects: Vec<Suspect>,
}

/// One suspect request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Suspect {
    /// Hash of method, path, caller, length and the start of the body.
    pub fingerprint: Hash,
    /// What is known of the request.
    pub state: Suspected,
}

/// What is known of a suspect request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Suspected {
    /// The request was in flight when an upstream died.
    Suspect,
    /// The request completed alone after it had become suspect.
    Cleared,
    /// An upstream died with the request alone, or a second upstream died
    /// with it.
    Confirmed,
}
