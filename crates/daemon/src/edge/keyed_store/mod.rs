//! Edge towards a platform that keeps the configuration and one entry for each
//! upstream in a store of keys.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use savorylane_intent::adopt::Outcome;
use savorylane_intent::hosts::{self, Host, List};
use savorylane_intent::registry::{Instance, Registry};
use savorylane_membership::backoff::Delay;
use savorylane_platform::store::{Batch, Change, Client, Fault, What};
use savorylane_wire::Load;
use tokio_util::sync::CancellationToken;

use crate::audit::Event;
use crate::config::PLATFORM;
use crate::kernel::Context;
use crate::peers::fetch;
use crate::settings::Adapter;

/// Time that a watch waits at the store.
const WATCH: Duration = Duration::from_secs(20);
/// Time between the answer of a watch and the next one, so that a series of
/// changes is read in batches. It is a small part of the seconds within which
/// a change must be in force.
const BATCH: Duration = Duration::from_millis(200);
/// The same where only the configuration changed. It must be in force within
/// seconds; hosts that come and go are wanted sooner.
const CONFIG_BATCH: Duration = Duration::from_millis(600);
/// Time between two watches for each host of the list, so that up to 100 hosts
/// together make at most 100 calls a second.
const HOST_BATCH: Duration = Duration::from_millis(10);
/// Longest time between two watches; less than half of the time within which a
/// change must be in force.
const BATCH_MAX: Duration = Duration::from_secs(1);
/// Longest wait before a failed call is made again.
const RETRY_MAX: Duration = Duration::from_secs(1);
/// Time without the store after which other daemons are asked for what they
/// announce.
const LOST: Duration = Duration::from_millis(500);
/// Region of a data centre that the settings do not name.
const UNKNOWN: &str = "unknown";

/// Contact with the store.
#[derive(Debug, Default)]
pub struct Contact {
    /// Time since when the store gives no answers, milliseconds of
    /// [`Context::now`]; 0 while it does.
    lost_ms: AtomicU64,
    /// Whether another daemon is being asked.
    asking: AtomicBool,
}

impl Contact {
    /// Returns the time at `now` for which the store gives no answers,
    /// milliseconds; 0 while it does.
    pub fn lost_ms(&self, now: Duration) -> u64 {
        match self.lost_ms.load(Ordering::Relaxed) {
            0 => 0,
            since => (now.as_millis() as u64).saturating_sub(since).max(1),
        }
    }
}

/// Follows the store until `stop`.
pub async fn run(context: Arc<Context>, stop: CancellationToken) {
    let Some(adapter) = context.settings.adapter.clone() else {
        return;
    };
    let clients: Vec<Client> = context
        .settings
        .platform
        .iter()
        .map(|address| Client::new(*address))
        .collect();
    let Some(client) = clients.into_iter().next() else {
        log::error!("no address of the store is set");
        return;
    };
    let mut follower = Follower {
        context,
        adapter,
        client,
        registry: Registry::default(),
        delay: Delay::default(),
    };
    tokio::select! {
        () = follower.follow() => {}
        () = stop.cancelled() => {}
    }
}

struct Follower {
    context: Arc<Context>,
    adapter: Adapter,
    client: Client,
    registry: Registry,
    delay: Delay,
}

impl Follower {
    /// Reads everything, then follows the changes until the history is gone.
    async fn follow(&mut self) {
        loop {
            match self.client.read().await {
                Ok(batch) => self.take_all(batch),
                Err(fault) => {
                    self.failed(&fault).await;
                    continue;
                }
            }
            while self.watch().await {}
        }
    }

    /// Makes one watch, and says whether the history goes on.
    async fn watch(&mut self) -> bool {
        let now = self.context.now();
        let expires = self.registry.expires();
        let wait = expires.map_or(WATCH, |at| at.saturating_sub(now).min(WATCH));
        match self.client.watch(self.registry.revision(), wait).await {
            Ok(batch) => {
                let hosts = self.registry.instances().len();
                let pause = pause(&batch, expires.is_some(), hosts);
                self.take(batch);
                tokio::time::sleep(pause).await;
            }
            Err(Fault::Compacted) => {
                log::info!("the history of the store is gone; reading everything again");
                return false;
            }
            Err(fault) => self.failed(&fault).await,
        }
        true
    }

    async fn failed(&mut self, fault: &Fault) {
        let now = (self.context.now().as_millis() as u64).max(1);
        let lost = &self.context.store.lost_ms;
        if lost
            .compare_exchange(0, now, Ordering::Relaxed, Ordering::Relaxed)
            .is_ok()
        {
            log::warn!(target: "dependency", dependency = "store", outcome = "lost"; "{fault}");
        }
        let wait = self.delay.next(&mut rand::rng()).min(RETRY_MAX);
        tokio::time::sleep(wait).await;
    }

    /// Notes that the store answered.
    fn answered(&mut self) {
        self.delay.reset();
        let now = self.context.now();
        let since = self.context.store.lost_ms.swap(0, Ordering::Relaxed);
        if since == 0 {
            return;
        }
        let away_ms = (now.as_millis() as u64).saturating_sub(since);
        log::info!(
            target: "dependency", dependency = "store", outcome = "regained", away_ms = away_ms;
            "the store answers again"
        );
        self.registry.on_return(now);
    }

    fn take_all(&mut self, batch: Batch) {
        self.answered();
        let now = self.context.now();
        let ids: Vec<&str> = batch
            .changes
            .iter()
            .filter_map(|change| match &change.what {
                What::Entry(id, _) => Some(id.as_str()),
                _ => None,
            })
            .collect();
        self.registry.retain(now, batch.at, &ids);
        self.apply(batch);
    }

    fn take(&mut self, batch: Batch) {
        self.answered();
        self.apply(batch);
    }

    /// Applies changes, and puts what they lead to in force.
    fn apply(&mut self, batch: Batch) {
        log_read(&batch);
        let now = self.context.now();
        let mut document = None;
        for change in batch.changes {
            match change.what {
                What::Config(Ok(read)) => document = Some(read),
                What::Config(Err(fault)) => self.context.trail.record(Event::Refused {
                    source: PLATFORM.into(),
                    reason: fault.to_string(),
                }),
                What::Entry(id, instance) => self.registry.put(change.revision, &id, instance),
                What::Gone(id) => self.registry.remove(now, change.revision, &id),
            }
        }
        let number = self.registry.settle(now, batch.at);
        self.publish(number);
        // The hosts first: the routes of a document name services that may be
        // as new as the document.
        if let Some(document) = document {
            let offer =
                |store: &mut savorylane_intent::adopt::Store| store.offer_document(document);
            let outcome = self
                .context
                .config
                .offer(&self.context.trail, PLATFORM, offer);
            if let Outcome::Refused { reason, .. } = outcome {
                log::error!("the configuration of the store is refused: {reason}");
            }
        }
    }

    fn publish(&self, number: u64) {
        let hosts: Vec<Host> = self
            .registry
            .instances()
            .into_iter()
            .map(|instance| self.host(instance))
            .collect();
        let known = self.context.config.list();
        if known.is_some_and(|known| known.hosts == hosts) {
            return;
        }
        let table = &self.context.dispatcher.table;
        let listed = |name: &str| hosts.iter().any(|h| h.instance.as_deref() == Some(name));
        table.retain(listed, |_| true);
        let list = List { number, hosts };
        self.context
            .config
            .offer_hosts(&self.context.trail, list, PLATFORM);
    }

    /// Returns the host of an upstream. Daemons have the same ports on all
    /// hosts, and an upstream's address is that of its host.
    fn host(&self, instance: &Instance) -> Host {
        let settings = &self.context.settings;
        let on_host = |own: SocketAddr| SocketAddr::new(instance.address.ip(), own.port());
        let region = self.adapter.regions.get(&instance.data_centre);
        Host {
            name: instance.address.ip().to_string(),
            region: region.cloned().unwrap_or_else(|| UNKNOWN.into()),
            data_centre: instance.data_centre.clone(),
            service: instance.service.clone(),
            entry: on_host(settings.entry),
            data: on_host(settings.data),
            control: on_host(settings.control),
            operator: on_host(settings.operator),
            state: instance.state,
            instance: Some(instance.id.clone()),
            slots: Some(instance.slots),
        }
    }
}

/// Writes the line of an answer of the store that tells of changes.
fn log_read(batch: &Batch) {
    if batch.changes.is_empty() {
        return;
    }
    let config = |change: &&Change| matches!(change.what, What::Config(_));
    let versions = batch.changes.iter().filter(config).count();
    let millis = |time: Duration| time.as_millis() as u64;
    let transfer = &batch.transfer;
    log::info!(
        target: "store",
        event = "read", revision = batch.at, versions = versions as u64,
        entries = (batch.changes.len() - versions) as u64, bytes = transfer.bytes as u64,
        waited_ms = millis(transfer.waited), passed_ms = millis(transfer.passed),
        decoded_ms = millis(transfer.decoded);
        "the store told of changes"
    );
}

/// Returns the time between a batch and the next watch. `kept` says whether
/// entries of an outage are about to expire, and `hosts` how many are listed.
fn pause(batch: &Batch, kept: bool, hosts: usize) -> Duration {
    if batch.changes.is_empty() && !kept {
        return Duration::ZERO;
    }
    let config = |change: &Change| matches!(change.what, What::Config(_));
    let least = match batch.changes.iter().all(config) && !kept {
        true => CONFIG_BATCH,
        false => BATCH,
    };
    (HOST_BATCH * hosts as u32).clamp(least, BATCH_MAX)
}

/// Takes what another daemon has in force. A daemon that does not reach the
/// store fetches what is newer from there.
pub fn on_load(context: &Arc<Context>, host: &Host, load: &Load) {
    let current = context.config.current();
    let version = current.version.map_or(0, |version| version.number);
    if load.version <= version && load.list <= current.hosts {
        return;
    }
    let since = context.store.lost_ms.load(Ordering::Relaxed);
    let now = context.now().as_millis() as u64;
    if since == 0 || now < since + LOST.as_millis() as u64 {
        return;
    }
    let wanted = Wanted {
        list: load.list > current.hosts,
        version: load.version > version,
    };
    ask(context, host.control, wanted);
}

/// Takes a request from the daemon at `peer`. A daemon that the store has not
/// answered since its start knows no other one to ask; the calls of the work
/// that it runs would fail.
pub fn on_request(context: &Arc<Context>, peer: IpAddr) {
    if context.config.snapshot().is_some() {
        return;
    }
    let wanted = Wanted {
        list: true,
        version: true,
    };
    let control = SocketAddr::new(peer, context.settings.control.port());
    ask(context, control, wanted);
}

/// What another daemon is asked for.
struct Wanted {
    list: bool,
    version: bool,
}

/// Fetches from the daemon at `control`, unless another one is being asked.
fn ask(context: &Arc<Context>, control: SocketAddr, wanted: Wanted) {
    if context.store.asking.swap(true, Ordering::Relaxed) {
        return;
    }
    let context = Arc::clone(context);
    let source = control.ip().to_string();
    tokio::spawn(async move {
        if wanted.list
            && let Some(list) = fetch::list_of(&context, control, &source).await
        {
            let own = context.config.list().unwrap_or_default();
            let merged = hosts::merge(&own, list);
            context.config.offer_hosts(&context.trail, merged, &source);
        }
        if wanted.version {
            let base = context.config.version().map(|version| version.hash);
            let outcome = fetch::document_of(&context, control, &source, base).await;
            if matches!(outcome, Some(Outcome::Baseless { .. })) {
                fetch::document_of(&context, control, &source, None).await;
            }
        }
        context.store.asking.store(false, Ordering::Relaxed);
    });
}
