//! Follower of the upstreams' entries in the store.

use std::net::SocketAddr;
use std::time::Duration;

use savorylane_distribution::age::{STALE_AFTER, leases_may_have_lapsed};
use savorylane_distribution::source::Location;
use savorylane_intent::evacuation::Evacuations;
use savorylane_intent::hosts::{Host, List};
use savorylane_intent::registry::{self, Instance, Registry};
use savorylane_intent::revision;
use savorylane_membership::backoff::Delay;
use savorylane_platform::entry;
use savorylane_platform::store::{Batch, Client, Consistency, Fault, Keyspace, Update};
use savorylane_policy::cold::Periods;

use super::{Part, Store, cold, log_batch};
use crate::config::PLATFORM_SOURCE;
use crate::decisions::{self, Kind};
use crate::distribution;
use crate::kernel::Context;
use crate::settings::Adapter;

/// Time between the answer of a watch and the next watch, so that a series of
/// changes is read in batches.
const BATCH_INTERVAL: Duration = Duration::from_millis(250);
/// Region of a data centre that the setting `--regions` does not list.
const UNKNOWN_REGION: &str = "unknown";

/// Reads the entries from the store and puts them in force as host lists.
pub(super) struct Follower<'a> {
    store: &'a Store,
    adapter: &'a Adapter,
    registry: Registry,
    cold_periods: Periods,
    delay: Delay,
    /// Whether hosts that the first read does not list may have lapsed in an
    /// outage of the store.
    may_have_lapsed: bool,
    /// Whether all evacuations were read. Those of data centres without a listed
    /// host are not in any list.
    knows_evacuations: bool,
}

impl<'a> Follower<'a> {
    /// Returns a follower that starts from the hosts of the known list.
    pub(super) fn new(store: &'a Store, adapter: &'a Adapter) -> Self {
        let context = &store.context;
        let age = context.distribution.age.at(context.now());
        Self {
            store,
            adapter,
            registry: seeded_registry(context),
            cold_periods: Periods::default(),
            delay: Delay::default(),
            may_have_lapsed: age.is_some_and(|age| age > STALE_AFTER),
            knows_evacuations: false,
        }
    }

    /// Reads all entries and then watches for changes. Starts over when the
    /// store has compacted the history or came back from an older copy.
    pub(super) async fn follow(&mut self) {
        loop {
            match self.read_all().await {
                Ok(batch) => self.apply_full(batch),
                Err(fault) => {
                    self.await_recovery(&fault).await;
                    continue;
                }
            }
            while self.watch().await {}
        }
    }

    /// Reads all entries. The first read is preceded by one of the evacuations,
    /// so that no list comes into force without them.
    async fn read_all(&mut self) -> Result<Batch, Fault> {
        let (client, known) = (&self.store.entries, self.registry.revision());
        if !self.knows_evacuations {
            let batch = client.read(Keyspace::Evacuations).await?;
            let batch = batch.at_least(known)?;
            let evacuations = &self.store.evacuations;
            evacuations.apply_full(self.now(), self.adapter, &batch);
            self.knows_evacuations = true;
        }
        client.read(Keyspace::Entries).await?.at_least(known)
    }

    /// Performs one watch. Returns `false` if all entries must be read again,
    /// because the store has compacted the history or came back from an older
    /// copy.
    async fn watch(&mut self) -> bool {
        let now = self.store.context.now();
        let next_expiry = self.registry.next_expiry();
        let wait = self.store.watch_timeout();
        let wait = next_expiry.map_or(wait, |at| at.saturating_sub(now).min(wait));
        let after = self.registry.revision();
        let store = self.store;
        let watch = store.entries.watch(Keyspace::Entries, after, wait);
        tokio::pin!(watch);
        let watched = loop {
            tokio::select! {
                watched = &mut watch => break watched,
                () = store.evacuations.changed() => self.publish_known(),
            }
        };
        match watched.and_then(|batch| batch.at_least(after)) {
            Ok(batch) => {
                let changed = !batch.changes.is_empty();
                self.apply_changes(batch);
                if changed || next_expiry.is_some() {
                    tokio::time::sleep(BATCH_INTERVAL).await;
                }
            }
            Err(fault @ (Fault::Compacted | Fault::Restored { .. })) => {
                log::info!("reading all entries again: {fault}");
                return false;
            }
            Err(fault) => self.await_recovery(&fault).await,
        }
        true
    }

    async fn await_recovery(&mut self, fault: &Fault) {
        self.store
            .await_recovery(Part::Entries, fault, &mut self.delay)
            .await;
    }

    /// Records that the store answered, before the answer is applied. Starts
    /// the grace period if leases may have lapsed in an outage.
    fn on_answer(&mut self) {
        self.delay.reset();
        let now = self.now();
        let distribution = &self.store.context.distribution;
        let lost = Duration::from_millis(distribution.store_lost_ms(now));
        let lapsed = !lost.is_zero() && leases_may_have_lapsed(distribution.age.at(now), lost);
        if std::mem::take(&mut self.may_have_lapsed) || lapsed {
            self.registry.start_grace_period(now);
        }
    }

    fn now(&self) -> Duration {
        self.store.context.now()
    }

    /// Applies an answer that contains all entries.
    fn apply_full(&mut self, batch: Batch) {
        self.on_answer();
        let ids = listed_ids(&batch);
        self.registry.reconcile(self.now(), batch.revision, &ids);
        self.publish_batch(batch);
    }

    /// Applies the answer of a watch.
    fn apply_changes(&mut self, batch: Batch) {
        self.on_answer();
        self.publish_batch(batch);
    }

    fn publish_batch(&mut self, batch: Batch) {
        log_batch(&batch);
        let at = batch.revision;
        let batch = cold::limit(&self.store.context, &mut self.cold_periods, batch);
        record_changes(&self.store.context, self.adapter, &mut self.registry, batch);
        self.publish_at(at);
        self.store.on_answer(Part::Entries);
    }

    /// Puts the known entries in force again, since the evacuations changed.
    fn publish_known(&mut self) {
        self.publish_at(self.registry.revision());
    }

    /// Puts the entries, of which all changes up to the revision `at` are known,
    /// in force with the evacuations.
    fn publish_at(&mut self, at: u64) {
        let now = self.now();
        let evacuations = self.store.evacuations.at(now, &self.store.context);
        let registry = &mut self.registry;
        let number = registry.advance_with(now, at, evacuations.changed_at());
        let context = &self.store.context;
        publish(context, self.adapter, registry, &evacuations, number);
    }
}

/// Returns a registry of the known list, which remembers the upstreams of the
/// lists before it.
fn seeded_registry(context: &Context) -> Registry {
    let listed = context.config.platform_list();
    let list = listed.map(|listed| listed.list).unwrap_or_default();
    let port = context.settings.upstream.port();
    let instances = list.hosts.iter();
    let instances = instances
        .filter_map(|host| instance_of(host, port))
        .collect();
    let mut registry = Registry::seeded(list.number, instances).with_port(port);
    registry.remember_departed(context.now(), context.config.departed_instances());
    registry
}

/// Returns the ids of the entries of a complete read.
fn listed_ids(batch: &Batch) -> Vec<&str> {
    let changes = batch.changes.iter();
    changes
        .filter_map(|change| match &change.update {
            Update::Entry(id, _) => Some(id.as_str()),
            _ => None,
        })
        .collect()
}

/// Records the changes of a batch in the registry.
fn record_changes(context: &Context, adapter: &Adapter, registry: &mut Registry, batch: Batch) {
    for change in batch.changes {
        match change.update {
            Update::Entry(id, decoded) => {
                let instance = accept(context, adapter, &id, decoded);
                registry.put(change.revision, &id, instance);
            }
            Update::Removed(id) => registry.remove(context.now(), change.revision, &id),
            Update::Config(_) | Update::Evacuated(_) | Update::Reopened(_) => {}
        }
    }
}

/// Returns the upstream of an entry that a host list may contain. Any other
/// entry is ignored alone, with a line and a count.
///
/// What passes here passes the checks of all other daemons, so that a list with
/// it is in force everywhere or nowhere.
fn accept(
    context: &Context,
    adapter: &Adapter,
    id: &str,
    decoded: Result<Instance, entry::Fault>,
) -> Option<Instance> {
    let reason = match decoded {
        Ok(instance) => match host_of(context, adapter, &instance).check(id) {
            Ok(()) => return Some(instance),
            Err(fault) => fault.to_string(),
        },
        Err(fault) => fault.to_string(),
    };
    context.metrics.count_ignored_host("store");
    if context.decisions.allow(Kind::HostIgnored, context.now()) {
        decisions::log_ignored_host("store", id, &reason);
    }
    None
}

/// Reads entries page by page until one of the own data centre is found, and
/// returns the locations of their hosts. Returns an empty list if no host is in
/// the own data centre. The locations are used to find other daemons; the hosts
/// may have left.
///
/// # Errors
///
/// Returns the [`Fault`] for which the entries could not be read.
pub(super) async fn read_locations(
    context: &Context,
    client: &Client,
    consistency: Consistency,
) -> Result<Vec<Location>, Fault> {
    let own = context.settings.data_centre.as_str();
    let mut locations: Vec<Location> = Vec::new();
    let mut after = String::new();
    loop {
        let page = client.page(Keyspace::Entries, &after, consistency).await?;
        let entries = page.changes.iter();
        locations.extend(entries.filter_map(|change| match &change.update {
            Update::Entry(_, Ok(instance)) => Some(location(context, instance)),
            _ => None,
        }));
        if locations
            .iter()
            .any(|location| *location.data_centre == *own)
        {
            return Ok(locations);
        }
        match page.next {
            Some(key) => after = key,
            None => return Ok(Vec::new()),
        }
    }
}

/// Returns the location of an upstream's host.
fn location(context: &Context, instance: &Instance) -> Location {
    let adapter = context.settings.adapter.as_ref();
    let region = adapter.and_then(|adapter| adapter.regions.get(&instance.data_centre));
    Location {
        name: instance.address.ip().to_string().into(),
        data_centre: instance.data_centre.as_str().into(),
        region: region.map_or(UNKNOWN_REGION, String::as_str).into(),
    }
}

/// Puts the entries of a complete read in force as a host list, with the
/// evacuations of a read before it.
pub(super) fn publish_all(
    context: &Context,
    adapter: &Adapter,
    evacuations: &Evacuations,
    batch: Batch,
) {
    let at = batch.revision;
    let batch = cold::limit(context, &mut Periods::default(), batch);
    let known = context.config.platform_list();
    let known_era = known.map_or(0, |known| era_of_list(known.list.number));
    let mut registry = Registry::default().with_port(context.settings.upstream.port());
    if revision::era(at) > known_era {
        registry = seeded_registry(context);
        registry.reconcile(context.now(), at, &listed_ids(&batch));
    }
    record_changes(context, adapter, &mut registry, batch);
    let number = registry.advance(context.now(), at);
    publish(context, adapter, &registry, evacuations, number);
}

/// Puts the entries in force as a host list, if they differ from the known list
/// or if that is of an earlier era of the store.
fn publish(
    context: &Context,
    adapter: &Adapter,
    registry: &Registry,
    evacuations: &Evacuations,
    number: u64,
) {
    let mut hosts: Vec<Host> = registry
        .instances()
        .into_iter()
        .map(|instance| Host {
            lapsed: registry.is_lapsed(&instance.id),
            evacuated: evacuations.contains(&instance.data_centre),
            ..host_of(context, adapter, instance)
        })
        .collect();
    hosts.sort_by(|a, b| a.name.cmp(&b.name));
    let known = context.config.platform_list();
    if known.is_some_and(|known| {
        known.list.hosts == hosts && era_of_list(known.list.number) == era_of_list(number)
    }) {
        return;
    }
    let list = List { number, hosts };
    distribution::offer_host_list(context, list, PLATFORM_SOURCE);
}

/// Returns the era of the store from which a list was made.
fn era_of_list(number: u64) -> u64 {
    revision::era(registry::revision_of(number))
}

/// Returns the host of an upstream. The daemons use the same ports on all
/// hosts, and the upstream has the IP address of its host.
fn host_of(context: &Context, adapter: &Adapter, instance: &Instance) -> Host {
    let settings = &context.settings;
    let on_host = |own: SocketAddr| SocketAddr::new(instance.address.ip(), own.port());
    let region = adapter.regions.get(&instance.data_centre);
    Host {
        name: instance.address.ip().to_string(),
        region: region.cloned().unwrap_or_else(|| UNKNOWN_REGION.into()),
        data_centre: instance.data_centre.clone(),
        service: instance.service.clone(),
        entry: on_host(settings.entry),
        data: on_host(settings.data),
        control: on_host(settings.control),
        operator: on_host(settings.operator),
        state: instance.state,
        instance: Some(instance.id.clone()),
        slots: Some(instance.slots),
        lapsed: false,
        evacuated: false,
        cold_ms: instance.warm_up.as_millis() as u32,
    }
}

/// Returns the upstream of a listed host, at the port `port`, if the list
/// describes it.
fn instance_of(host: &Host, port: u16) -> Option<Instance> {
    Some(Instance {
        id: host.instance.clone()?,
        address: SocketAddr::new(host.data.ip(), port),
        service: host.service.clone(),
        data_centre: host.data_centre.clone(),
        slots: host.slots?,
        state: host.state,
        warm_up: Duration::from_millis(host.cold_ms.into()),
        started_ms: 0,
    })
}
