//! Configuration in force: the document and the host list.
//!
//! Each request loads one snapshot without a lock. A lock serializes the
//! writers, which replace the snapshot.

use std::collections::{BTreeSet, VecDeque};
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use arc_swap::ArcSwapOption;
use savorylane_intent::adopt::{self, Outcome};
use savorylane_intent::hosts::delta;
use savorylane_intent::hosts::{Host, List};
use savorylane_intent::transfer::Content;
use savorylane_intent::{Hash, Manifest, Snapshot, Version, homes, hosts};
use tokio::sync::watch;

use crate::audit::{Event, MAX_NAMED_HOSTS, Trail};
use crate::logs;
use addresses::Addresses;

mod addresses;

/// Version of the document and number of the host list in force.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Current {
    /// Version of the document.
    pub version: Option<Version>,
    /// Number of the host list; 0 if there is none.
    pub list_number: u64,
    /// Whether this daemon itself read the document from the platform.
    pub read_from_platform: bool,
}

/// Source in the audit trail of documents and lists read from the platform.
pub const PLATFORM_SOURCE: &str = "platform";
/// Source in the audit trail of changes to the hosts that this daemon keeps.
const KEPT_SOURCE: &str = "kept";

/// Maximum number of host lists that are kept as bases of deltas.
const MAX_LISTS: usize = 8;
/// Maximum number of log lines about homes without hosts for each version.
const MAX_NAMED_GAPS: usize = 16;
/// Maximum number of versions whose adoption time is kept.
const MAX_ADOPTIONS: usize = 32;

/// A host list with its hash.
#[derive(Clone, Debug)]
pub struct Hosts {
    /// Hash of the list.
    pub hash: Hash,
    /// The list, with its hosts sorted by name.
    pub list: Arc<List>,
}

/// Store of the configuration in force.
///
/// The host list in force is the platform's list, and the hosts that this
/// daemon keeps although that list lacks them. The number of the list is the
/// platform's, and only the platform's list is sent to other daemons.
///
/// Invariant: neither the version nor the number of the host list ever
/// decreases while the process runs. An assertion checks this at each
/// replacement.
#[derive(Debug)]
pub struct Store {
    snapshot: ArcSwapOption<Snapshot>,
    /// The host list in force.
    list: ArcSwapOption<List>,
    latest: Mutex<adopt::Store>,
    /// The platform's latest list and previous ones, the latest first.
    lists: Mutex<VecDeque<Hosts>>,
    /// Whether live hosts that the platform removes are kept. Changes only
    /// while `latest` is locked.
    keeps_hosts: AtomicBool,
    /// Adoption time and number of the version in force and of previous
    /// versions, the latest first.
    adoptions: Mutex<VecDeque<(Instant, u64)>>,
    /// Version whose homes were compared with a host list.
    homes_checked: Mutex<Option<Version>>,
    addresses: Addresses,
    current: watch::Sender<Current>,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            snapshot: ArcSwapOption::empty(),
            list: ArcSwapOption::empty(),
            latest: Mutex::default(),
            lists: Mutex::default(),
            keeps_hosts: AtomicBool::default(),
            adoptions: Mutex::default(),
            homes_checked: Mutex::default(),
            addresses: Addresses::default(),
            current: watch::Sender::default(),
        }
    }
}

impl Store {
    /// Returns the snapshot in force, if there is one.
    pub fn snapshot(&self) -> Option<Arc<Snapshot>> {
        self.snapshot.load_full()
    }

    /// Returns the host list in force, with the hosts that this daemon keeps, if
    /// there is one. It may be in force before a document.
    pub fn list(&self) -> Option<Arc<List>> {
        self.list.load_full()
    }

    /// Returns the platform's latest list, without the hosts that this daemon
    /// keeps, if there is one.
    pub fn platform_list(&self) -> Option<Hosts> {
        lock(&self.lists).front().cloned()
    }

    /// Returns the platform's list with the hash `hash`, if it is among the
    /// latest ones.
    pub fn list_by_hash(&self, hash: Hash) -> Option<Arc<List>> {
        let lists = lock(&self.lists);
        let found = lists.iter().find(|hosts| hosts.hash == hash);
        found.map(|hosts| Arc::clone(&hosts.list))
    }

    /// Returns the instances that recent lists of the platform had and that the
    /// latest one lacks.
    pub fn departed_instances(&self) -> BTreeSet<String> {
        let lists = lock(&self.lists);
        let instances = |hosts: &Hosts| -> BTreeSet<String> {
            let hosts = hosts.list.hosts.iter();
            hosts.filter_map(|host| host.instance.clone()).collect()
        };
        let listed = lists.front().map(instances).unwrap_or_default();
        let earlier: BTreeSet<String> = lists.iter().skip(1).flat_map(instances).collect();
        earlier.difference(&listed).cloned().collect()
    }

    /// Returns the number of the version that was in force at `moment`. Returns
    /// 0 if there was none or its adoption time is no longer kept.
    pub fn version_number_at(&self, moment: Instant) -> u64 {
        let adoptions = lock(&self.adoptions);
        let earlier = adoptions.iter().find(|(at, _)| *at <= moment);
        earlier.map_or(0, |(_, number)| *number)
    }

    /// Returns the version in force, if there is one.
    pub fn version(&self) -> Option<Version> {
        self.current.borrow().version
    }

    /// Returns the version and the list number in force.
    pub fn current(&self) -> Current {
        *self.current.borrow()
    }

    /// Returns a receiver that is notified of each change.
    pub fn subscribe(&self) -> watch::Receiver<Current> {
        self.current.subscribe()
    }

    /// Returns whether the parts of `manifest` should be fetched.
    pub fn should_fetch(&self, manifest: &Manifest) -> bool {
        self.lock().should_fetch_manifest(manifest)
    }

    /// Returns the version and content of the document in force for a peer that
    /// has the document with the hash `base`, if any.
    pub fn content_since(&self, base: Option<Hash>) -> Option<(Version, Content)> {
        let latest = self.lock();
        Some((latest.version()?, latest.content_since(base)?))
    }

    /// Offers a document by calling `offer` on the store of documents, and puts
    /// the document in force if it is adopted.
    ///
    /// # Panics
    ///
    /// Panics if the version in force would decrease, which would violate the
    /// invariant of this store.
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

    /// Puts a list of the platform in force if its number is greater than that
    /// of the list in force. Returns whether it is.
    pub fn offer_list(&self, trail: &Trail, mut list: List, source: &str) -> bool {
        list.hosts.sort_by(|a, b| a.name.cmp(&b.name));
        let latest = self.lock();
        let known = self.current.borrow().list_number;
        if list.number <= known {
            return false;
        }
        let list = Arc::new(list);
        let hash = delta::hash(&list);
        let mut lists = lock(&self.lists);
        lists.push_front(Hosts {
            hash,
            list: Arc::clone(&list),
        });
        lists.truncate(MAX_LISTS);
        drop(lists);
        let list = match (self.keeps_hosts(), self.list()) {
            (true, Some(known)) => Arc::new(hosts::merge(&known, List::clone(&list))),
            _ => list,
        };
        self.put_list(&latest, trail, list, source);
        true
    }

    /// Adds the live hosts of `known` to the list in force, and from now on
    /// keeps each live host that the platform removes, until
    /// [`drop_kept_hosts`](Self::drop_kept_hosts). Returns whether the list
    /// changed.
    pub fn keep_hosts(&self, trail: &Trail, known: &List) -> bool {
        let latest = self.lock();
        self.keeps_hosts.store(true, Ordering::Relaxed);
        let Some(list) = self.list() else {
            return false;
        };
        let merged = hosts::merge(known, List::clone(&list));
        if merged.hosts.len() == list.hosts.len() {
            return false;
        }
        self.put_list(&latest, trail, Arc::new(merged), KEPT_SOURCE);
        true
    }

    /// Puts the platform's list in force without any other host. Returns whether
    /// the list changed.
    pub fn drop_kept_hosts(&self, trail: &Trail) -> bool {
        let latest = self.lock();
        self.keeps_hosts.store(false, Ordering::Relaxed);
        let Some(platform) = self.platform_list() else {
            return false;
        };
        if self
            .list()
            .is_none_or(|list| list.hosts == platform.list.hosts)
        {
            return false;
        }
        self.put_list(&latest, trail, platform.list, KEPT_SOURCE);
        true
    }

    /// Returns whether live hosts that the platform removes are kept.
    pub fn keeps_hosts(&self) -> bool {
        self.keeps_hosts.load(Ordering::Relaxed)
    }

    /// Returns whether `address` is that of a host other than `own`, listed now
    /// or earlier.
    pub fn is_other_host(&self, address: IpAddr, own: &str) -> bool {
        self.addresses.is_other(address, own)
    }

    /// Returns the hosts that this daemon keeps although the platform's list
    /// lacks them.
    pub fn kept_hosts(&self) -> Vec<Host> {
        let _latest = self.lock();
        let (Some(list), Some(platform)) = (self.list(), self.platform_list()) else {
            return Vec::new();
        };
        let kept = list.hosts_missing_in(&platform.list).into_iter();
        kept.cloned().collect()
    }

    /// Puts `list` in force.
    fn put_list(&self, latest: &adopt::Store, trail: &Trail, list: Arc<List>, source: &str) {
        let lapsed = list.hosts.iter().filter(|host| host.lapsed);
        trail.record(Event::Hosts {
            number: list.number,
            source: source.into(),
            count: list.hosts.len(),
            lapsed: lapsed
                .map(|host| host.name.clone())
                .take(MAX_NAMED_HOSTS)
                .collect(),
        });
        self.addresses.record(&list);
        self.list.store(Some(list));
        let read_from_platform = self.current.borrow().read_from_platform;
        self.publish(latest, read_from_platform);
    }

    /// Replaces the snapshot and notifies the receivers of
    /// [`subscribe`](Self::subscribe).
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
            "the version and list number in force never decrease"
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
            self.log_gaps_in_homes(&snapshot);
            self.snapshot.store(Some(Arc::new(snapshot)));
        }
        self.current.send_replace(current);
    }

    /// Logs once for each version, with the first list that has a host, which
    /// homes of its classes no listed host serves.
    fn log_gaps_in_homes(&self, snapshot: &Snapshot) {
        let mut checked = lock(&self.homes_checked);
        if snapshot.list.hosts.is_empty() || *checked == Some(snapshot.version) {
            return;
        }
        *checked = Some(snapshot.version);
        let gaps = homes::gaps(snapshot);
        for gap in gaps.iter().take(MAX_NAMED_GAPS) {
            log::warn!(target: "homes", event = "gap", gaps = gaps.len() as u64; "{gap}");
        }
    }

    fn lock(&self) -> MutexGuard<'_, adopt::Store> {
        lock(&self.latest)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
