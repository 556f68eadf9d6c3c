//! Drives the membership view: gives it time and messages, and carries out
//! what it asks for.

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

/// Longest time that a request waits for the refresh after a pause.
pub const REFRESH_TIMEOUT: Duration = Duration::from_secs(1);

/// The membership view and what the request path needs of it.
#[derive(Debug)]
pub struct Peers {
    view: Mutex<View>,
    /// Hosts that get no new work, replaced on each change.
    unroutable: ArcSwap<HashSet<String>>,
    /// Whether this daemon reads the platform.
    is_reader: watch::Sender<bool>,
    /// Whether what this daemon knows is current; false after a pause.
    fresh: watch::Sender<bool>,
    /// Set when the peers that were asked at the start have answered, with the
    /// number of answers.
    start_query: watch::Sender<Option<usize>>,
    /// Time of the last tick, milliseconds of `Context::now`.
    ticked_ms: AtomicU64,
    /// The same by the wall clock, which goes on while a virtual machine is
    /// suspended.
    ticked_wall_ms: AtomicU64,
    fetching: watch::Sender<Fetching>,
    fetching_host_list: AtomicBool,
}

/// Fetch of a document that is under way.
#[derive(Debug, Default)]
struct Fetching {
    active: bool,
    /// Host with the greatest version that was announced since the fetch began.
    next: Option<(Arc<str>, Version)>,
}

impl Peers {
    /// Creates the view of the daemon on `own`.
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

    /// Returns the view.
    pub fn view(&self) -> MutexGuard<'_, View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Says whether new work may be sent to a host.
    pub fn is_routable(&self, host: &str) -> bool {
        !self.unroutable.load().contains(host)
    }

    /// Returns a receiver that is told when this daemon becomes a reader.
    pub fn watch_reader(&self) -> watch::Receiver<bool> {
        self.is_reader.subscribe()
    }

    /// Returns a receiver that is told when the peers that were asked at the
    /// start have answered.
    pub fn watch_start_query(&self) -> watch::Receiver<Option<usize>> {
        self.start_query.subscribe()
    }

    /// Returns the time since the last tick, by the clock that tells more.
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

/// Ticks the view until `stop`, and tells it of changes in force.
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

/// Notices a pause of the process before anything is decided on what was known
/// before it: a request can be the first thing that runs after the pause.
pub fn detect_pause(context: &Arc<Context>) {
    let peers = &context.peers;
    if peers.time_since_tick(context.now()) > PAUSE_THRESHOLD {
        tick(context);
    }
}

/// Waits, for a bounded time, until what this daemon knows is current. Called
/// before a request is routed.
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
        log::warn!("no peer confirmed the version after a pause; going on with what is known");
        peers.fresh.send_replace(true);
    }
}

fn tick(context: &Arc<Context>) {
    let now = context.now();
    let peers = &context.peers;
    let ms = now.as_millis() as u64;
    // After a pause, requests of other threads must wait, and claims of keys
    // find no evidence, from the moment at which the new time of the tick hides
    // the gap from them. The view notices a pause by its own clock only, which
    // can have stood still with the process.
    if peers.time_since_tick(now) > PAUSE_THRESHOLD {
        peers.fresh.send_replace(false);
        context.rings.on_pause(now);
    }
    peers.ticked_wall_ms.store(wall_ms(), Ordering::Release);
    peers.ticked_ms.store(ms, Ordering::Release);
    let actions = peers.view().on_tick(now);
    perform(context, actions);
}

/// Reports to the view what is in force.
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

/// Announces that this host leaves.
pub fn leave(context: &Arc<Context>) {
    let actions = context.peers.view().leave(context.now());
    perform(context, actions);
}

/// Takes a failed connection of the request path.
pub fn on_connect_failed(context: &Arc<Context>, host: &str) {
    let actions = context.peers.view().on_connect_failed(context.now(), host);
    perform(context, actions);
}

/// Takes an answer of the request path after a failure.
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

/// Carries out what the view asks for.
pub fn perform(context: &Arc<Context>, actions: Vec<Action>) {
    // The fetch that an answer leads to begins before the answer counts.
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
        Action::State { host, state } => log::info!("host {host} is {state:?}"),
        Action::Reader(reader) => {
            log::info!("this daemon reads the platform: {reader}");
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
            log::error!("a newer run of this host serves: {by}");
            context.leave("replaced");
        }
    }
}

/// Returns the control address of a host.
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

async fn send_notice(context: Arc<Context>, to: Arc<str>) {
    let message = context.peers.view().notice();
    if let Some(address) = control_address(&context, &to) {
        let client = client(&context, address);
        // A lost notice is repaired by the next heartbeat.
        let _ = tokio::time::timeout(ANSWER_TIMEOUT, client.notice(message)).await;
    }
}

/// Lets requests go on when the versions that the asked peers announced are in
/// force.
async fn mark_fresh(context: Arc<Context>) {
    let mut fetching = context.peers.fetching.subscribe();
    // The sender lives as long as the context.
    let _ = fetching.wait_for(|fetching| !fetching.active).await;
    context.peers.fresh.send_replace(true);
}

/// Tries a host on behalf of a peer.
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

/// Returns what an operator is told of each host.
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
