//! Tells the other daemons of the service about suspects.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use savorylane_intent::Hash;
use savorylane_wire::control::{Suspect, Suspicion, suspicion};
use savorylane_wire::rpc::ControlClient;

use crate::edge::control::client;
use crate::kernel::Context;
use crate::peers::control_address;

/// Time that the callers of broken requests wait for the push. They send again
/// within tens of milliseconds of their answers.
const PUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for one daemon to acknowledge a message.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Wait before a message is sent again, doubled up to the maximum.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time after which a daemon that does not answer, and that membership
/// believes away, is waited for no longer. Otherwise a host that is lost for
/// good would block all suspects, innocent ones too.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(5);

/// What the other daemons have not yet acknowledged.
#[derive(Debug, Default)]
pub(super) struct Outbox(Mutex<HashMap<String, Arc<Peer>>>);

/// Messages to one daemon.
#[derive(Debug, Default)]
struct Peer {
    /// Latest state by request; a later state replaces one that was not told.
    pending: Mutex<BTreeMap<Hash, suspicion::State>>,
    /// Held while a message is on its way, so that messages keep their order.
    sending: tokio::sync::Mutex<()>,
}

impl Outbox {
    fn peer(&self, host: &str) -> Arc<Peer> {
        let mut peers = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(peers.entry(host.to_owned()).or_default())
    }

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

/// Returns the other daemons of the service.
pub(super) fn peers(context: &Context) -> Vec<String> {
    let (settings, list) = (&context.settings, context.config.list());
    let hosts = list.iter().flat_map(|list| &list.hosts);
    let peers = hosts.filter(|host| host.service == settings.service);
    peers
        .map(|host| host.name.clone())
        .filter(|name| *name != settings.host)
        .collect()
}

/// Sends a message to all daemons of the service, and returns when all have
/// acknowledged it or the limit is over. The rest goes on in the background.
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
        log::warn!("not all daemons of the service acknowledged a suspicion in time");
    }
}

/// Sends one daemon its messages until it has acknowledged all.
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
        let unreachable =
            control_address(&context, &host).is_none() || !context.peers.is_routable(&host);
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
