//! Configuration in force. Requests load one snapshot; a single writer
//! replaces it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwapOption;
use savorylane_intent::adopt::{self, Outcome};
use savorylane_intent::transfer::Content;
use savorylane_intent::{Hash, Manifest, Snapshot, Version, hosts};
use tokio::sync::watch;

use crate::audit::{Event, Trail};
use crate::logs;

/// What is in force: version of the document and number of the host list.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Current {
    /// Version of the document.
    pub version: Option<Version>,
    /// Number of the host list.
    pub hosts: u64,
    /// Whether the document was read at the platform by this daemon itself.
    pub read: bool,
}

/// Source of what is read at the platform, as the audit trail names it.
pub const PLATFORM: &str = "platform";

/// Holder of the snapshot in force.
///
/// Invariant: neither the version nor the number of the host list ever goes
/// down within a run; asserted when a snapshot is replaced.
#[derive(Debug)]
pub struct Store {
    snapshot: ArcSwapOption<Snapshot>,
    list: ArcSwapOption<hosts::List>,
    latest: Mutex<adopt::Store>,
    current: watch::Sender<Current>,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            snapshot: ArcSwapOption::empty(),
            list: ArcSwapOption::empty(),
            latest: Mutex::default(),
            current: watch::Sender::default(),
        }
    }
}

impl Store {
    /// Returns the snapshot in force, if there is one.
    pub fn snapshot(&self) -> Option<Arc<Snapshot>> {
        self.snapshot.load_full()
    }

    /// Returns the host list in force, which can be there before a document.
    pub fn list(&self) -> Option<Arc<hosts::List>> {
        self.list.load_full()
    }

    /// Returns the version in force.
    pub fn version(&self) -> Option<Version> {
        self.current.borrow().version
    }

    /// Returns what is in force.
    pub fn current(&self) -> Current {
        *self.current.borrow()
    }

    /// Returns a receiver that is told of each change.
    pub fn watch(&self) -> watch::Receiver<Current> {
        self.current.subscribe()
    }

    /// Says whether the parts of a manifest are worth reading.
    pub fn wants(&self, manifest: &Manifest) -> bool {
        self.lock().wants_manifest(manifest)
    }

    /// Returns the document in force for a peer that has `base`.
    pub fn content(&self, base: Option<Hash>) -> Option<(Version, Content)> {
        let latest = self.lock();
        Some((latest.version()?, latest.content(base)?))
    }

    /// Offers a document in the form that `offer` takes, and puts it in force
    /// if it is adopted.
    pub fn offer<F>(&self, trail: &Trail, source: &str, offer: F) -> Outcome
    where
        F: FnOnce(&mut adopt::Store) -> Outcome,
    {
        let mut latest = self.lock();
        let outcome = offer(&mut latest);
        if let Outcome::Adopted { to, .. } = &outcome {
            logs::set_version(to.number);
            self.publish(&latest, source == PLATFORM);
        }
        if !matches!(outcome, Outcome::Ignored { .. }) {
            trail.record(Event::Offer {
                source: source.into(),
                outcome: outcome.clone(),
            });
        }
        outcome
    }

    /// Offers a host list, and says whether it is newer than the one in force.
    pub fn offer_hosts(&self, trail: &Trail, list: hosts::List, source: &str) -> bool {
        let latest = self.lock();
        let known = self.current.borrow().hosts;
        if list.number <= known {
            return false;
        }
        trail.record(Event::Hosts {
            number: list.number,
            source: source.into(),
            count: list.hosts.len(),
        });
        self.list.store(Some(Arc::new(list)));
        let read = self.current.borrow().read;
        self.publish(&latest, read);
        true
    }

    fn publish(&self, latest: &adopt::Store, read: bool) {
        let list = self.list.load_full();
        let current = Current {
            version: latest.version(),
            hosts: list.as_ref().map_or(0, |list| list.number),
            read,
        };
        let old = *self.current.borrow();
        assert!(
            current.version >= old.version && current.hosts >= old.hosts,
            "what is in force never goes back"
        );
        if let Some(accepted) = &latest.current {
            let list = list.as_deref().cloned().unwrap_or_default();
            let known = self.snapshot.load();
            let snapshot = match known.as_deref() {
                Some(known) if known.version == accepted.version => known.with_list(list),
                _ => Snapshot::adopt(accepted.version, Arc::clone(&accepted.document), list),
            };
            self.snapshot.store(Some(Arc::new(snapshot)));
        }
        self.current.send_replace(current);
    }

    fn lock(&self) -> MutexGuard<'_, adopt::Store> {
        self.latest.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
