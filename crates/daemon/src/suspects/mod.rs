//! Requests that may crash an upstream: refuses them here and reports them to
//! the other daemons of the service.

mod push;

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::StatusCode;
use savorylane_intent::Hash;
use savorylane_ledger::suspect::{self, Admission, List, MAX_SUSPECTS, RETENTION, Reason};
use savorylane_wire::control::{Sender, Suspicion, suspicion};

use crate::audit::Event;
use crate::call::{Call, Cause, Refusal};
use crate::decisions::{self, Kind};
use crate::kernel::Context;

/// Suspects known to this daemon, and the reports to other daemons that are not
/// acknowledged yet.
#[derive(Debug)]
pub struct Suspects {
    list: Mutex<List>,
    /// Whether the list has entries. Most requests need no more than this.
    has_entries: AtomicBool,
    /// Fingerprints whose ban is in the audit trail, with the time until which
    /// they are not recorded again.
    banned_until: Mutex<HashMap<Hash, Duration>>,
    outbox: push::Outbox,
}

/// Trial of a suspect: its run as the only request at the upstream. When the
/// trial is dropped, the suspect may be tried again, unless it completed or was
/// confirmed in the meantime.
pub struct Trial {
    context: Arc<Context>,
    fingerprint: Hash,
}

impl Drop for Trial {
    fn drop(&mut self) {
        let (now, suspects) = (self.context.now(), &self.context.suspects);
        suspects.with_list(|list| list.cancel_trial(now, &self.fingerprint));
    }
}

impl Suspects {
    /// Creates the empty list of the daemon `me`.
    pub fn new(me: Sender, service: &str) -> Self {
        Self {
            list: Mutex::new(List::new(me, service.to_owned())),
            has_entries: AtomicBool::new(false),
            banned_until: Mutex::default(),
            outbox: push::Outbox::default(),
        }
    }

    /// Records a peer's suspicion and returns the acknowledgement.
    pub fn on_suspicion(&self, context: &Context, suspicion: &Suspicion) -> Suspicion {
        if suspicion.service != context.settings.service {
            return Suspicion {
                from: context.sender(),
                service: context.settings.service.clone(),
                suspects: Vec::new(),
            };
        }
        let reply = self.with_list(|list| list.on_suspicion(context.now(), suspicion));
        self.audit(context, suspicion);
        self.audit(context, &reply);
        reply
    }

    /// Records a peer's acknowledgement of a suspicion.
    fn on_acknowledgement(&self, context: &Context, sent: &Suspicion, reply: &Suspicion) {
        self.with_list(|list| list.on_acknowledgement(context.now(), sent, reply));
        self.audit(context, reply);
    }

    /// Logs a suspicion, and writes each ban to the audit trail. A ban is
    /// written again only if no daemon reported it for [`RETENTION`].
    fn audit(&self, context: &Context, suspicion: &Suspicion) {
        if context.decisions.allow(Kind::Suspected, context.now()) {
            decisions::log_suspicion(suspicion);
        }
        let now = context.now();
        let mut banned_until = self
            .banned_until
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for suspect in &suspicion.suspects {
            if suspect.state != suspicion::State::Confirmed {
                continue;
            }
            if banned_until.len() >= MAX_SUSPECTS {
                banned_until.retain(|_, until| *until > now);
            }
            let until = banned_until.insert(suspect.fingerprint, now + RETENTION);
            if until.is_some_and(|until| until > now) {
                continue;
            }
            context.trail.record(Event::Banned {
                fingerprint: suspect.fingerprint.to_string(),
                reason: "upstreams died while they ran the request".into(),
            });
        }
    }

    /// Changes the list, and updates `has_entries`.
    fn with_list<T>(&self, change: impl FnOnce(&mut List) -> T) -> T {
        let mut list = self.lock();
        let result = change(&mut list);
        self.has_entries.store(!list.is_empty(), Ordering::Release);
        result
    }

    fn lock(&self) -> MutexGuard<'_, List> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the fingerprint of a call. `prefix` is the start of its body, and
/// `complete` states whether that is the whole body.
pub fn fingerprint(call: &Call, prefix: &[u8], complete: bool) -> Hash {
    // The length of a short body is known on every attempt, with or without a
    // content-length header.
    let length = if complete {
        Some(prefix.len() as u64)
    } else {
        let value = call.headers.get(http::header::CONTENT_LENGTH);
        value.and_then(|value| value.to_str().ok()?.parse().ok())
    };
    let path = call.uri.path_and_query();
    let path = path.map_or("/", http::uri::PathAndQuery::as_str);
    let caller = match &call.route {
        Some(route) => route.origin.clone(),
        None => call.caller.to_string(),
    };
    suspect::fingerprint(call.method.as_str(), path, &caller, length, prefix)
}

/// Decides whether a request may run. Returns a trial if the request must run
/// alone.
///
/// # Errors
///
/// Returns a refusal with the verdict `not-run`.
pub fn admit(context: &Arc<Context>, fingerprint: &Hash) -> Result<Option<Trial>, Refusal> {
    let suspects = &context.suspects;
    if !suspects.has_entries.load(Ordering::Acquire) {
        return Ok(None);
    }
    let (admission, owner) = suspects.with_list(|list| {
        replace_owner(context, list, fingerprint);
        let admission = list.admit(context.now(), fingerprint);
        (admission, list.owner(fingerprint).map(str::to_owned))
    });
    let (status, reason) = match admission {
        Admission::Run => return Ok(None),
        Admission::RunAlone => {
            return Ok(Some(Trial {
                context: Arc::clone(context),
                fingerprint: *fingerprint,
            }));
        }
        Admission::Refuse(Reason::Confirmed) => {
            (StatusCode::FORBIDDEN, "the request crashed two upstreams")
        }
        Admission::Refuse(Reason::Undecided) => (
            StatusCode::SERVICE_UNAVAILABLE,
            "the request was in flight when an upstream died, and is being tried",
        ),
    };
    Err(Refusal {
        cause: Cause::Suspect,
        owner,
        ..Refusal::not_run(status, reason)
    })
}

/// Replaces the owner of a suspicion that is gone or has had no outcome for too
/// long.
fn replace_owner(context: &Context, list: &mut List, fingerprint: &Hash) {
    let Some(owner) = list.owner(fingerprint).map(str::to_owned) else {
        return;
    };
    let hosts = context.config.list().unwrap_or_default();
    let live = push::live_gatekeepers(context, &hosts);
    let Some(next) = list.replace_owner(context.now(), fingerprint, &live) else {
        return;
    };
    if context.decisions.allow(Kind::Suspected, context.now()) {
        log::warn!(
            target: "suspects", event = "owner", from = owner.as_str(), to = next.as_str(),
            listed = live.contains(&owner.as_str());
            "{fingerprint} has another owner: the first one is gone or has no outcome"
        );
    }
}

/// Records that this host's upstream crashed with the requests `in_flight`.
/// Returns once all reachable gatekeepers of the service have acknowledged the
/// suspicion, or after the time limit of the push.
pub async fn on_upstream_crash(context: &Arc<Context>, in_flight: &[Hash]) {
    let peers = push::peers(context);
    let peer_names: Vec<&str> = peers.iter().map(String::as_str).collect();
    let suspects = &context.suspects;
    let message =
        suspects.with_list(|list| list.on_upstream_crash(context.now(), in_flight, &peer_names));
    suspects.audit(context, &message);
    push::push(context, &message).await;
}

/// Records that a request was answered completely. If it was a suspect, the
/// other daemons are notified in the background.
pub fn on_completed(context: &Arc<Context>, fingerprint: &Hash) {
    let suspects = &context.suspects;
    if !suspects.has_entries.load(Ordering::Acquire) {
        return;
    }
    let message = suspects.with_list(|list| list.on_completed(context.now(), fingerprint));
    if let Some(message) = message {
        let context = Arc::clone(context);
        tokio::spawn(async move { push::push(&context, &message).await });
    }
}
