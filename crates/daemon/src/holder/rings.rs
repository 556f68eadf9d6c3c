//! Rings and leases of this daemon: queries the members of its rings
//! periodically and renews the leases with their confirmations.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use savorylane_intent::Snapshot;
use savorylane_ledger::{Lease, Settings, ring};
use savorylane_wire::control::ring::{Confirmation, Query};
use savorylane_wire::control::{Ring, Scope, Sender};
use savorylane_wire::rpc::ControlClient;
use tokio_util::sync::CancellationToken;

use super::Reading;
use super::runs::wall_ms;
use crate::edge::control::client;
use crate::kernel::Context;
use crate::peers::control_address;

/// Time between two evaluations of the leases.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Ticks between two rounds of queries: one round in 2 s, so that three rounds
/// are sent while a confirmation is valid.
const TICKS_PER_ROUND: u32 = 20;
/// Ticks between two rounds of queries while a lease of this daemon is not
/// active.
const TICKS_PER_INACTIVE_ROUND: u32 = 5;
/// Validity of a member's confirmation. A longer validity needs fewer queries,
/// but a new holder has to wait longer.
pub const LEASE_DURATION: Duration = Duration::from_secs(6);
/// Timeout of a query of a member.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Rings by scope, computed from the newest host list.
type Computed = HashMap<Scope, Arc<Ring>>;

/// Leases of this daemon, rings of the host list in force, and readings of the
/// holders' clocks.
#[derive(Debug)]
pub struct Rings {
    settings: Settings,
    me: Sender,
    leases: Mutex<BTreeMap<Scope, Lease>>,
    computed: ArcSwap<Computed>,
    clocks: Mutex<HashMap<String, Reading>>,
    /// Latest confirmations by host and scope.
    cached: Mutex<HashMap<(String, Scope), Cached>>,
}

/// Latest confirmation by a member, with its digest.
#[derive(Clone, Debug)]
struct Cached {
    digest: String,
    confirmation: Confirmation,
}

/// Returns the digest of a confirmation: 128 bits, which is enough for the few
/// confirmations that one member has in force. The digest omits the
/// uptime, which changes continuously. Reusing a confirmation with an earlier
/// uptime is safe, since it claims less.
fn digest(confirmation: &Confirmation) -> String {
    let without_uptime = Confirmation {
        uptime_ms: 0,
        ..confirmation.clone()
    };
    let json = serde_json::to_vec(&without_uptime).unwrap_or_default();
    blake3::hash(&json).to_hex()[..32].to_owned()
}

impl Rings {
    /// Creates the state of the daemon `me`, which has no leases yet.
    pub fn new(settings: Settings, me: Sender) -> Self {
        Self {
            settings,
            me,
            leases: Mutex::default(),
            computed: ArcSwap::default(),
            clocks: Mutex::default(),
            cached: Mutex::default(),
        }
    }

    /// Returns the ring of `scope` according to the snapshot's host list.
    pub fn ring(&self, snapshot: &Snapshot, scope: Scope) -> Arc<Ring> {
        if let Some(ring) = self.computed.load().get(&scope)
            && ring.number == snapshot.list.number
        {
            return Arc::clone(ring);
        }
        let ring = Arc::new(ring::compute(&snapshot.list, &scope));
        self.computed.rcu(|computed| {
            let mut computed = HashMap::clone(computed);
            computed.retain(|_, known| known.number >= ring.number);
            computed.insert(scope.clone(), Arc::clone(&ring));
            computed
        });
        ring
    }

    /// Calls `use_lease` with the lease of `scope` and returns its result, or
    /// `None` if there is no lease.
    pub fn with_lease<T>(&self, scope: &Scope, use_lease: impl FnOnce(&Lease) -> T) -> Option<T> {
        self.lock().get(scope).map(use_lease)
    }

    /// Returns the last reading of a host's clock.
    pub fn clock(&self, host: &str) -> Option<Reading> {
        let clocks = self.clocks.lock();
        let clocks = clocks.unwrap_or_else(PoisonError::into_inner);
        clocks.get(host).copied()
    }

    /// Stores a reading of a host's clock.
    pub fn store_clock(&self, host: &str, reading: Reading) {
        let clocks = self.clocks.lock();
        let mut clocks = clocks.unwrap_or_else(PoisonError::into_inner);
        clocks.insert(host.to_owned(), reading);
    }

    /// Answers a member's query. Scopes without a lease at this daemon are
    /// omitted.
    pub fn answer_query(&self, now: Duration, query: &Query) -> Vec<Confirmation> {
        let leases = self.lock();
        let scopes = query.scopes.iter();
        scopes
            .filter_map(|scope| Some(leases.get(scope)?.confirmation(now)))
            .collect()
    }

    /// Returns for each digest whether the confirmation with that digest is
    /// still in force.
    pub fn confirm_digests(&self, now: Duration, digests: &[String]) -> Vec<bool> {
        let leases = self.lock();
        let is_member = |lease: &&Lease| lease.ring().members.contains(&self.me.host);
        let own = leases.values().filter(is_member);
        let valid: Vec<String> = own.map(|lease| digest(&lease.confirmation(now))).collect();
        digests
            .iter()
            .map(|digest| valid.contains(digest))
            .collect()
    }

    /// Invalidates all confirmations after a pause of the process.
    pub fn on_pause(&self, now: Duration) {
        for lease in self.lock().values_mut() {
            lease.on_pause(now, wall_ms());
        }
    }

    /// Adopts the rings of a snapshot. A scope that is added later in a run
    /// never counts as a first start, since other daemons may have served it.
    fn on_snapshot(&self, now: Duration, snapshot: &Snapshot) {
        let mut leases = self.lock();
        let settings = Settings {
            first_start: self.settings.first_start && leases.is_empty(),
            ..self.settings
        };
        for scope in scopes(snapshot) {
            let ring = ring::compute(&snapshot.list, &scope);
            match leases.get_mut(&scope) {
                Some(lease) => lease.on_ring(now, wall_ms(), ring),
                None => {
                    let lease = Lease::new(settings, self.me.clone(), now, wall_ms(), ring);
                    leases.insert(scope, lease);
                }
            }
        }
    }

    /// Returns whether this daemon may act as a holder in all rings that it is
    /// a member of.
    fn all_active(&self, now: Duration) -> bool {
        let leases = self.lock();
        let is_member = |lease: &&Lease| lease.ring().members.contains(&self.me.host);
        leases
            .values()
            .filter(is_member)
            .all(|lease| lease.activation(now).is_some())
    }

    fn on_tick(&self, now: Duration) {
        for lease in self.lock().values_mut() {
            lease.on_tick(now, wall_ms());
        }
    }

    /// Returns the hosts to query, with the scopes to query about. A daemon
    /// needs confirmations only for the rings that it is a member of.
    fn queries(&self) -> BTreeMap<String, Vec<Scope>> {
        let mut queries: BTreeMap<String, Vec<Scope>> = BTreeMap::new();
        for (scope, lease) in self.lock().iter() {
            if !lease.ring().members.contains(&self.me.host) {
                continue;
            }
            for peer in lease.peers() {
                queries
                    .entry(peer.to_owned())
                    .or_default()
                    .push(scope.clone());
            }
        }
        queries
    }

    /// Records a confirmation that answers a query sent at `asked_at`.
    fn on_confirmation(&self, now: Duration, answer: &Confirmation, asked_at: Duration) {
        if let Some(lease) = self.lock().get_mut(&answer.ring.scope) {
            lease.on_confirmation(now, wall_ms(), answer, asked_at);
        }
    }

    /// Returns the latest confirmations of `host` for `scopes`.
    fn cached(&self, host: &str, scopes: &[Scope]) -> Vec<Cached> {
        let cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        let key = |scope: &Scope| (host.to_owned(), scope.clone());
        let found = scopes.iter().filter_map(|scope| cached.get(&key(scope)));
        found.cloned().collect()
    }

    /// Caches the latest confirmation by `host`.
    fn cache(&self, host: &str, confirmation: &Confirmation) {
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        let key = (host.to_owned(), confirmation.ring.scope.clone());
        let entry = Cached {
            digest: digest(confirmation),
            confirmation: confirmation.clone(),
        };
        cached.insert(key, entry);
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Scope, Lease>> {
        self.leases.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the scopes of the snapshot in which daemons can hold keys.
fn scopes(snapshot: &Snapshot) -> BTreeSet<Scope> {
    let keyed = snapshot
        .document
        .classes
        .iter()
        .filter(|class| !class.idempotent);
    let services: BTreeSet<&String> = keyed.map(|class| &class.service).collect();
    let hosts = snapshot.list.hosts.iter();
    let regions: BTreeSet<&String> = hosts.map(|host| &host.region).collect();
    let mut scopes = BTreeSet::new();
    for service in services {
        let homes = regions.iter().map(|region| Some((*region).clone()));
        for home in std::iter::once(None).chain(homes) {
            scopes.insert(Scope {
                service: service.clone(),
                home,
            });
        }
    }
    scopes
}

/// Renews the leases until `stop` is cancelled.
pub async fn run(context: Arc<Context>, stop: CancellationToken) {
    let mut current = context.config.subscribe();
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut round = 0;
    loop {
        tokio::select! {
            changed = current.changed() => {
                if changed.is_err() {
                    return;
                }
                if let Some(snapshot) = context.config.snapshot()
                    && snapshot.list.number > 0
                {
                    context.rings.on_snapshot(context.now(), &snapshot);
                    query_members(&context);
                }
            }
            _ = ticks.tick() => {
                context.rings.on_tick(context.now());
                round += 1;
                let all_active = context.rings.all_active(context.now());
                if round >= if all_active { TICKS_PER_ROUND } else { TICKS_PER_INACTIVE_ROUND } {
                    round = 0;
                    query_members(&context);
                }
            }
            () = stop.cancelled() => return,
        }
    }
}

/// Queries the other members of the rings that this daemon is a member of.
fn query_members(context: &Arc<Context>) {
    for (host, scopes) in context.rings.queries() {
        let context = Arc::clone(context);
        tokio::spawn(async move { query_member(&context, &host, scopes).await });
    }
}

/// Queries one member: first whether its cached confirmations are still in
/// force, then for the scopes without one.
async fn query_member(context: &Arc<Context>, host: &str, mut scopes: Vec<Scope>) {
    let Some(address) = control_address(context, host) else {
        return;
    };
    let client = client(context, address);
    let cached = context.rings.cached(host, &scopes);
    if !cached.is_empty() {
        // The validity of a confirmation counts from before the query was sent.
        let asked_at = context.now();
        let digests = cached.iter().map(|cached| cached.digest.clone()).collect();
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, client.confirm(digests)).await;
        let Ok(Ok(valid)) = answer else {
            return;
        };
        for (cached, valid) in cached.iter().zip(valid) {
            if valid {
                let confirmation = &cached.confirmation;
                context
                    .rings
                    .on_confirmation(context.now(), confirmation, asked_at);
                scopes.retain(|scope| *scope != confirmation.ring.scope);
            }
        }
    }
    if scopes.is_empty() {
        return;
    }
    let asked_at = context.now();
    let query = Query {
        from: context.rings.me.clone(),
        scopes,
    };
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, client.ring(query)).await;
    let Ok(Ok(answers)) = answer else {
        return;
    };
    for answer in &answers {
        context.rings.cache(host, answer);
        context
            .rings
            .on_confirmation(context.now(), answer, asked_at);
    }
}
