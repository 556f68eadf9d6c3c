//! Upstreams as a store lists them one by one.
//!
//! A store that was away removes the entries of upstreams whose leases lapsed
//! in the meantime, although most of them live and register again at once.
//! The registry therefore keeps such entries for a short time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::hosts::State;

/// Time after the return of a store within which live upstreams register again.
pub const REREGISTRATION_GRACE: Duration = Duration::from_secs(2);
/// Bits of a list's number below the store's revision. Lists also change
/// between two revisions, when kept entries expire.
const STEP_BITS: u32 = 8;
/// First step of lists without kept entries. Of two lists of one revision the
/// one without is the greater, whoever made it.
const NO_LAPSED_FLAG: u64 = 1 << (STEP_BITS - 1);

/// One run of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Instance {
    /// Unique id; a restart mostly brings a new one.
    pub id: String,
    /// Where the daemon of the host reaches the upstream.
    pub address: SocketAddr,
    /// Service that it runs.
    pub service: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it leaves.
    pub state: State,
    /// Time for which it remained slow after its start when it wrote this.
    pub warm_up: Duration,
    /// Start, Unix milliseconds; 0 if unknown.
    pub started_ms: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    revision: u64,
    /// `None` if the entry is unusable.
    instance: Option<Instance>,
    /// Set when the entry was removed and is kept until then.
    expires_at: Option<Duration>,
}

/// Upstreams by id.
///
/// Invariant: an entry changes only to a greater revision, so that an answer
/// that arrives late undoes nothing. Complete readings must not be older than
/// [`Registry::revision`]: what they do not name may have come since, and what
/// they name may have left.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: BTreeMap<String, Entry>,
    /// Revision up to which all changes are known.
    revision: u64,
    step: u64,
    /// Removals before this moment may be those of an outage.
    grace_until: Duration,
}

impl Registry {
    /// Returns a registry of upstreams that are known from the list `number`. A
    /// complete reading that is no older removes those that it does not name.
    pub fn seeded(number: u64, instances: Vec<Instance>) -> Self {
        let entry = |instance: Instance| {
            let id = instance.id.clone();
            let entry = Entry {
                revision: 0,
                instance: Some(instance),
                expires_at: None,
            };
            (id, entry)
        };
        Self {
            entries: instances.into_iter().map(entry).collect(),
            revision: number >> STEP_BITS,
            step: number & (NO_LAPSED_FLAG - 1),
            ..Self::default()
        }
    }

    /// Takes the end of an outage of the store.
    pub fn start_grace_period(&mut self, now: Duration) {
        self.grace_until = now + REREGISTRATION_GRACE;
    }

    /// Takes an entry that was written; `None` if it is unusable.
    pub fn put(&mut self, revision: u64, id: &str, instance: Option<Instance>) {
        if self.is_outdated(revision, id) {
            return;
        }
        let entry = Entry {
            revision,
            instance,
            expires_at: None,
        };
        self.entries.insert(id.to_owned(), entry);
    }

    /// Takes the removal of an entry.
    pub fn remove(&mut self, now: Duration, revision: u64, id: &str) {
        if self.is_outdated(revision, id) {
            return;
        }
        self.expire_or_remove(now, revision, id);
    }

    /// Takes a complete reading: all entries that it does not name are gone.
    pub fn reconcile(&mut self, now: Duration, revision: u64, ids: &[&str]) {
        let missing: Vec<String> = self
            .entries
            .iter()
            .filter(|(id, entry)| entry.revision <= revision && !ids.contains(&id.as_str()))
            .map(|(id, _)| id.clone())
            .collect();
        for id in missing {
            self.expire_or_remove(now, revision, &id);
        }
    }

    fn expire_or_remove(&mut self, now: Duration, revision: u64, id: &str) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        let live = |instance: &Instance| instance.state == State::Live;
        let kept = entry.instance.as_ref().is_some_and(live) && now < self.grace_until;
        match (kept, entry.expires_at) {
            (true, Some(_)) => {}
            (true, None) => {
                entry.revision = entry.revision.max(revision);
                entry.expires_at = Some(self.grace_until);
            }
            (false, _) => {
                self.entries.remove(id);
            }
        }
    }

    /// Takes the revision up to which all changes are known, and ends entries
    /// that were kept long enough. Returns the number of the list.
    pub fn advance(&mut self, now: Duration, revision: u64) -> u64 {
        self.entries
            .retain(|_, entry| entry.expires_at.is_none_or(|until| now < until));
        self.step += 1;
        if revision > self.revision {
            self.revision = revision;
            self.step = 0;
        }
        let flag = if self.next_expiry().is_some() {
            0
        } else {
            NO_LAPSED_FLAG
        };
        (self.revision << STEP_BITS) | (flag + self.step.min(NO_LAPSED_FLAG - 1))
    }

    /// Returns when a kept entry ends.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.entries
            .values()
            .filter_map(|entry| entry.expires_at)
            .min()
    }

    /// Returns the revision up to which all changes are known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the upstreams, one for each address: the one that started last.
    pub fn instances(&self) -> Vec<&Instance> {
        let mut by_address: BTreeMap<SocketAddr, (&Instance, u64)> = BTreeMap::new();
        for entry in self.entries.values() {
            let Some(instance) = &entry.instance else {
                continue;
            };
            let age = |instance: &Instance, revision| (instance.started_ms, revision);
            let known = by_address.get(&instance.address);
            if known.is_some_and(|(known, revision)| {
                age(known, *revision) >= age(instance, entry.revision)
            }) {
                continue;
            }
            by_address.insert(instance.address, (instance, entry.revision));
        }
        by_address
            .into_values()
            .map(|(instance, _)| instance)
            .collect()
    }

    /// Returns whether an upstream was removed and is kept for a short time.
    pub fn is_lapsed(&self, id: &str) -> bool {
        let entry = self.entries.get(id);
        entry.is_some_and(|entry| entry.expires_at.is_some())
    }

    fn is_outdated(&self, revision: u64, id: &str) -> bool {
        let entry = self.entries.get(id);
        entry.is_some_and(|entry| entry.revision >= revision)
    }
}
