//! Control messages exchanged between daemons.

use serde::{Deserialize, Serialize};

use savorylane_intent::Version;
use savorylane_intent::hosts::Host;

use crate::Incarnation;

pub mod poll;
pub mod record;
pub mod ring;
pub mod suspicion;

pub use poll::{Candidate, Poll};
pub use record::{Record, State};
pub use ring::{Ring, Scope};
pub use suspicion::{Suspect, Suspicion};

/// Sender of a message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Sender {
    /// Host of the daemon.
    pub host: String,
    /// Run of the daemon.
    pub incarnation: Incarnation,
}

/// Announces to a peer what is in force at the sender.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Notice {
    /// Sender of the message.
    pub from: Sender,
    /// Version in force at the sender; `None` if there is none.
    pub version: Option<Version>,
    /// Number of the sender's host list.
    pub hosts: u64,
}

/// Heartbeat or answer to a heartbeat: the record of the sender and records of
/// other hosts.
///
/// Records refer to a version by its index in `versions`, since nearly all
/// hosts share one version and a hash takes 64 bytes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Record of the sender.
    pub own: Record,
    /// Number of the sender's host list.
    pub hosts: u64,
    /// Whether the sender has just started and requests the records of its
    /// whole data centre.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub start: bool,
    /// Versions that the records refer to.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub versions: Vec<Version>,
    /// Records of other hosts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub records: Vec<Record>,
    /// Descriptions of hosts in this message that are missing from the sender's
    /// host list.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unlisted: Vec<Host>,
}

impl Heartbeat {
    /// Returns the sender of the message.
    pub fn sender(&self) -> Sender {
        Sender {
            host: self.own.host.clone(),
            incarnation: self.own.incarnation,
        }
    }

    /// Returns the version that `record`, a record of this message, refers to;
    /// `None` if it is not known.
    pub fn version(&self, record: &Record) -> Option<Version> {
        let index = usize::from(record.version?);
        self.versions.get(index).copied()
    }
}
