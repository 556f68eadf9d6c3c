//! Configuration in force. Requests load one snapshot; a single writer
//! replaces it.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use arc_swap::ArcSwapOption;
use savorylane_intent::adopt::{self, Outcome};
use savorylane_intent::hosts::delta;
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
    pub list_number: u64,
    /// Whether the document was read at the platform by this daemon itself.
    pub read_from_platform: bool,
}

/// Source of what is read at the platform, as the audit trail names it.
pub const PLATFORM_SOURCE: &str = "platform";

/// Host lists that are kept as bases of differences.
const MAX_LISTS: usize = 8;
/// Versions whose time of adoption is kept.
const MAX_ADOPTIONS: usize = 32;

/// A host list with its hash.
#[derive(Clone, Debug)]
pub struct Hosts {
    /// Hash of the list.
    pub hash: Hash,
    /// The list; its hosts are in the order of their names.
    pub list: Arc<hosts::List>,
}

/// Holder of the snapshot in force.
///
/// Invariant: neither the version nor the number of the host list ever goes
/// down within a run; asserted when a snapshot is replaced.
#[derive(Debug)]
pub struct Store {
    snapshot: ArcSwapOption<Snapshot>,
    list: ArcSwapOption<hosts::List>,
    latest: Mutex<adopt::Store>,
    /// Lists in force, the latest first.
    lists: Mutex<VecDeque<Hosts>>,
    /// Numbers of the versions in force with the moments of their adoption, the
    /// latest first.
    adoptions: Mutex<VecDeque<(Instant, u64)>>,
    current: watch::Sender<Current>,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            snapshot: ArcSwapOption::empty(),
            list: ArcSwapOption::empty(),
            latest: Mutex::default(),
            lists: Mutex::default(),
            adoptions: Mutex::default(),
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

    /// Returns the host list in force with its hash.
    pub fn hashed_list(&self) -> Option<Hosts> {
        lock(&self.lists).front().cloned()
    }

    /// Returns the host list with a hash, if it was in force lately.
    pub fn list_by_hash(&self, hash: Hash) -> Option<Arc<hosts::List>> {
        let lists = lock(&self.lists);
        let found = lists.iter().find(|hosts| hosts.hash == hash);
        found.map(|hosts| Arc::clone(&hosts.list))
    }

    /// Returns the number of the version that was in force at `moment`; 0 for
    /// none, or one that is long past.
    pub fn version_number_at(&self, moment: Instant) -> u64 {
        let adoptions = lock(&self.adoptions);
        let earlier = adoptions.iter().find(|(at, _)| *at <= moment);
        earlier.map_or(0, |(_, number)| *number)
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
    pub fn subscribe(&self) -> watch::Receiver<Current> {
        self.current.subscribe()
    }

    /// Says whether the parts of a manifest are worth reading.
    pub fn should_fetch(&self, manifest: &Manifest) -> bool {
        self.lock().should_fetch_manifest(manifest)
    }

    /// Returns the document in force for a peer that has `base`.
    pub fn content_since(&self, base: Option<Hash>) -> Option<(Version, Content)> {
        let latest = self.lock();
        Some((latest.version()?, latest.content_since(base)?))
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
            let mut adoptions = lock(&self.adoptions);
            adoptions.push_front((Instant::now(), to.number));
            adoptions.truncate(MAX_ADOPTIONS);
            drop(adoptions);
            self.publish(&latest, source == PLATFORM_SOURCE);
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
    pub fn offer_list(&self, trail: &Trail, mut list: hosts::List, source: &str) -> bool {
        list.hosts.sort_by(|a, b| a.name.cmp(&b.name));
        let latest = self.lock();
        let known = self.current.borrow().list_number;
        if list.number <= known {
            return false;
        }
        trail.record(Event::Hosts {
            number: list.number,
            source: source.into(),
            count: list.hosts.len(),
        });
        let list = Arc::new(list);
        let hash = delta::hash(&list);
        self.list.store(Some(Arc::clone(&list)));
        let mut lists = lock(&self.lists);
        lists.push_front(Hosts { hash, list });
        lists.truncate(MAX_LISTS);
        drop(lists);
        let read_from_platform = self.current.borrow().read_from_platform;
        self.publish(&latest, read_from_platform);
        true
    }

    fn publish(&self, latest: &adopt::Store, read_from_platform: bool) {
        let list = self.list.load_full();
        let current = Current {
            version: latest.version(),
            list_number: list.as_ref().map_or(0, |list| list.number),
            read_from_platform,
        };
        let old = *self.current.borrow();
        assert!(
            current.version >= old.version && current.list_number >= old.list_number,
            "what is in force never goes back"
        );
        if let Some(accepted) = &latest.current {
            let list = list.as_deref().cloned().unwrap_or_default();
            let known = self.snapshot.load();
            let snapshot = match known.as_deref() {
                Some(known) if known.version == accepted.version => known.with_list(list),
                _ => Snapshot::build_with_version(
                    accepted.version,
                    Arc::clone(&accepted.document),
                    list,
                ),
            };
            self.snapshot.store(Some(Arc::new(snapshot)));
        }
        self.current.send_replace(current);
    }

    fn lock(&self) -> MutexGuard<'_, adopt::Store> {
        lock(&self.latest)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
