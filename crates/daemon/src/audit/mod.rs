//! Audit trail: the offers and events that this daemon accepted, refused and
//! applied.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use savorylane_intent::adopt::Outcome;
use serde::{Deserialize, Serialize};

/// Maximum number of entries in memory. Older entries remain only in the log.
const MAX_ENTRIES: usize = 4096;

/// Entry of the audit trail.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// Number of the entry in this process, starting at 1.
    pub sequence: u64,
    /// Time of the event in RFC 3339 format, in UTC.
    pub at: String,
    /// The event.
    pub event: Event,
}

/// Event in the audit trail.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Event {
    /// A document was offered, and adopted or refused.
    Offer {
        /// Source of the document.
        source: String,
        /// Outcome of the offer, with the targets set, changed and withdrawn.
        outcome: Outcome,
    },
    /// A manifest, document or host list could not be read or was refused.
    Refused {
        /// Source of the content.
        source: String,
        /// Reason of the refusal.
        reason: String,
    },
    /// A host list was put in force.
    Hosts {
        /// Number of the list.
        number: u64,
        /// Source of the list.
        source: String,
        /// Number of hosts in the list.
        count: usize,
        /// Names of the hosts that the platform no longer lists, at most
        /// [`MAX_NAMED_HOSTS`].
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        lapsed: Vec<String>,
    },
    /// The operators evacuate a data centre: its upstreams get no requests.
    Evacuated {
        /// The data centre.
        data_centre: String,
        /// Number of its listed hosts.
        hosts: usize,
        /// Age of this daemon's knowledge before the list that shows it, in
        /// milliseconds. The evacuation began within this time. `None` if this
        /// is the first list.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        knowledge_age_ms: Option<u64>,
    },
    /// An evacuated data centre is used again.
    Reopened {
        /// The data centre.
        data_centre: String,
        /// Time for which this daemon knew of the evacuation, in milliseconds.
        evacuated_ms: u64,
    },
    /// This host is leaving.
    Leaving {
        /// Originator of the request to leave.
        source: String,
    },
    /// Requests with a fingerprint are refused from now on.
    Banned {
        /// The fingerprint.
        fingerprint: String,
        /// Reason of the ban.
        reason: String,
    },
    /// The process was paused.
    Paused {
        /// Length of the pause in milliseconds.
        milliseconds: u64,
    },
}

/// Maximum number of hosts that an event names.
pub const MAX_NAMED_HOSTS: usize = 16;
/// Maximum number of changes of a version in a log line. The trail contains all
/// of them. A first version with hundreds of classes would produce a line of
/// 50 KB.
const MAX_LOGGED_CHANGES: usize = 16;

impl Event {
    /// Returns the text of the event's log line.
    fn to_log_text(&self) -> String {
        let mut truncated = self.clone();
        if let Self::Offer {
            outcome: Outcome::Adopted { changes, .. },
            ..
        } = &mut truncated
        {
            changes.truncate(MAX_LOGGED_CHANGES);
        }
        serde_json::to_string(&truncated).unwrap_or_else(|error| error.to_string())
    }

    /// Returns the number of changes in an adopted version; 0 for other events.
    fn change_count(&self) -> usize {
        match self {
            Self::Offer {
                outcome: Outcome::Adopted { changes, .. },
                ..
            } => changes.len(),
            _ => 0,
        }
    }

    /// Returns the kind of the event, as it is serialized.
    fn kind(&self) -> &'static str {
        match self {
            Self::Offer { .. } => "offer",
            Self::Refused { .. } => "refused",
            Self::Hosts { .. } => "hosts",
            Self::Evacuated { .. } => "evacuated",
            Self::Reopened { .. } => "reopened",
            Self::Leaving { .. } => "leaving",
            Self::Banned { .. } => "banned",
            Self::Paused { .. } => "paused",
        }
    }
}

/// Bounded audit trail in memory.
#[derive(Debug, Default)]
pub struct Trail {
    entries: Mutex<(u64, VecDeque<Entry>)>,
}

impl Trail {
    /// Adds an entry and writes it to the log.
    pub fn record(&self, event: Event) {
        let mut guard = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        guard.0 += 1;
        let entry = Entry {
            sequence: guard.0,
            at: jiff::Timestamp::now().to_string(),
            event,
        };
        log::info!(
            target: "audit", event_kind = entry.event.kind(), changes = entry.event.change_count();
            "{}", entry.event.to_log_text()
        );
        if guard.1.len() == MAX_ENTRIES {
            guard.1.pop_front();
        }
        guard.1.push_back(entry);
    }

    /// Returns at most `limit` entries with a number greater than `sequence`,
    /// the oldest first.
    pub fn entries_after(&self, sequence: u64, limit: usize) -> Vec<Entry> {
        let guard = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        guard
            .1
            .iter()
            .filter(|entry| entry.sequence > sequence)
            .take(limit)
            .cloned()
            .collect()
    }
}
