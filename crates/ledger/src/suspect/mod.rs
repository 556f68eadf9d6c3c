//! Requests that may have crashed an upstream.
//!
//! The gatekeeper whose upstream died owns the suspicion. Only the owner may
//! run the request again, once and alone, and only after every gatekeeper of
//! the service has acknowledged the suspicion: a gatekeeper that has not heard
//! of it may run the request as well. An upstream death at a second gatekeeper
//! confirms the suspect without a trial. Until the owner has an outcome, and
//! while the owner is gone, all others refuse the request.
//!
//! Two upstreams are the bound among gatekeepers that hear of each other's
//! suspicions before the caller sends again; a gatekeeper that is cut off can
//! lose its upstream once more.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use savorylane_intent::Hash;
use savorylane_wire::control::{Sender, Suspect, Suspected, Suspicion};

use crate::ring::hash_field;

/// Time for which a suspect is remembered, from the last news of it.
pub const RETENTION: Duration = Duration::from_secs(600);
/// Suspects remembered at most.
pub const MAX_SUSPECTS: usize = 1024;
/// Bytes at the start of a body that count for the fingerprint.
pub const FINGERPRINT_BODY_BYTES: usize = 4 << 10;

/// Returns the fingerprint of a request. `length` is that of the whole body,
/// `None` when it is not known in advance; of `body`, the first
/// [`BODY_BYTES`] count.
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

/// Decision of a gatekeeper about a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Run it beside other work.
    Run,
    /// Run it with no other work at the upstream.
    RunAlone,
    /// Refuse it as `not-run`.
    Refuse(Reason),
}

/// Reason of a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// Two upstreams died with the request.
    Confirmed,
    /// The owner of the suspicion decides first.
    Undecided,
}

#[derive(Clone, Debug)]
struct Entry {
    state: State,
    expires: Duration,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum State {
    /// This gatekeeper owns the suspicion and waits for `missing` to
    /// acknowledge it.
    Owned {
        unacknowledged: BTreeSet<String>,
    },
    /// The request runs here alone.
    Trial,
    /// The named gatekeeper owns the suspicion.
    OwnedBy(String),
    Confirmed,
}

/// Suspects that one gatekeeper knows.
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

    /// Makes suspects of the work that was in flight when the upstream died.
    ///
    /// `peers` are the other gatekeepers of the service. The message is pushed
    /// to each until it acknowledges, and the callers get their answers when
    /// all reachable ones have.
    pub fn on_upstream_crash(
        &mut self,
        now: Duration,
        in_flight: &[Hash],
        peers: &[&str],
    ) -> Suspicion {
        let mut suspects = Vec::new();
        for &fingerprint in in_flight {
            let state = match self.state(now, &fingerprint) {
                // Death during the trial, or at a second gatekeeper that had
                // the request before it heard of the suspicion.
                Some(State::Trial | State::OwnedBy(_) | State::Confirmed) => State::Confirmed,
                // The upstream of the same gatekeeper died again with work
                // that was admitted before.
                Some(State::Owned { .. }) => State::Confirmed,
                None => State::Owned {
                    unacknowledged: peers.iter().map(|peer| (*peer).to_string()).collect(),
                },
            };
            let reported = match state {
                State::Confirmed => Suspected::Confirmed,
                _ => Suspected::Suspect,
            };
            self.insert(now, fingerprint, state);
            suspects.push(Suspect {
                fingerprint,
                state: reported,
            });
        }
        self.message(suspects)
    }

    /// Takes a peer's suspicion and returns the acknowledgement, which tells
    /// what this gatekeeper knows of the same requests.
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
        self.message(reported)
    }

    /// Takes the acknowledgement of a message that covered `told`.
    pub fn on_acknowledgement(&mut self, now: Duration, sent: &Suspicion, reply: &Suspicion) {
        for suspect in &reply.suspects {
            self.merge(now, &reply.from.host, suspect);
        }
        for suspect in &sent.suspects {
            let entry = self.entries.get_mut(&suspect.fingerprint);
            if let Some(State::Owned { unacknowledged }) = entry.map(|entry| &mut entry.state) {
                unacknowledged.remove(&reply.from.host);
            }
        }
    }

    /// Decides about a request. After [`Admission::RunAlone`] the caller
    /// reports [`List::on_completed`], [`List::on_upstream_died`] or
    /// [`List::on_not_run`].
    pub fn admit(&mut self, now: Duration, fingerprint: &Hash) -> Admission {
        match self.state(now, fingerprint) {
            None => Admission::Run,
            Some(State::Owned { unacknowledged }) if unacknowledged.is_empty() => {
                self.insert(now, *fingerprint, State::Trial);
                Admission::RunAlone
            }
            Some(State::Confirmed) => Admission::Refuse(Reason::Confirmed),
            Some(State::Owned { .. } | State::Trial | State::OwnedBy(_)) => {
                Admission::Refuse(Reason::Undecided)
            }
        }
    }

    /// Takes back a trial that was not handed to the upstream.
    pub fn cancel_trial(&mut self, now: Duration, fingerprint: &Hash) {
        if self.state(now, fingerprint) == Some(State::Trial) {
            let unacknowledged = BTreeSet::new();
            self.insert(now, *fingerprint, State::Owned { unacknowledged });
        }
    }

    /// Clears a suspect that completed, alone or because it was running here
    /// when the suspicion came. Returns the message to push, if any.
    pub fn on_completed(&mut self, now: Duration, fingerprint: &Hash) -> Option<Suspicion> {
        match self.state(now, fingerprint) {
            None | Some(State::Confirmed) => return None,
            Some(State::Owned { .. } | State::Trial | State::OwnedBy(_)) => {}
        }
        self.entries.remove(fingerprint);
        Some(self.message(vec![Suspect {
            fingerprint: *fingerprint,
            state: Suspected::Cleared,
        }]))
    }

    /// Waits no longer for the acknowledgements of a peer that is gone.
    pub fn on_peer_unreachable(&mut self, peer: &str) {
        for entry in self.entries.values_mut() {
            if let State::Owned { unacknowledged } = &mut entry.state {
                unacknowledged.remove(peer);
            }
        }
    }

    /// Returns the other gatekeeper that owns a suspicion.
    pub fn owner(&self, fingerprint: &Hash) -> Option<&str> {
        match &self.entries.get(fingerprint)?.state {
            State::OwnedBy(owner) => Some(owner),
            State::Owned { .. } | State::Trial | State::Confirmed => None,
        }
    }

    fn merge(&mut self, now: Duration, from: &str, suspect: &Suspect) -> Option<Suspected> {
        let fingerprint = suspect.fingerprint;
        let state = self.state(now, &fingerprint);
        let next = match (suspect.state, state) {
            (_, Some(State::Confirmed)) => return Some(Suspected::Confirmed),
            (Suspected::Confirmed, _) => State::Confirmed,
            // A trial ends by itself, and its result counts for more.
            (Suspected::Cleared, Some(State::Trial)) => return Some(Suspected::Suspect),
            (Suspected::Cleared, _) => {
                self.entries.remove(&fingerprint);
                return None;
            }
            // Upstreams of two gatekeepers died with the request.
            (Suspected::Suspect, Some(State::Owned { .. } | State::Trial)) => State::Confirmed,
            (Suspected::Suspect, Some(State::OwnedBy(owner))) if owner != from => State::Confirmed,
            (Suspected::Suspect, _) => State::OwnedBy(from.to_string()),
        };
        let reply = (next == State::Confirmed).then_some(Suspected::Confirmed);
        self.insert(now, fingerprint, next);
        reply
    }

    fn message(&self, suspects: Vec<Suspect>) -> Suspicion {
        Suspicion {
            from: self.me.clone(),
            service: self.service.clone(),
            suspects,
        }
    }

    fn state(&mut self, now: Duration, fingerprint: &Hash) -> Option<State> {
        let entry = self.entries.get(fingerprint)?;
        if entry.expires <= now && entry.state != State::Trial {
            self.entries.remove(fingerprint);
            return None;
        }
        Some(entry.state.clone())
    }

    fn insert(&mut self, now: Duration, fingerprint: Hash, state: State) {
        if self.entries.len() >= MAX_SUSPECTS && !self.entries.contains_key(&fingerprint) {
            self.entries
                .retain(|_, entry| entry.expires > now || entry.state == State::Trial);
            // Without an expired one, the oldest unconfirmed suspect goes.
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
        let expires = now + RETENTION;
        self.entries.insert(fingerprint, Entry { state, expires });
        assert!(
            self.entries.len() <= MAX_SUSPECTS,
            "suspects over the limit"
        );
    }
}
