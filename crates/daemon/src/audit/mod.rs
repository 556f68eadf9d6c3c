//! Audit trail: what this daemon accepted, refused and applied.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use savorylane_intent::adopt::Outcome;
use serde::{Deserialize, Serialize};

/// Entries kept; older ones stay in the log only.
const MAX_ENTRIES: usize = 4096;

/// One entry of the trail.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Entry {
    /// Number of the entry in this run, from 1.
    pub sequence: u64,
    /// Moment, RFC 3339 in UTC.
    pub at: String,
    /// What happened.
    pub event: Event,
}

/// What happened.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Event {
    /// A document was offered, and adopted or refused.
    Offer {
        /// Where it came from.
        source: String,
        /// What became of it, with the targets set, changed and withdrawn.
        outcome: Outcome,
    },
    /// A manifest or host list could not be read or was refused.
    Refused {
        /// Where it came from.
        source: String,
        /// Reason of the refusal.
        reason: String,
    },
    /// A host list is in force.
    Hosts {
        /// Number of the list.
        number: u64,
        /// Where it came from.
        source: String,
        /// Hosts in the list.
        count: usize,
    },
    /// This daemon leaves.
    Leaving {
        /// Who asked.
        source: String,
    },
    /// A request is refused by its fingerprint.
    Banned {
        /// The fingerprint.
        fingerprint: String,
        /// Why.
        reason: String,
    },
    /// The process was paused.
    Paused {
        /// Length of the pause, milliseconds.
        milliseconds: u64,
    },
}

/// Changes of a version that a log line names; the trail has all of them. A
/// first version of hundreds of classes would make a line of 50 KB.
const MAX_LOGGED_CHANGES: usize = 16;

impl Event {
    /// Returns the event as a log line gives it.
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

    /// Returns the number of changes that a version brought.
    fn change_count(&self) -> usize {
        match self {
            Self::Offer {
                outcome: Outcome::Adopted { changes, .. },
                ..
            } => changes.len(),
            _ => 0,
        }
    }

    /// Returns what happened, in a word.
    fn kind(&self) -> &'static str {
        match self {
            Self::Offer { .. } => "offer",
            Self::Refused { .. } => "refused",
            Self::Hosts { .. } => "hosts",
            Self::Leaving { .. } => "leaving",
            Self::Banned { .. } => "banned",
            Self::Paused { .. } => "paused",
        }
    }
}

/// Bounded trail in memory.
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

    /// Returns up to `limit` entries after `sequence`, oldest first.
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
