//! Table of the hosts by index, with the data centres and their readers.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt};
use savorylane_intent::hosts::{self, Host, List};
use savorylane_wire::Incarnation;
use savorylane_wire::control::State;

use crate::record::Record;

/// Maximum number of readers in each data centre.
pub const MAX_READERS_PER_CENTRE: usize = 2;

/// Index of the own host, which is inserted first and never removed.
pub const OWN: u32 = 0;

/// Time for which an unlisted host is kept as a tombstone after it left or was
/// declared gone, so that an older record in flight cannot revive it.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of hosts that are known only by gossip. A false description
/// takes about 500 bytes, so this limit keeps all of them under 1 MB.
pub const MAX_UNLISTED: usize = 1024;

/// Number of consecutive failed exchanges with a data centre after which the
/// data centre counts as cut off.
const CUT_OFF_FAILURES: u32 = 3;

/// State of a host in the host list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Listing {
    /// The list does not contain the host.
    Absent,
    /// The list shows the host as live.
    Live,
    /// The list shows the host as leaving.
    Leaving,
}

/// Entry of one host.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Name of the host.
    pub name: Arc<str>,
    /// Merged record; `None` while none has been received.
    pub record: Option<Record>,
    /// Incarnation that the host list shows as leaving; the default until a
    /// record is received. Has a meaning only while `listing` is
    /// [`Listing::Leaving`]. A later incarnation is routable again.
    pub leaving_incarnation: Incarnation,
    /// Rendezvous-hashing score by which the hosts of a data centre are ranked
    /// as readers.
    pub score: u64,
    /// Number of the host list that the host announced to this daemon; 0 if it
    /// announced none.
    pub list_number: u64,
    /// Time of the last change of state, in seconds of the process's clock.
    pub state_changed_s: u32,
    /// Index of the data centre.
    pub centre: u16,
    /// State of the host in the host list.
    pub listing: Listing,
    /// Whether a connection from this daemon failed on the request path.
    /// Cleared by an answered request, by an answered heartbeat after the hold
    /// time of the backoff, or by a new incarnation.
    pub failing: bool,
    /// Whether the host was last reported as routable.
    pub routable: bool,
}

impl Entry {
    /// Returns the state of the host; `None` while no record has been received.
    pub fn state(&self) -> Option<State> {
        self.record.map(|record| record.state)
    }

    /// Returns whether the host is expected to answer heartbeats.
    pub fn should_answer(&self) -> bool {
        match self.state() {
            Some(state) => matches!(state, State::Alive | State::Suspect),
            None => self.listing == Listing::Live,
        }
    }

    /// Returns whether the host may be elected as a reader.
    ///
    /// A suspect stays eligible until it is gone, so that a false suspicion
    /// does not move the watches on the platform to another host.
    fn eligible(&self) -> bool {
        self.should_answer() && (self.listing != Listing::Leaving || self.has_newer_incarnation())
    }

    /// Returns whether the host runs a later incarnation than the one that the
    /// host list shows as leaving.
    fn has_newer_incarnation(&self) -> bool {
        self.record
            .is_some_and(|record| record.incarnation > self.leaving_incarnation)
    }
}

/// Data centre of a table.
#[derive(Clone, Debug)]
pub struct Centre {
    /// Name of the data centre.
    pub name: Arc<str>,
    /// Indices of all hosts, by descending rendezvous score.
    pub ranking: Vec<u32>,
    /// Indices of the elected readers, highest rank first.
    pub readers: Vec<u32>,
    /// Consecutive failures of exchanges with this data centre.
    failures: u32,
}

/// Table of all hosts of one view.
///
/// Invariants:
/// - `names` holds exactly the occupied indices of `entries`, sorted by host
///   name. A hash map would take ten times the memory.
/// - Each occupied index is in the `ranking` of its data centre exactly once.
#[derive(Clone, Debug)]
pub struct Table {
    /// Entries; `None` marks a free index.
    pub entries: Vec<Option<Entry>>,
    /// Data centres, in the order in which they were first seen.
    pub centres: Vec<Centre>,
    /// Host list in use.
    pub list: Arc<List>,
    /// Occupied indices, sorted by host name.
    names: Vec<u32>,
    /// Free indices of `entries`.
    free_indices: Vec<u32>,
    /// Descriptions of hosts that `list` does not contain, by name.
    unlisted: BTreeMap<Arc<str>, Host>,
}

impl Table {
    /// Creates a table that holds only `own`.
    pub fn new(own: &Host) -> Self {
        let mut table = Self {
            entries: Vec::new(),
            centres: Vec::new(),
            list: Arc::default(),
            names: Vec::new(),
            free_indices: Vec::new(),
            unlisted: BTreeMap::new(),
        };
        table.insert(own);
        table.unlisted.insert(own.name.as_str().into(), own.clone());
        table
    }

    /// Returns the index of the host named `name`.
    pub fn index(&self, name: &str) -> Option<u32> {
        let at = self.search_name(name).ok()?;
        Some(self.names[at])
    }

    /// Returns the position of `name` in `names`, or the position at which to
    /// insert it.
    fn search_name(&self, name: &str) -> Result<usize, usize> {
        let by_name = |&index: &u32| (*self.entry(index).name).cmp(name);
        self.names.binary_search_by(by_name)
    }

    /// Returns the entry at an occupied index.
    ///
    /// # Panics
    ///
    /// Panics if the index is free.
    pub fn entry(&self, index: u32) -> &Entry {
        self.entries[index as usize]
            .as_ref()
            .expect("index is occupied")
    }

    /// Returns a mutable reference to the entry at an occupied index.
    ///
    /// # Panics
    ///
    /// Panics if the index is free.
    pub fn entry_mut(&mut self, index: u32) -> &mut Entry {
        self.entries[index as usize]
            .as_mut()
            .expect("index is occupied")
    }

    /// Returns the indices of all hosts.
    pub fn indices(&self) -> impl Iterator<Item = u32> + '_ {
        (0..)
            .zip(&self.entries)
            .filter_map(|(index, entry)| entry.as_ref().map(|_| index))
    }

    /// Returns the number of hosts.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether the table is empty. It always holds the own host.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Returns whether the host is in the own data centre.
    pub fn is_local(&self, index: u32) -> bool {
        self.entry(index).centre == self.entry(OWN).centre
    }

    /// Returns the description of a host that the host list does not contain.
    pub fn unlisted(&self, name: &str) -> Option<&Host> {
        self.unlisted.get(name)
    }

    /// Adds a host that the host list does not contain and returns its index;
    /// `None` if [`MAX_UNLISTED`] is reached.
    pub fn add_unlisted(&mut self, host: &Host) -> Option<u32> {
        if let Some(index) = self.index(&host.name) {
            return Some(index);
        }
        if self.unlisted.len() >= MAX_UNLISTED {
            return None;
        }
        let index = self.insert(host);
        self.unlisted
            .insert(host.name.as_str().into(), host.clone());
        let centre = self.entry(index).centre;
        self.rank_hosts(centre);
        Some(index)
    }

    /// Inserts a new host without ranking it and returns its index.
    fn insert(&mut self, host: &Host) -> u32 {
        let centre = self.intern_centre(&host.data_centre);
        let entry = Entry {
            name: host.name.as_str().into(),
            record: None,
            leaving_incarnation: Incarnation::default(),
            score: rendezvous_score(&host.data_centre, &host.name),
            list_number: 0,
            state_changed_s: 0,
            centre,
            listing: Listing::Absent,
            failing: false,
            routable: false,
        };
        let index = self.free_indices.pop().unwrap_or_else(|| {
            self.entries.push(None);
            self.entries.len() as u32 - 1
        });
        let at = self.search_name(&host.name).unwrap_or_else(|at| at);
        self.names.insert(at, index);
        self.entries[index as usize] = Some(entry);
        self.centres[usize::from(centre)].ranking.push(index);
        index
    }

    /// Returns the index of a data centre, which is added if it is new.
    fn intern_centre(&mut self, name: &str) -> u16 {
        let found = self.centres.iter().position(|centre| &*centre.name == name);
        let index = found.unwrap_or_else(|| {
            self.centres.push(Centre {
                name: name.into(),
                ranking: Vec::new(),
                readers: Vec::new(),
                failures: 0,
            });
            self.centres.len() - 1
        });
        index as u16
    }

    /// Sorts the hosts of a data centre by rendezvous score and elects its
    /// readers.
    fn rank_hosts(&mut self, centre: u16) {
        let mut ranking = std::mem::take(&mut self.centres[usize::from(centre)].ranking);
        ranking.sort_by(|&a, &b| {
            let (a, b) = (self.entry(a), self.entry(b));
            b.score.cmp(&a.score).then_with(|| a.name.cmp(&b.name))
        });
        self.centres[usize::from(centre)].ranking = ranking;
        self.elect_readers(centre);
    }

    /// Elects the readers of a data centre and returns whether they changed.
    pub fn elect_readers(&mut self, centre: u16) -> bool {
        let ranking = &self.centres[usize::from(centre)].ranking;
        let readers: Vec<u32> = ranking
            .iter()
            .copied()
            .filter(|&index| self.entry(index).eligible())
            .take(MAX_READERS_PER_CENTRE)
            .collect();
        let centre = &mut self.centres[usize::from(centre)];
        let changed = centre.readers != readers;
        centre.readers = readers;
        changed
    }

    /// Replaces the host list and returns the indices that became free.
    ///
    /// A host that the new list does not contain is kept while gossip shows it
    /// as alive or suspect, since the list lags and may be wrong.
    pub fn apply_list(&mut self, now: Duration, list: Arc<List>) -> Vec<u32> {
        let previous = std::mem::replace(&mut self.list, list.clone());
        // Without an exact reservation, doubling would leave up to half of the
        // memory unused.
        let missing = list.hosts.len().saturating_sub(self.names.len());
        self.entries.reserve_exact(missing);
        self.names.reserve_exact(missing);
        let listed_names: HashSet<&str> =
            list.hosts.iter().map(|host| host.name.as_str()).collect();
        for host in &previous.hosts {
            let Some(index) = self.index(&host.name) else {
                continue;
            };
            if listed_names.contains(host.name.as_str()) {
                continue;
            }
            let entry = self.entry_mut(index);
            entry.listing = Listing::Absent;
            let name = entry.name.clone();
            if self.unlisted.len() < MAX_UNLISTED {
                self.unlisted.insert(name, host.clone());
            }
        }
        for host in &list.hosts {
            let index = self.index(&host.name).unwrap_or_else(|| self.insert(host));
            self.relocate(index, host);
            self.unlisted.remove(host.name.as_str());
            let entry = self.entry_mut(index);
            let listing = match host.state {
                hosts::State::Live => Listing::Live,
                hosts::State::Leaving => Listing::Leaving,
            };
            if entry.listing != listing {
                let seen = entry.record.map(|record| record.incarnation);
                entry.leaving_incarnation = match listing {
                    Listing::Leaving => seen.unwrap_or_default(),
                    _ => Incarnation::default(),
                };
                entry.listing = listing;
            }
        }
        let freed = self.prune(now);
        for centre in 0..self.centres.len() {
            self.rank_hosts(centre as u16);
        }
        freed
    }

    /// Moves a host to the data centre that the host list assigns it to.
    fn relocate(&mut self, index: u32, host: &Host) {
        let from = self.entry(index).centre;
        if *self.centres[usize::from(from)].name == *host.data_centre {
            return;
        }
        let to = self.intern_centre(&host.data_centre);
        let entry = self.entry_mut(index);
        entry.centre = to;
        entry.score = rendezvous_score(&host.data_centre, &host.name);
        let ranking = &mut self.centres[usize::from(from)].ranking;
        ranking.retain(|&other| other != index);
        self.centres[usize::from(to)].ranking.push(index);
    }

    /// Removes unlisted hosts and returns the indices that became free.
    ///
    /// An unlisted host is removed if one of these conditions holds:
    /// - it has no record;
    /// - it is alive or suspect, but its description was not kept because
    ///   [`MAX_UNLISTED`] was reached;
    /// - it has been leaving or gone for longer than [`TOMBSTONE_RETENTION`].
    pub fn prune(&mut self, now: Duration) -> Vec<u32> {
        let expired = |entry: &Entry| {
            let age = now
                .as_secs()
                .saturating_sub(u64::from(entry.state_changed_s));
            match entry.state() {
                None => true,
                Some(State::Alive | State::Suspect) => !self.unlisted.contains_key(&entry.name),
                Some(State::Leaving | State::Gone) => age > TOMBSTONE_RETENTION.as_secs(),
            }
        };
        let freed: Vec<u32> = self
            .indices()
            .skip(1)
            .filter(|&index| self.entry(index).listing == Listing::Absent)
            .filter(|&index| expired(self.entry(index)))
            .collect();
        let removed: HashSet<u32> = freed.iter().copied().collect();
        if removed.is_empty() {
            return freed;
        }
        self.names.retain(|index| !removed.contains(index));
        for centre in &mut self.centres {
            centre.ranking.retain(|index| !removed.contains(index));
        }
        for &index in &freed {
            if let Some(entry) = self.entries[index as usize].take() {
                self.unlisted.remove(&entry.name);
            }
            self.free_indices.push(index);
        }
        for centre in 0..self.centres.len() {
            self.elect_readers(centre as u16);
        }
        freed
    }

    /// Returns whether new requests may be routed to the host.
    pub fn routable(&self, index: u32) -> bool {
        let entry = self.entry(index);
        if entry.failing {
            return false;
        }
        if entry.listing == Listing::Leaving && !entry.has_newer_incarnation() {
            return false;
        }
        match entry.state() {
            Some(state) => state == State::Alive,
            // Gossip from other data centres comes only through readers, so a
            // missing record does not mean that a host there is not running.
            None => entry.listing == Listing::Live && !self.is_local(index),
        }
    }

    /// Counts a failed exchange with a data centre.
    pub fn record_failure(&mut self, centre: u16) {
        let centre = &mut self.centres[usize::from(centre)];
        centre.failures = centre.failures.saturating_add(1);
    }

    /// Records an answer from a data centre and returns whether the data centre
    /// counted as cut off before.
    pub fn record_answer(&mut self, centre: u16) -> bool {
        let was_cut_off = self.cut_off(centre);
        self.centres[usize::from(centre)].failures = 0;
        was_cut_off
    }

    /// Returns whether at least the last `CUT_OFF_FAILURES` exchanges with the
    /// data centre failed.
    pub fn cut_off(&self, centre: u16) -> bool {
        self.centres[usize::from(centre)].failures >= CUT_OFF_FAILURES
    }

    /// Returns up to `count` distinct random hosts of a data centre that
    /// satisfy `predicate`, never the own host.
    pub fn sample_hosts<R: Rng>(
        &self,
        rng: &mut R,
        centre: u16,
        count: usize,
        predicate: impl Fn(&Entry) -> bool,
    ) -> Vec<u32> {
        let ranking = &self.centres[usize::from(centre)].ranking;
        let mut sampled: Vec<u32> = Vec::with_capacity(count);
        let accept = |sampled: &mut Vec<u32>, index: u32| {
            if index != OWN && !sampled.contains(&index) && predicate(self.entry(index)) {
                sampled.push(index);
            }
        };
        if ranking.is_empty() {
            return sampled;
        }
        // Random draws take constant time while most hosts are accepted.
        for _ in 0..4 * count {
            if sampled.len() == count {
                return sampled;
            }
            accept(&mut sampled, ranking[rng.random_range(0..ranking.len())]);
        }
        // When few hosts are accepted, a scan from a random position finds the
        // rest.
        let (head, tail) = ranking.split_at(rng.random_range(0..ranking.len()));
        for &index in tail.iter().chain(head) {
            if sampled.len() == count {
                break;
            }
            accept(&mut sampled, index);
        }
        sampled
    }
}

/// Returns the first 8 bytes of the BLAKE3 hash of both names, separated by a
/// zero byte.
fn rendezvous_score(centre: &str, host: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(centre.as_bytes());
    hasher.update(&[0]);
    hasher.update(host.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_be_bytes(first)
}
