//! Kernel of the daemon: state that the edges share, and their life.

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
use crate::holder::rings::EVIDENCE;
use crate::holder::{Rings, Runs};
use crate::metrics::Metrics;
use crate::peers::{self, Peers};
use crate::reservation::Reservations;
use crate::results::Results;
use crate::settings::Settings;
use crate::summary;
use crate::suspects::Suspects;

/// Time between the announcement that the host leaves and the end of the
/// servers, so that peers route elsewhere first.
const LEAVE_DELAY: Duration = Duration::from_secs(1);
/// The same on the adapted platform, which asks once a second whether callers
/// are taken, and sends none after two refusals.
const UNREADY_DELAY: Duration = Duration::from_millis(2_300);

/// Time after the panic of an edge before it starts again.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// Part of the drain limit that is left for the answers to what is cut.
const ABORT_MARGIN: Duration = Duration::from_millis(200);

/// State that the edges share.
#[derive(Debug)]
pub struct Context {
    /// Checked settings.
    pub settings: Settings,
    /// Start of this run; `now` counts from it.
    pub start: Instant,
    /// The run that keys are bound to. Other than the incarnation in gossip it
    /// never changes, because the records of keys belong to this process.
    pub key_incarnation: Incarnation,
    incarnation: ArcSwap<Incarnation>,
    /// Configuration in force.
    pub config: Store,
    /// Audit trail.
    pub trail: Trail,
    /// Gate of the host's upstream.
    pub gatekeeper: Arc<Gatekeeper>,
    /// Room on the host's link.
    pub reservations: Arc<Reservations>,
    /// Membership.
    pub peers: Peers,
    /// Rings of idempotency keys.
    pub rings: Rings,
    /// Keyed work that this daemon runs or ran.
    pub runs: Runs,
    /// Requests that may have crashed an upstream.
    pub suspects: Suspects,
    /// Clients of other daemons' control ports.
    pub control_clients: Clients,
    /// Summaries that were collected lately.
    pub summaries: summary::Cache,
    /// Results by class.
    pub results: Results,
    /// Metrics.
    pub metrics: Metrics,
    /// Rates of log lines about requests.
    pub decisions: Decisions,
    /// Chooses hosts and sends requests to them.
    pub dispatcher: Dispatcher,
    /// How versions and host lists reach this daemon on the adapted platform.
    pub distribution: Distribution,
    /// Number of the next request, by which splits share requests.
    pub split_counter: AtomicU64,
    /// Cancelled when the host announces that it leaves.
    pub leaving: CancellationToken,
    /// Cancelled when the edges end.
    pub stop: CancellationToken,
    /// Cancelled shortly before the drain limit; requests that still run are
    /// answered then, since their connections are closed with the process.
    pub drain_expired: CancellationToken,
}

impl Context {
    /// Returns the time since this run started.
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

    /// Returns the identity of this run.
    pub fn incarnation(&self) -> Incarnation {
        **self.incarnation.load()
    }

    /// Takes a greater incarnation, because peers know an earlier run of this
    /// host with a later start.
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

    /// Announces that this host leaves: new work is refused from now on.
    pub fn leave(self: &Arc<Self>, source: &str) {
        if self.leaving.is_cancelled() {
            return;
        }
        // On the adapted platform the work of other entries is taken until the
        // servers end: the host is away for the shorter time.
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

/// Port of an edge that listens.
#[derive(Clone, Copy, Debug)]
pub struct Port {
    /// Flag that names the address.
    pub flag: &'static str,
    /// Picks the address from the settings; `None` for an edge that these
    /// settings do not use.
    pub address: fn(&Settings) -> Option<SocketAddr>,
}

/// An edge. Edges register with [`inventory::submit!`].
pub struct Plugin {
    /// Unique name.
    pub name: &'static str,
    /// Edges end in falling order; servers that finish requests have a higher
    /// value than what they depend on.
    pub order: u8,
    /// Whether this crate brings the edge. Another plug-in of the same name
    /// takes its place.
    pub builtin: bool,
    /// Port to bind, for an edge that listens.
    pub port: Option<Port>,
    /// Runs the edge until the token is cancelled and its work is finished.
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
/// Returns [`Error::Bind`] if a port cannot be bound; nothing runs then.
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
    let gatekeeper = Gatekeeper::open(settings.slots, upstream, adapted);
    let incarnation = incarnation();
    let own = own_host(&settings, &addresses);
    let sender = Sender {
        host: settings.host.clone(),
        incarnation,
    };
    let ledger = savorylane_ledger::Settings {
        horizon: settings.key_horizon,
        first_start: settings.first_start,
        lease_duration: EVIDENCE,
        ..savorylane_ledger::Settings::default()
    };
    let context = Arc::new(Context {
        start: Instant::now(),
        key_incarnation: incarnation,
        incarnation: ArcSwap::from_pointee(incarnation),
        suspects: Suspects::open(sender.clone(), &settings.service),
        rings: Rings::open(ledger, sender),
        runs: Runs::open(ledger, incarnation),
        peers: Peers::open(&own, incarnation),
        control_clients: Clients::default(),
        summaries: summary::Cache::default(),
        config: Store::default(),
        trail: Trail::default(),
        gatekeeper,
        reservations: Reservations::open(if adapted { settings.link_mbps } else { 0 }),
        results: Results::default(),
        metrics: Metrics::open(),
        decisions: Decisions::default(),
        dispatcher: Dispatcher::open(settings.data.ip(), settings.budgets),
        distribution: Distribution::open(&settings),
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

/// Runs an edge, and starts one without a port again after a panic: a daemon
/// whose edge towards the platform is gone would serve on with what it knew.
/// An edge with a port handles what comes in on tasks of their own.
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
            "an edge ended by a panic"
        );
        if plugin.port.is_some() || stop.is_cancelled() {
            return;
        }
        tokio::time::sleep(RESTART_DELAY).await;
    }
}

/// Returns the edges to run, one of each name, in the order of their start.
fn plugins() -> Vec<&'static Plugin> {
    let mut plugins: Vec<&'static Plugin> = inventory::iter::<Plugin>().collect();
    plugins.sort_by_key(|plugin| (plugin.name, plugin.builtin));
    plugins.dedup_by_key(|plugin| plugin.name);
    plugins.sort_by_key(|plugin| (plugin.order, plugin.name));
    plugins
}

impl Handle {
    /// Announces that the host leaves, finishes what is in flight and ends.
    /// Returns the names of the edges that had to be cut at the drain limit.
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

    /// Ends at once, as a killed process would.
    pub fn abort(self) {
        for edge in self.edges {
            edge.task.abort();
        }
    }
}

/// Returns this host as a host list would give it.
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
    }
}

fn incarnation() -> Incarnation {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation {
        started_ms: now.as_millis() as u64,
        nonce: rand::random(),
    }
}
