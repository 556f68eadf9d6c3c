//! Control messages between daemons.

use serde::{Deserialize, Serialize};

use savorylane_intent::Version;
use savorylane_intent::hosts::Host;

use crate::Incarnation;

pub mod poll;
mod record;
pub mod ring;
pub mod suspicion;

pub use poll::{Candidate, News, Poll};
pub use record::{Malformed, Record, State};
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

/// Heartbeat and its answer: the sender's own record and records of others.
///
/// Records name a version by its index in `versions`, since nearly all hosts
/// share one version and a hash takes 64 bytes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Record of the sender.
    pub own: Record,
    /// Number of the sender's host list.
    pub hosts: u64,
    /// Whether the sender just started and asks for records of its whole data
    /// centre.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub start: bool,
    /// Versions that the records refer to.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub versions: Vec<Version>,
    /// Records of other hosts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<Record>,
    /// Descriptions of hosts of this message that the sender's host list lacks.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unlisted: Vec<Host>,
}

impl Heartbeat {
    /// Returns the sender.
    pub fn sender(&self) -> Sender {
        Sender {
            host: self.own.host.clone(),
            incarnation: self.own.incarnation,
        }
    }

    /// Returns the version that `record` of this message refers to.
    pub fn version(&self, record: &Record) -> Option<Version> {
        let index = usize::from(record.version?);
        self.versions.get(index).copied()
    }
}
