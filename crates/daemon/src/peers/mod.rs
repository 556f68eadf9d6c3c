//! Drives the membership view: passes the time and messages to it, and performs
//! its actions.

pub mod fetch;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use savorylane_intent::Version;
use savorylane_intent::hosts::{self, Host};
use savorylane_membership::action::{Action, Purpose, Token};
use savorylane_membership::view::{ANSWER_TIMEOUT, PAUSE_THRESHOLD, PROBE_TIMEOUT, TICK_INTERVAL};
use savorylane_membership::{View, view};
use savorylane_wire::Incarnation;
use savorylane_wire::control::Heartbeat;
use savorylane_wire::rpc::ControlClient;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::audit::Event;
use crate::edge::control::client;
use crate::holder::wall_ms;
use crate::kernel::Context;

/// Time for which a request waits for the refresh after a pause.
pub const REFRESH_TIMEOUT: Duration = Duration::from_secs(1);

/// The membership view, and the parts of its state that the request path reads.
#[derive(Debug)]
pub struct Peers {
    view: Mutex<View>,
    /// Hosts that get no new requests; the set is replaced on each change.
    unroutable: ArcSwap<HashSet<String>>,
    /// Whether this daemon is a reader, which reads the platform.
    is_reader: watch::Sender<bool>,
    /// Whether requests may rely on the version in force; false after a pause
    /// until peers were queried for newer ones.
    fresh: watch::Sender<bool>,
    /// Number of answers to the query that is sent to peers at the start;
    /// `None` until the query is complete.
    start_query: watch::Sender<Option<usize>>,
    /// Time of the last tick, in milliseconds of `Context::now`.
    ticked_ms: AtomicU64,
    /// Time of the last tick by the wall clock, in milliseconds since the Unix
    /// epoch. The wall clock continues while a virtual machine is suspended.
    ticked_wall_ms: AtomicU64,
    fetching: watch::Sender<Fetching>,
    /// Whether a host list is being fetched.
    fetching_host_list: AtomicBool,
}

/// State of the fetch of announced documents.
#[derive(Debug, Default)]
struct Fetching {
    active: bool,
    /// Host with the greatest version announced since the current fetch began,
    /// and that version.
    next: Option<(Arc<str>, Version)>,
}

impl Peers {
    /// Creates the membership state of the daemon on the host `own`.
    pub fn new(own: &Host, incarnation: Incarnation) -> Self {
        let list = Arc::new(hosts::List::default());
        let seed = incarnation.started_ms ^ u64::from(incarnation.nonce);
        Self {
            view: Mutex::new(View::new(Duration::ZERO, own, incarnation, list, seed)),
            unroutable: ArcSwap::default(),
            is_reader: watch::Sender::new(false),
            fresh: watch::Sender::new(true),
            start_query: watch::Sender::new(None),
            ticked_ms: AtomicU64::new(0),
            ticked_wall_ms: AtomicU64::new(wall_ms()),
            fetching: watch::Sender::default(),
            fetching_host_list: AtomicBool::new(false),
        }
    }

    /// Locks and returns the membership view.
    pub fn view(&self) -> MutexGuard<'_, View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether new requests may be sent to a host.
    pub fn is_routable(&self, host: &str) -> bool {
        !self.unroutable.load().contains(host)
    }

    /// Returns a receiver of whether this daemon is a reader.
    pub fn watch_reader(&self) -> watch::Receiver<bool> {
        self.is_reader.subscribe()
    }

    /// Returns a receiver of the number of answers to the query that is sent to
    /// peers at the start; `None` until the query is complete.
    pub fn watch_start_query(&self) -> watch::Receiver<Option<usize>> {
        self.start_query.subscribe()
    }

    /// Returns the time since the last tick by the monotonic or the wall clock,
    /// whichever is longer.
    fn time_since_tick(&self, now: Duration) -> Duration {
        let ticked = Duration::from_millis(self.ticked_ms.load(Ordering::Acquire));
        let ticked_wall_ms = self.ticked_wall_ms.load(Ordering::Acquire);
        let wall_time = Duration::from_millis(wall_ms().saturating_sub(ticked_wall_ms));
        now.saturating_sub(ticked).max(wall_time)
    }

    fn set_routable(&self, host: &str, routable: bool) {
        self.unroutable.rcu(|set| {
            let mut set = HashSet::clone(set);
            if routable {
                set.remove(host);
            } else {
                set.insert(host.to_owned());
            }
            set
        });
    }
}

/// Ticks the view and reports versions and host lists that come into force to
/// it, until `stop` is cancelled.
pub async fn run(context: Arc<Context>, stop: CancellationToken) {
    let mut current = context.config.subscribe();
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => tick(&context),
            changed = current.changed() => {
                if changed.is_err() {
                    return;
                }
                current.borrow_and_update();
                report_in_force(&context);
            }
            () = stop.cancelled() => return,
        }
    }
}

/// Detects a pause of the process, so that no decision rests on knowledge from
/// before the pause. The handler of a request can be the first code that runs
/// after a pause.
pub fn detect_pause(context: &Arc<Context>) {
    let peers = &context.peers;
    if peers.time_since_tick(context.now()) > PAUSE_THRESHOLD {
        tick(context);
    }
}

/// Waits after a pause until peers were queried for newer versions and these
/// were fetched, at most [`REFRESH_TIMEOUT`]. Called before a request is
/// routed.
pub async fn wait_until_fresh(context: &Arc<Context>) {
    detect_pause(context);
    let peers = &context.peers;
    if *peers.fresh.borrow() {
        return;
    }
    let mut fresh = peers.fresh.subscribe();
    let refreshed = fresh.wait_for(|fresh| *fresh);
    if tokio::time::timeout(REFRESH_TIMEOUT, refreshed)
        .await
        .is_err()
    {
        log::warn!(
            "no peer confirmed the version within {REFRESH_TIMEOUT:?} after a pause; \
             continuing with the version in force"
        );
        peers.fresh.send_replace(true);
    }
}

/// Ticks the view, and invalidates knowledge if the process was paused before.
fn tick(context: &Arc<Context>) {
    let now = context.now();
    let peers = &context.peers;
    let ms = now.as_millis() as u64;
    // Other threads no longer detect the pause once the time of this tick is
    // stored. Before that, requests must be made to wait and the leases for
    // keys be invalidated. The view detects a pause by its own clock only,
    // which may have stopped together with the process.
    if peers.time_since_tick(now) > PAUSE_THRESHOLD {
        peers.fresh.send_replace(false);
        context.rings.on_pause(now);
    }
    peers.ticked_wall_ms.store(wall_ms(), Ordering::Release);
    peers.ticked_ms.store(ms, Ordering::Release);
    let actions = peers.view().on_tick(now);
    perform(context, actions);
}

/// Reports the version and the host list in force to the view.
fn report_in_force(context: &Arc<Context>) {
    let now = context.now();
    let mut actions = Vec::new();
    {
        let mut view = context.peers.view();
        if let Some(list) = context.config.list()
            && list.number > view.list_number()
        {
            actions.extend(view.on_host_list(now, list));
        }
        let current = context.config.current();
        if let Some(version) = current.version {
            actions.extend(view.on_version(now, version, current.read_from_platform));
        }
    }
    perform(context, actions);
}

/// Announces to the peers that this host is leaving.
pub fn leave(context: &Arc<Context>) {
    let actions = context.peers.view().leave(context.now());
    perform(context, actions);
}

/// Reports to the view that the request path failed to connect to a host.
pub fn on_connect_failed(context: &Arc<Context>, host: &str) {
    let actions = context.peers.view().on_connect_failed(context.now(), host);
    perform(context, actions);
}

/// Reports to the view that a host answered a request. Does nothing if all
/// hosts are routable.
pub fn on_request_answered(context: &Arc<Context>, host: &str) {
    if context.peers.unroutable.load().is_empty() {
        return;
    }
    let actions = context
        .peers
        .view()
        .on_request_answered(context.now(), host);
    perform(context, actions);
}

/// Performs the actions of the view.
pub fn perform(context: &Arc<Context>, actions: Vec<Action>) {
    // A fetch that an answer triggers must begin before the query counts as
    // complete, because `mark_fresh` waits for running fetches.
    let (queried, others): (Vec<Action>, Vec<Action>) = actions
        .into_iter()
        .partition(|action| matches!(action, Action::Queried { .. }));
    for action in others.into_iter().chain(queried) {
        perform_one(context, action);
    }
}

fn perform_one(context: &Arc<Context>, action: Action) {
    let peers = &context.peers;
    match action {
        Action::Heartbeat {
            token, to, message, ..
        } => {
            tokio::spawn(send_heartbeat(Arc::clone(context), token, to, message));
        }
        Action::Probe { token, via, target } => {
            tokio::spawn(send_probe(Arc::clone(context), token, via, target));
        }
        Action::Notice { to } => {
            tokio::spawn(send_notice(Arc::clone(context), to));
        }
        Action::Queried { purpose, answers } => {
            if purpose == Purpose::Start {
                peers.start_query.send_replace(Some(answers));
            }
            tokio::spawn(mark_fresh(Arc::clone(context)));
        }
        Action::NewerVersion { host, version } => {
            let mut start = false;
            peers.fetching.send_modify(|fetching| {
                let known = fetching.next.as_ref().map(|(_, known)| *known);
                if known < Some(version) {
                    fetching.next = Some((host, version));
                }
                start = !std::mem::replace(&mut fetching.active, true);
            });
            if start {
                tokio::spawn(fetch::offer_newest_document(Arc::clone(context)));
            }
        }
        Action::NewerHostList { host, .. } => {
            if !peers.fetching_host_list.swap(true, Ordering::Relaxed) {
                tokio::spawn(fetch::offer_newest_host_list(Arc::clone(context), host));
            }
        }
        Action::Routable(host) => peers.set_routable(&host, true),
        Action::Unroutable(host) => peers.set_routable(&host, false),
        Action::State { host, state } => log::info!("state of host {host} changed to {state:?}"),
        Action::Reader(reader) => {
            log::info!("role of this daemon changed; it is a reader of the platform: {reader}");
            peers.is_reader.send_replace(reader);
        }
        Action::Paused(length) => {
            peers.fresh.send_replace(false);
            context.trail.record(Event::Paused {
                milliseconds: length.as_millis() as u64,
            });
        }
        Action::Incarnation(incarnation) => context.set_incarnation(incarnation),
        Action::Replaced(by) => {
            log::error!("leaving: a newer run of the daemon serves this host: {by}");
            context.leave("replaced");
        }
    }
}

/// Returns the control address of a host, from the host list in force or from
/// membership.
pub fn control_address(context: &Context, host: &str) -> Option<SocketAddr> {
    if let Some(list) = context.config.list()
        && let Some(host) = list.hosts.iter().find(|listed| listed.name == host)
    {
        return Some(host.control);
    }
    let view = context.peers.view();
    let found = view.unlisted().find(|unlisted| unlisted.name == host);
    found.map(|host| host.control)
}

/// Sends a heartbeat and reports the answer or the timeout to the view.
async fn send_heartbeat(context: Arc<Context>, token: Token, to: Arc<str>, message: Heartbeat) {
    let answer = match control_address(&context, &to).map(|address| client(&context, address)) {
        Some(client) => {
            let sent = client.heartbeat(message);
            tokio::time::timeout(ANSWER_TIMEOUT, sent).await
        }
        None => return,
    };
    let now = context.now();
    let actions = match answer {
        Ok(Ok(answer)) => context
            .peers
            .view()
            .on_heartbeat_answer(now, token, &answer),
        Ok(Err(_)) | Err(_) => context.peers.view().on_timeout(now, token),
    };
    perform(&context, actions);
}

/// Asks the host `via` to probe `target` and reports the result to the view.
async fn send_probe(context: Arc<Context>, token: Token, via: Arc<str>, target: Arc<str>) {
    let answer = match control_address(&context, &via).map(|address| client(&context, address)) {
        Some(client) => {
            let sent = client.probe(target.to_string());
            tokio::time::timeout(PROBE_TIMEOUT, sent).await
        }
        None => return,
    };
    let now = context.now();
    let actions = match answer {
        Ok(Ok(reached)) => context.peers.view().on_probe_result(now, token, reached),
        Ok(Err(_)) | Err(_) => context.peers.view().on_timeout(now, token),
    };
    perform(&context, actions);
}

/// Announces the version in force to a host.
async fn send_notice(context: Arc<Context>, to: Arc<str>) {
    let message = context.peers.view().notice();
    if let Some(address) = control_address(&context, &to) {
        let client = client(&context, address);
        // The next heartbeat makes up for a lost notice.
        let _ = tokio::time::timeout(ANSWER_TIMEOUT, client.notice(message)).await;
    }
}

/// Lets waiting requests continue once the fetches that the answers of peers
/// triggered are complete.
async fn mark_fresh(context: Arc<Context>) {
    let mut fetching = context.peers.fetching.subscribe();
    // The sender lives as long as the context.
    let _ = fetching.wait_for(|fetching| !fetching.active).await;
    context.peers.fresh.send_replace(true);
}

/// Probes a host on behalf of a peer, and returns whether the host answered.
pub async fn probe_for(context: &Arc<Context>, host: &str) -> bool {
    let action = context.peers.view().on_probe_request(context.now(), host);
    let Some(Action::Heartbeat {
        token, to, message, ..
    }) = action
    else {
        return false;
    };
    let Some(address) = control_address(context, &to) else {
        return false;
    };
    let client = client(context, address);
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, client.heartbeat(message)).await;
    let now = context.now();
    let (reached, actions) = match answer {
        Ok(Ok(answer)) => (
            true,
            context
                .peers
                .view()
                .on_heartbeat_answer(now, token, &answer),
        ),
        Ok(Err(_)) | Err(_) => (false, context.peers.view().on_timeout(now, token)),
    };
    perform(context, actions);
    reached
}

/// Returns the status of each host for operators.
pub fn status(context: &Context) -> Vec<savorylane_wire::operator::Host> {
    let list = context.config.list();
    let service = |name: &str| {
        let listed = list.as_ref()?.hosts.iter().find(|host| host.name == name);
        listed.map(|host| host.service.clone())
    };
    let describe = |status: view::Status| savorylane_wire::operator::Host {
        name: status.host.to_string(),
        data_centre: status.data_centre.to_string(),
        service: service(&status.host).unwrap_or_default(),
        state: status.record.map_or("unknown".into(), |record| {
            format!("{:?}", record.state).to_lowercase()
        }),
        version: status.record.and_then(|record| record.version),
    };
    context.peers.view().status().map(describe).collect()
}
