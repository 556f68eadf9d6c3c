//! Reports suspects to the other daemons of the service.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use savorylane_intent::Hash;
use savorylane_intent::hosts::{Host, List, State};
use savorylane_wire::control::{Suspect, Suspicion, suspicion};
use savorylane_wire::rpc::ControlClient;

use crate::edge::control::client;
use crate::kernel::Context;
use crate::peers::control_address;

/// Time for which the callers of interrupted requests wait for the push. They
/// retry within tens of milliseconds after they get their answers.
const PUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of the acknowledgement of a message by one daemon.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before the first retry of a message. Each further retry doubles it, up
/// to [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay before a retry of a message.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time after which a daemon that does not answer, and that is unreachable
/// according to membership, no longer has to acknowledge. Without this limit, a
/// host that is lost permanently would block all suspects, including harmless
/// ones. The adapted platform has no membership; there the time alone decides.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Reports that the other daemons have not acknowledged yet, by host.
#[derive(Debug, Default)]
pub(super) struct Outbox(Mutex<HashMap<String, Arc<Peer>>>);

/// Reports to one daemon.
#[derive(Debug, Default)]
struct Peer {
    /// Latest state by fingerprint. A later state replaces one that was not
    /// sent.
    pending: Mutex<BTreeMap<Hash, suspicion::State>>,
    /// Held while a message is in transit, so that messages keep their order.
    sending: tokio::sync::Mutex<()>,
}

impl Outbox {
    /// Returns the reports to `host`.
    fn peer(&self, host: &str) -> Arc<Peer> {
        let mut peers = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(peers.entry(host.to_owned()).or_default())
    }

    /// Drops the reports to all hosts other than `hosts`.
    fn retain(&self, hosts: &[String]) {
        let mut peers = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        peers.retain(|host, _| hosts.contains(host));
    }
}

impl Peer {
    fn pending(&self) -> MutexGuard<'_, BTreeMap<Hash, suspicion::State>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the hosts of the service's other daemons.
pub(super) fn peers(context: &Context) -> Vec<String> {
    let (settings, list) = (&context.settings, context.config.list());
    let hosts = list.iter().flat_map(|list| &list.hosts);
    let peers = hosts.filter(|host| host.service == settings.service);
    peers
        .map(|host| host.name.clone())
        .filter(|name| *name != settings.host)
        .collect()
}

/// Returns the hosts of the service whose gatekeepers can try a suspect, this
/// host among them if it is listed.
pub(super) fn live_gatekeepers<'a>(context: &Context, list: &'a List) -> Vec<&'a str> {
    let can_try = |host: &&Host| {
        host.service == context.settings.service
            && host.state == State::Live
            && !host.evacuated
            && context.peers.is_routable(&host.name)
    };
    let hosts = list.hosts.iter().filter(can_try);
    hosts.map(|host| host.name.as_str()).collect()
}

/// Sends a message to all other daemons of the service. Returns once all have
/// acknowledged it, or after [`PUSH_TIMEOUT`]; the remaining deliveries
/// continue in the background.
pub(super) async fn push(context: &Arc<Context>, message: &Suspicion) {
    let outbox = &context.suspects.outbox;
    let peers = peers(context);
    outbox.retain(&peers);
    let flushes = peers.into_iter().map(|host| {
        let peer = outbox.peer(&host);
        let reported = message.suspects.iter();
        peer.pending()
            .extend(reported.map(|suspect| (suspect.fingerprint, suspect.state)));
        tokio::spawn(flush(Arc::clone(context), host, peer))
    });
    let all = futures::future::join_all(flushes.collect::<Vec<_>>());
    if tokio::time::timeout(PUSH_TIMEOUT, all).await.is_err() {
        log::warn!(
            "not all daemons of the service acknowledged a suspicion within {PUSH_TIMEOUT:?}"
        );
    }
}

/// Sends the pending reports to one daemon until it has acknowledged all of
/// them.
async fn flush(context: Arc<Context>, host: String, peer: Arc<Peer>) {
    let _sending = peer.sending.lock().await;
    let start = Instant::now();
    let mut delay = MIN_RETRY_DELAY;
    loop {
        let states = std::mem::take(&mut *peer.pending());
        if states.is_empty() {
            return;
        }
        if send(&context, &host, &states).await {
            continue;
        }
        {
            let mut pending = peer.pending();
            for (fingerprint, state) in states {
                pending.entry(fingerprint).or_insert(state);
            }
        }
        if context.stop.is_cancelled() {
            return;
        }
        let unreachable = context.settings.adapter.is_some()
            || control_address(&context, &host).is_none()
            || !context.peers.is_routable(&host);
        if unreachable && start.elapsed() > UNREACHABLE_TIMEOUT {
            context
                .suspects
                .with_list(|list| list.on_peer_unreachable(&host));
            peer.pending().clear();
            return;
        }
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// Sends one message, and returns whether the daemon acknowledged it.
async fn send(context: &Context, host: &str, states: &BTreeMap<Hash, suspicion::State>) -> bool {
    let Some(address) = control_address(context, host) else {
        return false;
    };
    let suspects = states
        .iter()
        .map(|(&fingerprint, &state)| Suspect { fingerprint, state });
    let message = Suspicion {
        from: context.sender(),
        service: context.settings.service.clone(),
        suspects: suspects.collect(),
    };
    let client = client(context, address);
    let answer = client.suspect(message.clone());
    let Ok(Ok(reply)) = tokio::time::timeout(ANSWER_TIMEOUT, answer).await else {
        return false;
    };
    context
        .suspects
        .on_acknowledgement(context, &message, &reply);
    true
}
