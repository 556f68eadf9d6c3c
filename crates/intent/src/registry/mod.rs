//! Registry of upstreams that a key-value store lists in one entry each.
//!
//! After an outage, a store removes the entries of upstreams whose leases
//! lapsed in the meantime, although most of these upstreams are live and
//! register again at once. The registry therefore keeps such entries for a
//! grace period.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use crate::hosts::State;
use crate::revision;

/// Time after an outage of the store within which live upstreams register
/// again.
pub const REREGISTRATION_GRACE: Duration = Duration::from_secs(2);
/// Number of low bits of a list's number that are not the store's revision.
///
/// These bits hold a flag and a step, since lists also change between two
/// revisions, when lapsed entries expire.
const STEP_BITS: u32 = 8;
/// Flag in the number of a list that holds no lapsed entries.
///
/// Of two lists of one revision, the one without lapsed entries therefore has
/// the greater number, whichever daemon made it.
const NO_LAPSED_FLAG: u64 = 1 << (STEP_BITS - 1);

/// Time for which an upstream that has left is remembered. A store comes back
/// from a copy that is some seconds old, and lists it again.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(30);
/// Time after a store came back from an older copy for which an upstream that
/// had left gets no requests unless the entry is written again. A store removes
/// the entry of an upstream that is silent for three heartbeats sooner.
const RESTORED_HOLD: Duration = Duration::from_secs(10);

/// One run of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Instance {
    /// Unique id; a restarted upstream usually has a new one.
    pub id: String,
    /// Address at which the host's daemon reaches the upstream.
    pub address: SocketAddr,
    /// Service that the upstream runs.
    pub service: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream is live or leaving.
    pub state: State,
    /// Time for which the upstream, when it wrote the entry, expected to stay
    /// slow after its start.
    pub warm_up: Duration,
    /// Start of the instance in Unix milliseconds; 0 if unknown.
    pub started_ms: u64,
}

/// An entry of the store.
#[derive(Clone, Debug)]
struct Entry {
    /// Revision of the last change.
    revision: u64,
    /// Upstream that the entry describes; `None` if the entry is unusable.
    instance: Option<Instance>,
    /// Time until which an entry that the store removed is kept as lapsed;
    /// `None` if the store still has the entry.
    expires_at: Option<Duration>,
    /// Time until which the upstream counts as leaving, because it had left
    /// before the store came back from an older copy that lists it.
    held_until: Option<Duration>,
}

impl Entry {
    fn written(revision: u64, instance: Option<Instance>) -> Self {
        Self {
            revision,
            instance,
            expires_at: None,
            held_until: None,
        }
    }
}

/// An upstream that has left.
#[derive(Clone, Copy, Debug)]
struct Departure {
    /// Start of the instance in Unix milliseconds; 0 if unknown.
    started_ms: u64,
    /// Time at which its entry was removed.
    at: Duration,
}

/// First complete read after a store came back from an older copy.
#[derive(Clone, Debug, Default)]
struct Restoration {
    /// Revision of the read; an entry at a greater one was written since.
    revision: u64,
    /// Time until which the upstreams in `departed` are held.
    hold_until: Duration,
    /// Upstreams that had left, by id.
    departed: BTreeMap<String, Departure>,
}

/// Precedence among the entries that share an IP address.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Precedence {
    at_upstream_port: bool,
    started_ms: u64,
    revision: u64,
}

/// Upstreams that the store lists, and lapsed upstreams, by id.
///
/// Invariant: an entry changes only to a greater revision, so that a delayed
/// answer cannot undo a later change.
///
/// A complete read must not be older than [`Registry::revision`]. Since an
/// older read, upstreams that the read does not list may have registered, and
/// upstreams that the read lists may have left.
///
/// A store that comes back from an older copy lists upstreams that have left
/// since, and lacks upstreams that registered since. The first complete read of
/// its new [era](revision) therefore starts the grace period, and an upstream
/// that had left counts as leaving until its entry is written again.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    entries: BTreeMap<String, Entry>,
    /// Revision up to which all changes are known.
    revision: u64,
    /// Revision in the number of the latest list, at least `revision`.
    numbered: u64,
    /// Number of lists made at `numbered` after the first one; part of the
    /// number of a list.
    step: u64,
    /// Upstreams that left recently, by id.
    departed: BTreeMap<String, Departure>,
    /// The latest return of the store from an older copy.
    restoration: Option<Restoration>,
    /// End of the grace period. Removals before it may result from an outage.
    grace_until: Duration,
    /// Port of the upstreams, if it is the same on all hosts.
    port: Option<u16>,
}

impl Registry {
    /// Returns a registry of the upstreams in the host list `number`.
    ///
    /// A complete read that is not older than the list removes the upstreams
    /// that the read does not list.
    pub fn seeded(number: u64, instances: Vec<Instance>) -> Self {
        let entry = |instance: Instance| {
            let id = instance.id.clone();
            (id, Entry::written(0, Some(instance)))
        };
        let revision = revision_of(number);
        Self {
            entries: instances.into_iter().map(entry).collect(),
            revision,
            numbered: revision,
            step: number & (NO_LAPSED_FLAG - 1),
            ..Self::default()
        }
    }

    /// Returns the registry of a deployment whose upstreams have the port `port`
    /// on all hosts.
    pub fn with_port(self, port: u16) -> Self {
        let port = Some(port);
        Self { port, ..self }
    }

    /// Records upstreams that earlier lists than the one of the seed had, so that
    /// they count as departed at `now`.
    pub fn remember_departed(&mut self, now: Duration, ids: impl IntoIterator<Item = String>) {
        let departure = Departure {
            started_ms: 0,
            at: now,
        };
        let departed = ids.into_iter().map(|id| (id, departure));
        self.departed.extend(departed);
    }

    /// Starts the grace period at the end of an outage of the store.
    pub fn start_grace_period(&mut self, now: Duration) {
        self.grace_until = now + REREGISTRATION_GRACE;
    }

    /// Records a written entry; `instance` is `None` if the entry is unusable.
    pub fn put(&mut self, revision: u64, id: &str, instance: Option<Instance>) {
        if self.is_outdated(revision, id) {
            return;
        }
        let mut entry = Entry::written(revision, instance);
        if let Some(until) = self.hold_of(revision, id, entry.instance.as_ref())
            && let Some(instance) = &mut entry.instance
        {
            instance.state = State::Leaving;
            entry.held_until = Some(until);
        } else {
            self.departed.remove(id);
        }
        self.entries.insert(id.to_owned(), entry);
    }

    /// Returns the time until which an upstream whose entry has the revision
    /// `revision` is held as one that left before the store came back.
    fn hold_of(&self, revision: u64, id: &str, instance: Option<&Instance>) -> Option<Duration> {
        let (restoration, instance) = (self.restoration.as_ref()?, instance?);
        let departure = restoration.departed.get(id)?;
        let written_since = revision > restoration.revision;
        let started_since = departure.started_ms != 0 && instance.started_ms > departure.started_ms;
        let held = instance.state == State::Live && !written_since && !started_since;
        held.then_some(restoration.hold_until)
    }

    /// Records the removal of an entry.
    pub fn remove(&mut self, now: Duration, revision: u64, id: &str) {
        if self.is_outdated(revision, id) {
            return;
        }
        self.expire_or_remove(now, revision, id);
    }

    /// Reconciles the registry with a complete read at `revision`, which lists
    /// `ids`: all other entries up to this revision have been removed.
    ///
    /// If the revision is of a greater era than all that is known, the store has
    /// come back from an older copy, and the grace period starts.
    pub fn reconcile(&mut self, now: Duration, revision: u64, ids: &[&str]) {
        if self.revision > 0 && revision::era(revision) > revision::era(self.revision) {
            self.on_restored(now, revision);
        }
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

    /// Prepares for the first complete read, at `revision`, of a store that came
    /// back from an older copy.
    fn on_restored(&mut self, now: Duration, revision: u64) {
        self.start_grace_period(now);
        let entries = self.entries.iter();
        let leaving = entries.filter_map(|(id, entry)| {
            let instance = entry.instance.as_ref()?;
            let started_ms = instance.started_ms;
            let departure = Departure {
                started_ms,
                at: now,
            };
            (instance.state == State::Leaving).then(|| (id.clone(), departure))
        });
        let mut departed = self.departed.clone();
        departed.extend(leaving);
        self.restoration = Some(Restoration {
            revision,
            hold_until: now + RESTORED_HOLD,
            departed,
        });
    }

    /// Marks a live entry as lapsed during the grace period, and otherwise
    /// drops the entry.
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
            (false, _) => self.drop_entry(now, id),
        }
    }

    /// Drops an entry and remembers that its upstream has left.
    fn drop_entry(&mut self, now: Duration, id: &str) {
        let entry = self.entries.remove(id);
        let Some(instance) = entry.and_then(|entry| entry.instance) else {
            return;
        };
        let departure = Departure {
            started_ms: instance.started_ms,
            at: now,
        };
        self.departed.insert(instance.id, departure);
    }

    /// Records that all changes up to `revision` are known, and drops lapsed
    /// entries that have expired. Returns the number of the resulting list.
    pub fn advance(&mut self, now: Duration, revision: u64) -> u64 {
        self.advance_with(now, revision, 0)
    }

    /// Does the same as [`advance`](Self::advance) for a list that shows
    /// something else than entries as of the revision `shown`. The number is
    /// greater than those of the lists made before `shown`, although changes of
    /// entries up to it may be missing; the list that has them gets a greater
    /// number.
    pub fn advance_with(&mut self, now: Duration, revision: u64, shown: u64) -> u64 {
        self.expire(now);
        self.revision = self.revision.max(revision);
        self.step += 1;
        let numbered = self.revision.max(shown);
        if numbered > self.numbered {
            self.numbered = numbered;
            self.step = 0;
        }
        let flag = if self.next_expiry().is_some() {
            0
        } else {
            NO_LAPSED_FLAG
        };
        (self.numbered << STEP_BITS) | (flag + self.step.min(NO_LAPSED_FLAG - 1))
    }

    /// Drops what has expired by `now`.
    fn expire(&mut self, now: Duration) {
        let is_expired = |entry: &Entry| entry.expires_at.is_some_and(|until| now >= until);
        let entries = self.entries.iter();
        let expired = entries.filter(|(_, entry)| is_expired(entry));
        let expired: Vec<String> = expired.map(|(id, _)| id.clone()).collect();
        for id in expired {
            self.drop_entry(now, &id);
        }
        self.departed
            .retain(|_, departure| now.saturating_sub(departure.at) < DEPARTURE_RETENTION);
        for entry in self.entries.values_mut() {
            if entry.held_until.is_some_and(|until| now >= until) {
                entry.held_until = None;
                if let Some(instance) = &mut entry.instance {
                    instance.state = State::Live;
                }
            }
        }
    }

    /// Returns when the next lapsed entry expires.
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

    /// Returns the upstreams, one for each IP address.
    ///
    /// A host has one upstream, and is named by its IP address. Of entries that
    /// share one, the entry at [the upstreams' port](Self::with_port) holds, and
    /// among those the instance that started last: an entry at another port
    /// belongs to a program that only shares the host.
    pub fn instances(&self) -> Vec<&Instance> {
        let mut by_ip: BTreeMap<IpAddr, (Precedence, &Instance)> = BTreeMap::new();
        for entry in self.entries.values() {
            let Some(instance) = &entry.instance else {
                continue;
            };
            let precedence = Precedence {
                at_upstream_port: Some(instance.address.port()) == self.port,
                started_ms: instance.started_ms,
                revision: entry.revision,
            };
            let known = by_ip.get(&instance.address.ip());
            if known.is_none_or(|(known, _)| *known < precedence) {
                by_ip.insert(instance.address.ip(), (precedence, instance));
            }
        }
        by_ip.into_values().map(|(_, instance)| instance).collect()
    }

    /// Returns whether the store removed an upstream that is kept for the grace
    /// period.
    pub fn is_lapsed(&self, id: &str) -> bool {
        let entry = self.entries.get(id);
        entry.is_some_and(|entry| entry.expires_at.is_some())
    }

    /// Returns whether a change at `revision` is no newer than the entry.
    fn is_outdated(&self, revision: u64, id: &str) -> bool {
        let entry = self.entries.get(id);
        entry.is_some_and(|entry| entry.revision >= revision)
    }
}

/// Returns the revision in the number of a list.
pub fn revision_of(number: u64) -> u64 {
    number >> STEP_BITS
}
