//! Control messages between daemons.

use serde::{Deserialize, Serialize};

use savorylane_intent::Version;

use crate::Incarnation;

pub mod ring;
pub mod suspicion;

pub use ring::{Confirmation, Question, Ring, Scope};
pub use suspicion::{Suspect, Suspected, Suspicion};

/// Sender of a message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sender {
    /// Host of the daemon.
    pub host: String,
    /// Run of the daemon.
    pub incarnation: Incarnation,
}

/// Tells a peer which version the sender has in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Notice {
    /// Sender.
    pub from: Sender,
    /// Version in force; `None` when the sender has none.
    pub version: Option<Version>,
    /// Number of the sender's host list.
    pub hosts: u64,
}
