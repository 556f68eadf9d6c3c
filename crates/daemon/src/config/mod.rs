//! Configuration in force. Readers on the request path load one snapshot;
//! a single writer replaces it.

use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwapOption;
use savorylane_intent::{Document, Snapshot, Version, hosts};

use crate::audit::{Event, Trail};
use crate::logs;

/// Holder of the snapshot in force.
///
/// Invariant: neither the version nor the number of the host list ever goes
/// down within a run.
#[derive(Debug, Default)]
pub struct Store {
    snapshot: ArcSwapOption<Snapshot>,
    latest: Mutex<Latest>,
}

#[derive(Debug, Default)]
struct Latest {
    document: Option<Document>,
    version: Option<Version>,
    list: hosts::List,
}

impl Store {
    /// Returns the snapshot in force, if there is one.
    pub fn snapshot(&self) -> Option<Arc<Snapshot>> {
        self.snapshot.load_full()
    }

    /// Returns the version in force.
    pub fn version(&self) -> Option<Version> {
        self.snapshot.load().as_ref().map(|s| s.version)
    }

    /// Takes a checked document if it is newer than the one in force, and says
    /// whether it was.
    pub fn offer_document(&self, trail: &Trail, document: Document, source: &str) -> bool {
        let mut latest = self.latest.lock().unwrap_or_else(PoisonError::into_inner);
        let version = document.version();
        if latest.version >= Some(version) {
            return false;
        }
        latest.version = Some(version);
        latest.document = Some(document);
        self.publish(&latest);
        logs::set_version(version.number);
        trail.record(Event::Applied {
            version: version.to_string(),
            source: source.into(),
            changes: Vec::new(),
        });
        true
    }

    /// Takes a host list if it is newer than the one in force, and says
    /// whether it was.
    pub fn offer_hosts(&self, trail: &Trail, list: hosts::List, source: &str) -> bool {
        let mut latest = self.latest.lock().unwrap_or_else(PoisonError::into_inner);
        if latest.list.number >= list.number {
            return false;
        }
        trail.record(Event::Hosts {
            number: list.number,
            source: source.into(),
            count: list.hosts.len(),
        });
        latest.list = list;
        self.publish(&latest);
        true
    }

    fn publish(&self, latest: &Latest) {
        let Some(document) = &latest.document else {
            return;
        };
        let snapshot = Snapshot::build(document.clone(), latest.list.clone());
        if let Some(old) = self.snapshot.load().as_ref() {
            assert!(snapshot.version >= old.version, "a version never goes back");
        }
        self.snapshot.store(Some(Arc::new(snapshot)));
    }
}
