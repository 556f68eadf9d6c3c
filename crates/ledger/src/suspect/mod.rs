//! Requests that may have crashed an upstream.
//!
//! A gatekeeper is the part of a daemon that admits requests to the upstream of
//! its host. When the upstream crashes, all requests in flight become suspects,
//! and the gatekeeper owns the suspicion of each:
//!
//! - Only the owner may run a suspect again: once, as the only request at the
//!   upstream, and only after every gatekeeper of the service has acknowledged
//!   the suspicion. A gatekeeper without the suspicion could run the request at
//!   the same time.
//! - A crash with the request at a second gatekeeper confirms the suspect
//!   without a trial.
//! - Until the owner has an outcome, all other gatekeepers refuse the request.
//! - A gatekeeper that is gone, or that has no outcome [`OWNER_TIMEOUT`] after
//!   another one first refused the request, is replaced as the owner. The
//!   gatekeepers of the service take over in the order of a hash, so that they
//!   agree on the next owner without a message.
//!
//! A request crashes at most two upstreams among gatekeepers that receive each
//! other's suspicions before the caller sends the request again. Each
//! partitioned gatekeeper can lose its upstream in addition.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use savorylane_intent::Hash;
use savorylane_wire::control::suspicion::State as Reported;
use savorylane_wire::control::{Sender, Suspect, Suspicion};

use crate::ring::hash_field;

/// Time for which a suspect is remembered after the last report of it.
pub const RETENTION: Duration = Duration::from_secs(600);
/// Time after the first refusal of a suspect within which its owner must have
/// an outcome. An owner that is reachable tries the suspect at that refusal.
pub const OWNER_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of suspects that a gatekeeper remembers.
pub const MAX_SUSPECTS: usize = 1024;
/// Number of bytes at the start of a body that enter the fingerprint.
pub const FINGERPRINT_BODY_BYTES: usize = 4 << 10;

/// Returns the fingerprint of a request. `length` is the length of the whole
/// body, or `None` if it is not known in advance. Only the first
/// [`FINGERPRINT_BODY_BYTES`] of `body` enter the fingerprint.
pub fn fingerprint(
    method: &str,
    path: &str,
    caller: &str,
    length: Option<u64>,
    body: &[u8],
) -> Hash {
    let mut hasher = blake3::Hasher::new();
    hash_field(&mut hasher, method.as_bytes());
    hash_field(&mut hasher, path.as_bytes());
    hash_field(&mut hasher, caller.as_bytes());
    hash_field(&mut hasher, &[u8::from(length.is_some())]);
    hash_field(&mut hasher, &length.unwrap_or_default().to_le_bytes());
    hash_field(&mut hasher, &body[..body.len().min(FINGERPRINT_BODY_BYTES)]);
    Hash(*hasher.finalize().as_bytes())
}

/// Decision of a gatekeeper on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Run the request concurrently with others.
    Run,
    /// Run the request while no other is at the upstream.
    RunAlone,
    /// Refuse the request with the verdict `not-run`.
    Refuse(Reason),
}

/// Reason of a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// Two upstreams crashed with the request in flight.
    Confirmed,
    /// The owner of the suspicion has no outcome yet.
    Undecided,
}

/// Entry of one suspect.
#[derive(Clone, Debug)]
struct Entry {
    state: State,
    /// Time at which the suspect is forgotten, except during its trial.
    expires: Duration,
    /// Host of the other gatekeeper that reported the suspect, if any.
    reporter: Option<String>,
    /// Time of the first refusal for want of an outcome of the present owner.
    refused_since: Option<Duration>,
}

/// State of a suspect, as one gatekeeper knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
enum State {
    /// This gatekeeper owns the suspicion and waits until the hosts in
    /// `unacknowledged` have acknowledged it.
    Owned { unacknowledged: BTreeSet<String> },
    /// The request runs alone at this gatekeeper's upstream.
    Trial,
    /// The gatekeeper of the named host owns the suspicion.
    OwnedBy(String),
    /// Two upstreams crashed with the request in flight.
    Confirmed,
}

/// Suspects known to one gatekeeper.
#[derive(Clone, Debug)]
pub struct List {
    me: Sender,
    service: String,
    entries: HashMap<Hash, Entry>,
}

impl List {
    /// Creates an empty list.
    pub fn new(me: Sender, service: String) -> Self {
        Self {
            me,
            service,
            entries: HashMap::new(),
        }
    }

    /// Returns the number of suspects.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no suspect.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Makes suspects of the requests that were in flight when the upstream
    /// crashed, and returns the suspicion to push to `peers`.
    ///
    /// `peers` are the hosts of the service's other gatekeepers. The suspicion
    /// is to be pushed to each peer until it acknowledges. The requests are
    /// answered once all reachable peers have acknowledged.
    pub fn on_upstream_crash(
        &mut self,
        now: Duration,
        in_flight: &[Hash],
        peers: &[&str],
    ) -> Suspicion {
        let mut suspects = Vec::new();
        for &fingerprint in in_flight {
            let state = match self.current_state(now, &fingerprint) {
                // The upstream crashed during the trial, or at a second
                // gatekeeper that admitted the request before it received the
                // suspicion.
                Some(State::Trial | State::OwnedBy(_) | State::Confirmed) => State::Confirmed,
                // The upstream of the same gatekeeper crashed again with a
                // request that was admitted before.
                Some(State::Owned { .. }) => State::Confirmed,
                None => State::Owned {
                    unacknowledged: peers.iter().map(|peer| (*peer).to_string()).collect(),
                },
            };
            let reported = match state {
                State::Confirmed => Reported::Confirmed,
                _ => Reported::Suspect,
            };
            self.set_state(now, fingerprint, state);
            suspects.push(Suspect {
                fingerprint,
                state: reported,
            });
        }
        self.build_suspicion(suspects)
    }

    /// Processes a peer's suspicion and returns the acknowledgement, which
    /// reports those of the requests that are confirmed or on trial here.
    pub fn on_suspicion(&mut self, now: Duration, suspicion: &Suspicion) -> Suspicion {
        let mut reported = Vec::new();
        for suspect in &suspicion.suspects {
            if let Some(state) = self.merge(now, &suspicion.from.host, suspect) {
                reported.push(Suspect {
                    fingerprint: suspect.fingerprint,
                    state,
                });
            }
        }
        self.build_suspicion(reported)
    }

    /// Processes a peer's `acknowledgement` of the message `sent`.
    pub fn on_acknowledgement(
        &mut self,
        now: Duration,
        sent: &Suspicion,
        acknowledgement: &Suspicion,
    ) {
        for suspect in &acknowledgement.suspects {
            self.merge(now, &acknowledgement.from.host, suspect);
        }
        for suspect in &sent.suspects {
            let entry = self.entries.get_mut(&suspect.fingerprint);
            if let Some(State::Owned { unacknowledged }) = entry.map(|entry| &mut entry.state) {
                unacknowledged.remove(&acknowledgement.from.host);
            }
        }
    }

    /// Decides whether a request may run. After [`Admission::RunAlone`], the
    /// caller of this method must report the outcome by [`List::on_completed`],
    /// [`List::on_upstream_crash`] or [`List::cancel_trial`].
    pub fn admit(&mut self, now: Duration, fingerprint: &Hash) -> Admission {
        match self.current_state(now, fingerprint) {
            None => Admission::Run,
            Some(State::Owned { unacknowledged }) if unacknowledged.is_empty() => {
                self.set_state(now, *fingerprint, State::Trial);
                Admission::RunAlone
            }
            Some(State::Confirmed) => Admission::Refuse(Reason::Confirmed),
            Some(State::Owned { .. } | State::Trial | State::OwnedBy(_)) => {
                Admission::Refuse(Reason::Undecided)
            }
        }
    }

    /// Cancels a trial whose request was not handed to the upstream.
    pub fn cancel_trial(&mut self, now: Duration, fingerprint: &Hash) {
        if self.current_state(now, fingerprint) == Some(State::Trial) {
            let unacknowledged = BTreeSet::new();
            self.set_state(now, *fingerprint, State::Owned { unacknowledged });
        }
    }

    /// Clears a suspect that completed, in a trial or because it was already
    /// running here when the suspicion arrived. Returns the message to push, if
    /// any.
    pub fn on_completed(&mut self, now: Duration, fingerprint: &Hash) -> Option<Suspicion> {
        match self.current_state(now, fingerprint) {
            None | Some(State::Confirmed) => return None,
            Some(State::Owned { .. } | State::Trial | State::OwnedBy(_)) => {}
        }
        self.entries.remove(fingerprint);
        Some(self.build_suspicion(vec![Suspect {
            fingerprint: *fingerprint,
            state: Reported::Cleared,
        }]))
    }

    /// Stops waiting for acknowledgements of a peer that is unreachable.
    pub fn on_peer_unreachable(&mut self, peer: &str) {
        for entry in self.entries.values_mut() {
            if let State::Owned { unacknowledged } = &mut entry.state {
                unacknowledged.remove(peer);
            }
        }
    }

    /// Replaces the owner of a suspicion that another gatekeeper owns, if the
    /// owner is not among `live`, or has no outcome [`OWNER_TIMEOUT`] after the
    /// first call of this method for it. Returns the new owner, which may be
    /// this gatekeeper.
    ///
    /// `live` are the hosts of the service's live gatekeepers. To be called
    /// before [`List::admit`].
    pub fn replace_owner(
        &mut self,
        now: Duration,
        fingerprint: &Hash,
        live: &[&str],
    ) -> Option<String> {
        let Some(State::OwnedBy(owner)) = self.current_state(now, fingerprint) else {
            return None;
        };
        let entry = self.entries.get_mut(fingerprint)?;
        let since = *entry.refused_since.get_or_insert(now);
        if live.contains(&owner.as_str()) && now < since + OWNER_TIMEOUT {
            return None;
        }
        let next = successor(fingerprint, &owner, live)?.to_owned();
        let state = match next == self.me.host {
            true => State::Owned {
                unacknowledged: BTreeSet::new(),
            },
            false => State::OwnedBy(next.clone()),
        };
        self.set_state(now, *fingerprint, state);
        Some(next)
    }

    /// Returns the host of the other gatekeeper that owns a suspicion, if any.
    pub fn owner(&self, fingerprint: &Hash) -> Option<&str> {
        match &self.entries.get(fingerprint)?.state {
            State::OwnedBy(owner) => Some(owner),
            State::Owned { .. } | State::Trial | State::Confirmed => None,
        }
    }

    /// Merges a report by the host `from` into the list. Returns the state to
    /// report back if this list overrides the report or the suspect is now
    /// confirmed.
    fn merge(&mut self, now: Duration, from: &str, suspect: &Suspect) -> Option<Reported> {
        let fingerprint = suspect.fingerprint;
        let state = self.current_state(now, &fingerprint);
        let reporter = self.entries.get(&fingerprint);
        let reporter = reporter.and_then(|entry| entry.reporter.as_deref());
        let repeated = reporter == Some(from);
        let next = match (suspect.state, state) {
            (_, Some(State::Confirmed)) => return Some(Reported::Confirmed),
            (Reported::Confirmed, _) => State::Confirmed,
            // The outcome of this gatekeeper's own trial takes precedence.
            (Reported::Cleared, Some(State::Trial)) => return Some(Reported::Suspect),
            (Reported::Cleared, _) => {
                self.entries.remove(&fingerprint);
                return None;
            }
            // The report whose suspicion this gatekeeper took over arrives again.
            (Reported::Suspect, Some(State::Owned { .. } | State::Trial)) if repeated => {
                return None;
            }
            // Upstreams of two gatekeepers crashed with the request.
            (Reported::Suspect, Some(State::Owned { .. } | State::Trial)) => State::Confirmed,
            (Reported::Suspect, Some(State::OwnedBy(_))) if !repeated => State::Confirmed,
            (Reported::Suspect, _) => State::OwnedBy(from.to_string()),
        };
        let reply = (next == State::Confirmed).then_some(Reported::Confirmed);
        self.set_state(now, fingerprint, next);
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.reporter = Some(from.to_string());
        }
        reply
    }

    /// Builds a message of this gatekeeper about `suspects`.
    fn build_suspicion(&self, suspects: Vec<Suspect>) -> Suspicion {
        Suspicion {
            from: self.me.clone(),
            service: self.service.clone(),
            suspects,
        }
    }

    /// Returns the state of a suspect, and removes the suspect if it has
    /// expired.
    fn current_state(&mut self, now: Duration, fingerprint: &Hash) -> Option<State> {
        let entry = self.entries.get(fingerprint)?;
        if entry.expires <= now && entry.state != State::Trial {
            self.entries.remove(fingerprint);
            return None;
        }
        Some(entry.state.clone())
    }

    /// Sets the state of a suspect and restarts its retention. At the limit of
    /// [`MAX_SUSPECTS`], a new suspect replaces another one.
    fn set_state(&mut self, now: Duration, fingerprint: Hash, state: State) {
        if self.entries.len() >= MAX_SUSPECTS && !self.entries.contains_key(&fingerprint) {
            self.entries
                .retain(|_, entry| entry.expires > now || entry.state == State::Trial);
            // If none has expired, removes the suspect that expires first;
            // confirmed suspects only if there are no others.
            let oldest = self
                .entries
                .iter()
                .min_by_key(|(hash, entry)| {
                    (entry.state == State::Confirmed, entry.expires, **hash)
                })
                .map(|(hash, _)| *hash);
            if let Some(oldest) = oldest.filter(|_| self.entries.len() >= MAX_SUSPECTS) {
                self.entries.remove(&oldest);
            }
        }
        let known = self.entries.remove(&fingerprint);
        let entry = Entry {
            state,
            expires: now + RETENTION,
            reporter: known.and_then(|entry| entry.reporter),
            refused_since: None,
        };
        self.entries.insert(fingerprint, entry);
        assert!(
            self.entries.len() <= MAX_SUSPECTS,
            "more than {MAX_SUSPECTS} suspects"
        );
    }
}

/// Returns the host that takes a suspicion over from `owner`: the next one after
/// it in the order of a hash, if there is another one.
fn successor<'a>(fingerprint: &Hash, owner: &str, live: &[&'a str]) -> Option<&'a str> {
    let rank = |host: &str| {
        let mut hasher = blake3::Hasher::new();
        hash_field(&mut hasher, &fingerprint.0);
        hash_field(&mut hasher, host.as_bytes());
        *hasher.finalize().as_bytes()
    };
    let own = rank(owner);
    let others = live.iter().copied().filter(|host| *host != owner);
    others.min_by_key(|host| {
        let rank = rank(host);
        (rank < own, rank)
    })
}
