//! Detects that the upstream died with requests in flight.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use savorylane_intent::Hash;
use tokio::sync::watch;

use crate::kernel::Context;
use crate::suspects;

/// Time between the two attempts to connect to the upstream. The connections
/// of a process that exits can break before its port refuses connections.
const RECHECK_DELAY: Duration = Duration::from_millis(10);
/// Time for which a request that ended without an answer still counts as in
/// flight: the upstream may continue to process a request whose caller
/// disconnected.
const ABANDONED_RETENTION: Duration = Duration::from_millis(100);
/// Maximum number of requests that ended without an answer and are remembered.
const MAX_ABANDONED: usize = 256;

/// Requests at the upstream, and the check whether it died.
#[derive(Debug, Default)]
pub(super) struct Detector(Mutex<Inner>);

#[derive(Debug, Default)]
struct Inner {
    /// Fingerprints of the requests that the upstream is processing, by ID.
    running: HashMap<u64, Hash>,
    /// Requests whose connection broke since the check began.
    broken: HashMap<u64, Hash>,
    /// Requests that were in flight at a death and have not ended yet. They
    /// must not count for another death when their connections break later.
    counted: HashSet<u64>,
    /// Requests that ended without an answer, with the time of the end.
    abandoned: VecDeque<(Duration, Hash)>,
    /// Result of the check in progress.
    check: Option<watch::Receiver<Option<bool>>>,
}

impl Detector {
    /// Records that a request is sent to the upstream.
    pub(super) fn on_start(&self, id: u64, fingerprint: Hash) {
        self.lock().running.insert(id, fingerprint);
    }

    /// Records that a request ended. `answered` states whether the upstream
    /// answered the request completely.
    pub(super) fn on_end(&self, now: Duration, id: u64, answered: bool) {
        let mut inner = self.lock();
        let counted = inner.counted.remove(&id);
        let Some(fingerprint) = inner.running.remove(&id) else {
            return;
        };
        if answered || counted {
            return;
        }
        if inner.abandoned.len() == MAX_ABANDONED {
            inner.abandoned.pop_front();
        }
        inner.abandoned.push_back((now, fingerprint));
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// How a request at the upstream ended without a complete answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Interruption {
    /// The upstream broke the connection.
    Broken,
    /// The daemon closed the connection because the body of the request broke
    /// off.
    Cut,
    /// The daemon closed the connection because the upstream sent an invalid
    /// answer.
    Malformed,
}

/// Handles a request that was interrupted, and returns whether the upstream
/// died.
///
/// If the upstream died, this function returns once all reachable gatekeepers
/// of the service have acknowledged the suspicion, or after the time limit of
/// the push.
pub(super) async fn on_interruption(
    context: &Arc<Context>,
    id: u64,
    fingerprint: Hash,
    interruption: Interruption,
) -> bool {
    if interruption == Interruption::Cut {
        return false;
    }
    let mut result = {
        let mut inner = context.gatekeeper.deaths.lock();
        if inner.counted.contains(&id) && inner.check.is_none() {
            return true;
        }
        // An upstream that sends an invalid answer to every request is alive
        // unless it refuses connections.
        if interruption == Interruption::Broken {
            inner.broken.insert(id, fingerprint);
        }
        match &inner.check {
            Some(result) => result.clone(),
            None => {
                let (sender, result) = watch::channel(None);
                inner.check = Some(result.clone());
                let context = Arc::clone(context);
                // A separate task, since the caller of the request may
                // disconnect.
                tokio::spawn(async move {
                    let died = check_upstream(&context).await;
                    let mut inner = context.gatekeeper.deaths.lock();
                    inner.check = None;
                    inner.broken.clear();
                    sender.send_replace(Some(died));
                });
                result
            }
        }
    };
    let died = result.wait_for(Option::is_some).await;
    died.is_ok_and(|died| *died == Some(true))
}

/// Checks whether the upstream died. If it did, closes the gate and reports the
/// requests in flight as suspects.
///
/// The upstream died if it refuses connections, or if at least two requests
/// were in flight and the connections of all of them broke. A single broken
/// connection is no evidence.
async fn check_upstream(context: &Arc<Context>) -> bool {
    let gatekeeper = &context.gatekeeper;
    let running_before = gatekeeper.deaths.lock().running.clone();
    let mut died = !gatekeeper.upstream.is_reachable().await;
    if !died {
        tokio::time::sleep(RECHECK_DELAY).await;
        let all_broken = {
            let inner = gatekeeper.deaths.lock();
            running_before.len() > 1
                && running_before
                    .keys()
                    .all(|id| inner.broken.contains_key(id))
        };
        died = all_broken || !gatekeeper.upstream.is_reachable().await;
    }
    if !died {
        return false;
    }
    gatekeeper.close();
    let now = gatekeeper.now();
    let in_flight: BTreeSet<Hash> = {
        let mut guard = gatekeeper.deaths.lock();
        let inner = &mut *guard;
        let abandoned = inner.abandoned.drain(..);
        let abandoned = abandoned.filter(|(ended_at, _)| *ended_at + ABANDONED_RETENTION > now);
        let mut in_flight: BTreeSet<Hash> = abandoned.map(|(_, fingerprint)| fingerprint).collect();
        in_flight.extend(inner.broken.values());
        for (id, fingerprint) in running_before {
            if inner.running.contains_key(&id) {
                inner.counted.insert(id);
                in_flight.insert(fingerprint);
            }
        }
        in_flight
    };
    let in_flight: Vec<Hash> = in_flight.into_iter().collect();
    log::warn!(
        "the upstream died with {} different requests in flight",
        in_flight.len()
    );
    suspects::on_upstream_crash(context, &in_flight).await;
    true
}
