//! Kernel of the daemon: the state that the edges share, and their start,
//! supervision and shutdown.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use futures::FutureExt;
use futures::future::BoxFuture;
use savorylane_intent::hosts;
use savorylane_policy::intake;
use savorylane_wire::control::Sender;
use savorylane_wire::{Incarnation, Load};
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::audit::{Event, Trail};
use crate::config::Store;
use crate::decisions::Decisions;
use crate::dispatch::Dispatcher;
use crate::distribution::Distribution;
use crate::edge::control::Clients;
use crate::edge::upstream::Upstream;
use crate::error::{BindSnafu, Error};
use crate::gatekeeper::Gatekeeper;
use crate::holder::rings::LEASE_DURATION;
use crate::holder::{Rings, Runs};
use crate::intake::Intake;
use crate::metrics::Metrics;
use crate::peers::{self, Peers};
use crate::reservation::Reservations;
use crate::results::Results;
use crate::settings::Settings;
use crate::summary;
use crate::suspects::Suspects;

/// Time between the announcement that the host is leaving and the stop of the
/// servers, so that peers route elsewhere first.
const LEAVE_DELAY: Duration = Duration::from_secs(1);
/// [`LEAVE_DELAY`] on an adapted platform, which probes the readiness once per
/// second and sends no callers after two refusals.
const UNREADY_DELAY: Duration = Duration::from_millis(2_300);

/// Time between the panic of an edge and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// Time at the end of the drain limit that is reserved for answering the
/// requests that are aborted.
const ABORT_MARGIN: Duration = Duration::from_millis(200);

/// State that the edges share.
#[derive(Debug)]
pub struct Context {
    /// Validated settings.
    pub settings: Settings,
    /// Start of the process, from which [`now`](Self::now) counts.
    pub start: Instant,
    /// Incarnation to which idempotency keys are bound. Unlike the incarnation
    /// in gossip it never changes, because the records of the keys belong to
    /// this process.
    pub key_incarnation: Incarnation,
    incarnation: ArcSwap<Incarnation>,
    /// Configuration in force.
    pub config: Store,
    /// Audit trail.
    pub trail: Trail,
    /// Admission to the host's upstream.
    pub gatekeeper: Arc<Gatekeeper>,
    /// Connections of callers and the memory of their bodies.
    pub intake: Arc<Intake>,
    /// Reservations of capacity on the host's link.
    pub reservations: Arc<Reservations>,
    /// Membership.
    pub peers: Peers,
    /// Rings of idempotency keys.
    pub rings: Rings,
    /// Requests with idempotency keys that this daemon runs or has run.
    pub runs: Runs,
    /// Requests suspected of having crashed an upstream.
    pub suspects: Suspects,
    /// Clients of other daemons' control ports.
    pub control_clients: Clients,
    /// Recently collected summaries.
    pub summaries: summary::Cache,
    /// Results by class.
    pub results: Results,
    /// Metrics.
    pub metrics: Metrics,
    /// Rate limits of log lines about requests.
    pub decisions: Decisions,
    /// Chooses hosts and sends requests to them.
    pub dispatcher: Dispatcher,
    /// State of the distribution of versions and host lists on an adapted
    /// platform.
    pub distribution: Distribution,
    /// Number of the next request, by which the split of a class selects a
    /// service.
    pub split_counter: AtomicU64,
    /// Cancelled when the host announces that it is leaving.
    pub leaving: CancellationToken,
    /// Cancelled when the edges begin to stop.
    pub stop: CancellationToken,
    /// Cancelled shortly before the end of the drain limit. Requests that still
    /// run are then answered with an error, because their connections are
    /// closed when the process exits.
    pub drain_expired: CancellationToken,
}

impl Context {
    /// Returns the time since the start of the process.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns the load of this host's upstream.
    pub fn load(&self) -> Load {
        let mut load = self.gatekeeper.load();
        load.incarnation = self.incarnation();
        let current = self.config.current();
        load.version = current.version.map_or(0, |version| version.number);
        load.list = current.list_number;
        load.reserve_above = self.reservations.required_above();
        load
    }

    /// Returns the incarnation that this daemon announces to its peers.
    pub fn incarnation(&self) -> Incarnation {
        **self.incarnation.load()
    }

    /// Replaces the incarnation by a greater one. This is needed if peers know
    /// an earlier process of this host with a later start time.
    pub fn set_incarnation(&self, incarnation: Incarnation) {
        self.incarnation.store(Arc::new(incarnation));
    }

    /// Returns this daemon as the sender of a message.
    pub fn sender(&self) -> Sender {
        Sender {
            host: self.settings.host.clone(),
            incarnation: self.incarnation(),
        }
    }

    /// Announces that this host is leaving. New work is refused from now on.
    /// `source` names the originator in the audit trail.
    pub fn leave(self: &Arc<Self>, source: &str) {
        if self.leaving.is_cancelled() {
            return;
        }
        // On an adapted platform, requests of other entries are accepted until
        // the servers stop, which keeps the time without this host short.
        if self.settings.adapter.is_none() {
            self.gatekeeper.leave();
        }
        self.leaving.cancel();
        peers::leave(self);
        self.trail.record(Event::Leaving {
            source: source.into(),
        });
    }
}

/// Port on which an edge listens.
#[derive(Clone, Copy, Debug)]
pub struct Port {
    /// Flag of the address, without the dashes.
    pub flag: &'static str,
    /// Returns the address from the settings; `None` if the settings do not use
    /// the edge.
    pub address: fn(&Settings) -> Option<SocketAddr>,
}

/// An edge. Edges register with [`inventory::submit!`].
pub struct Plugin {
    /// Unique name.
    pub name: &'static str,
    /// Position at the start. Edges stop in descending order, so a server that
    /// finishes requests has a greater value than the edges that it depends on.
    pub order: u8,
    /// Whether the edge is part of this crate. Another plug-in with the same
    /// name replaces it.
    pub builtin: bool,
    /// Port to bind, if the edge listens.
    pub port: Option<Port>,
    /// Runs the edge until the token is cancelled and the edge has finished its
    /// work.
    pub run: fn(Arc<Context>, Option<TcpListener>, CancellationToken) -> BoxFuture<'static, ()>,
}

inventory::collect!(Plugin);

/// A running daemon.
#[derive(Debug)]
pub struct Handle {
    /// Shared state, for tests and the binary.
    pub context: Arc<Context>,
    /// Bound addresses by flag.
    pub addresses: BTreeMap<&'static str, SocketAddr>,
    edges: Vec<Edge>,
}

#[derive(Debug)]
struct Edge {
    name: &'static str,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

/// Binds all ports, then starts the registered edges.
///
/// # Errors
///
/// Returns [`Error::Bind`] if a port cannot be bound. No edge is started in
/// this case.
pub async fn spawn(settings: Settings) -> Result<Handle, Error> {
    let mut bound = Vec::new();
    let mut addresses = BTreeMap::new();
    for plugin in plugins() {
        let mut listener = None;
        if let Some(port) = plugin.port
            && let Some(address) = (port.address)(&settings)
        {
            let context = BindSnafu {
                port: port.flag,
                address,
            };
            let socket = TcpListener::bind(address).await.context(context)?;
            addresses.insert(port.flag, socket.local_addr().context(context)?);
            listener = Some(socket);
        }
        bound.push((plugin, listener));
    }
    let adapted = settings.adapter.is_some();
    let upstream = Upstream::new(settings.upstream);
    let gatekeeper = Gatekeeper::new(settings.slots, upstream, adapted);
    let incarnation = new_incarnation();
    let own = own_host(&settings, &addresses);
    let sender = Sender {
        host: settings.host.clone(),
        incarnation,
    };
    let ledger = savorylane_ledger::Settings {
        horizon: settings.key_horizon,
        first_start: settings.first_start,
        lease_duration: LEASE_DURATION,
        ..savorylane_ledger::Settings::default()
    };
    let context = Arc::new(Context {
        start: Instant::now(),
        key_incarnation: incarnation,
        incarnation: ArcSwap::from_pointee(incarnation),
        suspects: Suspects::new(sender.clone(), &settings.service),
        rings: Rings::new(ledger, sender),
        runs: Runs::new(ledger, incarnation),
        peers: Peers::new(&own, incarnation),
        control_clients: Clients::default(),
        summaries: summary::Cache::default(),
        config: Store::default(),
        trail: Trail::default(),
        gatekeeper,
        intake: Intake::new(intake::Limits::new(
            settings.memory_mb,
            settings.descriptors,
        )),
        reservations: Reservations::new(if adapted { settings.link_mbps } else { 0 }),
        results: Results::default(),
        metrics: Metrics::open(),
        decisions: Decisions::default(),
        dispatcher: Dispatcher::new(settings.data.ip(), settings.budgets),
        distribution: Distribution::new(&settings),
        split_counter: AtomicU64::new(0),
        leaving: CancellationToken::new(),
        stop: CancellationToken::new(),
        drain_expired: CancellationToken::new(),
        settings,
    });
    let edges = bound
        .into_iter()
        .map(|(plugin, listener)| {
            let stop = CancellationToken::new();
            let edge = supervise(plugin, Arc::clone(&context), listener, stop.clone());
            Edge {
                name: plugin.name,
                stop,
                task: tokio::spawn(edge),
            }
        })
        .collect();
    Ok(Handle {
        context,
        addresses,
        edges,
    })
}

/// Runs an edge, and restarts an edge without a port after a panic.
///
/// Without the restart, a daemon whose platform edge panicked would continue
/// with an outdated configuration. An edge with a port handles connections on
/// separate tasks, whose panics do not stop it.
async fn supervise(
    plugin: &'static Plugin,
    context: Arc<Context>,
    listener: Option<TcpListener>,
    stop: CancellationToken,
) {
    let mut listener = listener;
    loop {
        let edge = (plugin.run)(Arc::clone(&context), listener.take(), stop.clone());
        if AssertUnwindSafe(edge).catch_unwind().await.is_ok() {
            return;
        }
        log::error!(
            target: "process", outcome = "panicked", edge = plugin.name;
            "an edge panicked"
        );
        if plugin.port.is_some() || stop.is_cancelled() {
            return;
        }
        tokio::time::sleep(RESTART_DELAY).await;
    }
}

/// Returns the edges to run, one for each name, in the order of their start.
fn plugins() -> Vec<&'static Plugin> {
    let mut plugins: Vec<&'static Plugin> = inventory::iter::<Plugin>().collect();
    plugins.sort_by_key(|plugin| (plugin.name, plugin.builtin));
    plugins.dedup_by_key(|plugin| plugin.name);
    plugins.sort_by_key(|plugin| (plugin.order, plugin.name));
    plugins
}

impl Handle {
    /// Announces that the host is leaving, finishes the requests in flight and
    /// stops the edges. Returns the names of the edges whose work was aborted
    /// at the drain limit.
    pub async fn shutdown(self) -> Vec<&'static str> {
        self.context.leave("shutdown");
        let delay = match self.context.settings.adapter {
            Some(_) => UNREADY_DELAY,
            None => LEAVE_DELAY,
        };
        tokio::time::sleep(delay).await;
        self.context.gatekeeper.leave();
        self.context.stop.cancel();
        let limit = tokio::time::Instant::now() + self.context.settings.drain_limit;
        let mut aborted = Vec::new();
        for mut edge in self.edges.into_iter().rev() {
            edge.stop.cancel();
            let deadline = match aborted.is_empty() {
                true => limit - ABORT_MARGIN,
                false => limit,
            };
            let drained = tokio::time::timeout_at(deadline, &mut edge.task).await;
            if drained.is_ok() {
                continue;
            }
            aborted.push(edge.name);
            self.context.drain_expired.cancel();
            let answered = tokio::time::timeout_at(limit, &mut edge.task).await;
            if answered.is_err() {
                edge.task.abort();
            }
        }
        aborted
    }

    /// Stops immediately without a drain, like a killed process.
    pub fn abort(self) {
        for edge in self.edges {
            edge.task.abort();
        }
    }
}

/// Returns this host as an entry of a host list.
fn own_host(settings: &Settings, addresses: &BTreeMap<&'static str, SocketAddr>) -> hosts::Host {
    let address = |flag: &str, set: SocketAddr| addresses.get(flag).copied().unwrap_or(set);
    hosts::Host {
        name: settings.host.clone(),
        region: settings.region.clone(),
        data_centre: settings.data_centre.clone(),
        service: settings.service.clone(),
        entry: address("entry", settings.entry),
        data: address("data", settings.data),
        control: address("control", settings.control),
        operator: address("operator", settings.operator),
        state: hosts::State::Live,
        instance: None,
        slots: None,
        lapsed: false,
        evacuated: false,
        cold_ms: 0,
    }
}

/// Returns the incarnation of a process that starts now.
fn new_incarnation() -> Incarnation {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation {
        started_ms: now.as_millis() as u64,
        nonce: rand::random(),
    }
}
