//! Decides whether the upstream died with work in flight.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use savorylane_intent::Hash;
use tokio::sync::watch;

use crate::kernel::Context;
use crate::suspects;

/// Time between two tries to connect. The connections of a process that ends
/// can break before its port refuses connections.
const RECHECK_DELAY: Duration = Duration::from_millis(10);
/// Time for which work that ended without an answer counts as in flight: an
/// upstream may go on with a request whose caller went away.
const ABANDONED_RETENTION: Duration = Duration::from_millis(100);
/// Requests of that kind that are remembered at most.
const MAX_ABANDONED: usize = 256;

/// Work at the upstream.
#[derive(Debug, Default)]
pub(super) struct Detector(Mutex<Inner>);

#[derive(Debug, Default)]
struct Inner {
    running: HashMap<u64, Hash>,
    /// Work whose connection broke since the check began.
    broken: HashMap<u64, Hash>,
    /// Work that was counted for a death and has not ended yet. It must not be
    /// counted again when its own connection breaks later.
    counted: HashSet<u64>,
    abandoned: VecDeque<(Duration, Hash)>,
    /// Result of the check that runs.
    check: Option<watch::Receiver<Option<bool>>>,
}

impl Detector {
    /// Takes a request that is handed to the upstream.
    pub(super) fn on_start(&self, id: u64, fingerprint: Hash) {
        self.lock().running.insert(id, fingerprint);
    }

    /// Takes the end of a request.
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

/// How work at the upstream ended without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Interruption {
    /// The upstream broke the connection.
    Broken,
    /// The daemon closed the connection, since what came is no answer.
    Malformed,
}

/// Takes a broken connection, and says whether the upstream died. If it did,
/// all reachable gatekeepers of the service have heard of the suspicion when
/// this returns, or the time for that is over.
pub(super) async fn on_interruption(
    context: &Arc<Context>,
    id: u64,
    fingerprint: Hash,
    interruption: Interruption,
) -> bool {
    let mut result = {
        let mut inner = context.gatekeeper.deaths.lock();
        if inner.counted.contains(&id) && inner.check.is_none() {
            return true;
        }
        // An upstream that sends what is no answer to all requests is alive
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
                // A task of its own: the caller of the request may go away.
                tokio::spawn(async move {
                    let died = upstream_died(&context).await;
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

/// The upstream died if it refuses connections, or if two or more requests
/// were in flight and the connections of all of them broke. One broken
/// connection alone tells nothing.
async fn upstream_died(context: &Arc<Context>) -> bool {
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
