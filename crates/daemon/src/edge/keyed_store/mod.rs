//! Edge to a platform with a keyed store, which holds the configuration and one
//! entry for each upstream.
//!
//! Only readers read the store; see [`crate::distribution`]. Entries and what
//! the operators write are watched independently, each over its own connection,
//! so that a large configuration does not delay the entry of a leaving upstream.

mod cold;
mod config;
mod entries;
mod evacuation;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use savorylane_membership::backoff::Delay;
use savorylane_platform::store::{Batch, Client, Consistency, Era, Fault, Keyspace, Update};
use tokio_util::sync::CancellationToken;

use crate::distribution::{cut_off, follow};
use crate::kernel::Context;
use crate::settings::Adapter;

/// Time for which the store holds a watch request without a change. A
/// connection that failed silently is detected after this time, and each answer
/// confirms that all changes are known.
const WATCH_TIMEOUT: Duration = Duration::from_secs(1);
/// [`WATCH_TIMEOUT`] during an outage of the store, short so that the end of
/// the outage is detected soon.
const OUTAGE_WATCH_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of reads at the start that search for hosts of the own data
/// centre.
const MAX_START_READS: usize = 6;
/// Time between two of these reads.
const START_READ_INTERVAL: Duration = Duration::from_millis(300);
/// Shortest delay before a store that did not answer is probed. The store
/// charges a tenth of a call for a probe.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Longest delay before a store that did not answer is probed.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Learns the configuration and the entries, from the store while this daemon
/// is a reader and otherwise from other daemons, until `stop`.
pub async fn run(context: Arc<Context>, stop: CancellationToken) {
    let Some(adapter) = context.settings.adapter.clone() else {
        return;
    };
    let Some(address) = context.settings.platform.first().copied() else {
        log::error!("no address of the store is configured");
        return;
    };
    let client = Client::new(address, Arc::default());
    let era = client.era();
    let reads = async {
        find_first_hosts(&context, &Client::new(address, Arc::clone(&era))).await;
        let mut reads = context.distribution.watch_reads_store();
        loop {
            // The sender lives as long as the context.
            let _ = reads.wait_for(|reads| *reads).await;
            let store = Store::new(&context, address, &era);
            tokio::select! {
                () = store.read(&adapter) => {}
                _ = reads.wait_for(|reads| !*reads) => {}
            }
        }
    };
    let removals = confirm_removals(&context, &adapter, &client);
    let follow = follow::run(Arc::clone(&context), stop.clone());
    tokio::select! {
        _ = async { tokio::join!(reads, removals, follow) } => {}
        () = stop.cancelled() => {}
    }
}

/// Searches the store for hosts of the own data centre, from one of which the
/// daemon learns everything else. The search is repeated, because in a
/// simultaneous start of all hosts daemons can run before any upstream has
/// registered.
async fn find_first_hosts(context: &Arc<Context>, client: &Client) {
    let mut locations = Vec::new();
    for attempt in 1..=MAX_START_READS {
        let consistency = match attempt {
            MAX_START_READS => Consistency::Linearizable,
            _ => Consistency::Stale,
        };
        match entries::read_locations(context, client, consistency).await {
            Ok(found) => locations = found,
            Err(fault) => {
                log::info!(
                    target: "dependency", dependency = "store", outcome = "lost";
                    "cannot read the entries of the store at the start: {fault}"
                );
                context.distribution.cut_off.on_start_without_store();
                break;
            }
        }
        if !locations.is_empty() {
            break;
        }
        tokio::time::sleep(START_READ_INTERVAL).await;
    }
    let now = context.now();
    context.distribution.update(|source| {
        source.on_hosts(&locations);
        source.start(now);
    });
    context.distribution.wake();
}

/// Probes the store whenever the host list may lack hosts that are cut off from
/// the store together with this host, such as when it lacks this host. If the
/// store does not answer, this host is cut off from it, and a removal does not
/// show that an upstream has left.
async fn confirm_removals(context: &Arc<Context>, adapter: &Adapter, client: &Client) {
    let cut_off = &context.distribution.cut_off;
    loop {
        cut_off.wait_for_suspicion().await;
        let mut delay = Delay::default();
        let mut lost = false;
        while !confirm(context, adapter, client, lost).await {
            lost = true;
            cut_off::on_store_silent(context);
            let wait = delay.next(&mut rand::rng()).min(MAX_RETRY_DELAY);
            tokio::time::sleep(wait.max(MIN_RETRY_DELAY)).await;
        }
    }
}

/// Probes the store, and reads the entries if the previous attempt failed
/// (`was_lost`). Returns whether the store answered.
async fn confirm(
    context: &Arc<Context>,
    adapter: &Adapter,
    client: &Client,
    was_lost: bool,
) -> bool {
    // Hundreds of hosts may be cut off simultaneously, and a probe costs a
    // tenth of the first page of the entries.
    if client.probe().await.is_err() {
        return false;
    }
    let read = match was_lost {
        true => read_both(client).await.map(Some),
        false => Ok(None),
    };
    let Ok(read) = read else {
        return false;
    };
    cut_off::on_store_answered(context);
    if let Some((evacuations, batch)) = read {
        let evacuations = evacuation::of_read(context.now(), &evacuations);
        entries::publish_all(context, adapter, &evacuations, batch);
    }
    true
}

/// Reads the evacuations and then the entries.
///
/// # Errors
///
/// Returns the [`Fault`] of the first read that failed.
async fn read_both(client: &Client) -> Result<(Batch, Batch), Fault> {
    let evacuations = client.read(Keyspace::Evacuations).await?;
    let entries = client.read(Keyspace::Entries).await?;
    let known = evacuations.revision;
    Ok((evacuations, entries.at_least(known)?))
}

/// Part of the store's content that a reader follows over its own connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Part {
    /// The configuration and the evacuations.
    Operator,
    /// The entries of upstreams.
    Entries,
}

/// A reader's access to the store.
struct Store {
    context: Arc<Context>,
    /// Client for the entries, with its own connection.
    entries: Client,
    /// Client for the configuration and the evacuations, with its own
    /// connection.
    config: Client,
    evacuations: evacuation::Shared,
    /// Time up to which all changes of each part are known, in milliseconds of
    /// [`Context::now`]; 0 while calls about the part fail.
    complete_ms: [AtomicU64; 2],
    /// Time at which the store last answered a probe.
    probed_at: tokio::sync::Mutex<Duration>,
}

impl Store {
    fn new(context: &Arc<Context>, address: SocketAddr, era: &Arc<Era>) -> Self {
        Self {
            context: Arc::clone(context),
            entries: Client::new(address, Arc::clone(era)),
            config: Client::new(address, Arc::clone(era)),
            evacuations: evacuation::Shared::seeded(context),
            complete_ms: Default::default(),
            probed_at: tokio::sync::Mutex::default(),
        }
    }

    /// Watches both parts after the store has answered a probe. The probe comes
    /// first because during an outage one daemon after the other becomes a
    /// reader.
    async fn read(&self, adapter: &Adapter) {
        if let Err(fault) = self.entries.probe().await {
            let mut delay = Delay::default();
            self.await_recovery(Part::Entries, &fault, &mut delay).await;
        }
        let mut entries = entries::Follower::new(self, adapter);
        let mut config = config::Follower::new(self, adapter);
        tokio::join!(entries.follow(), config.follow());
    }

    /// Returns the time for which the store may hold a watch request.
    fn watch_timeout(&self) -> Duration {
        match self.context.distribution.store_lost_ms(self.context.now()) {
            0 => WATCH_TIMEOUT,
            _ => OUTAGE_WATCH_TIMEOUT,
        }
    }

    /// Records that all changes of a part are known up to now. Returns whether
    /// this ended an outage of the store.
    fn on_answer(&self, part: Part) -> bool {
        let now = self.context.now();
        let now_ms = (now.as_millis() as u64).max(1);
        self.complete_ms[part as usize].store(now_ms, Ordering::Relaxed);
        let [operator, entries] = &self.complete_ms;
        let complete_ms = operator
            .load(Ordering::Relaxed)
            .min(entries.load(Ordering::Relaxed));
        if complete_ms == 0 {
            return false;
        }
        let distribution = &self.context.distribution;
        distribution.confirm(Duration::from_millis(complete_ms));
        let Some(away_ms) = distribution.on_store_answered(now) else {
            return false;
        };
        log::info!(
            target: "dependency", dependency = "store", outcome = "regained", away_ms = away_ms;
            "the store answers again"
        );
        true
    }

    /// Records that a call about a part failed, and waits until the store
    /// answers a probe.
    async fn await_recovery(&self, part: Part, fault: &Fault, delay: &mut Delay) {
        self.complete_ms[part as usize].store(0, Ordering::Relaxed);
        if self.context.distribution.on_store_lost(self.context.now()) {
            log::warn!(target: "dependency", dependency = "store", outcome = "lost"; "call to the store failed: {fault}");
        }
        // The lock lets only one part probe, on behalf of both.
        let failed_at = self.context.now();
        let mut probed_at = self.probed_at.lock().await;
        while *probed_at <= failed_at {
            // The thread-local random number generator must not be held across
            // an await.
            let wait = delay.next(&mut rand::rng()).min(MAX_RETRY_DELAY);
            tokio::time::sleep(wait.max(MIN_RETRY_DELAY)).await;
            if self.entries.probe().await.is_ok() {
                *probed_at = self.context.now();
            }
        }
    }
}

/// Logs an answer of the store that contains changes.
fn log_batch(batch: &Batch) {
    if batch.changes.is_empty() {
        return;
    }
    let count = |is_counted: fn(&Update) -> bool| {
        let changes = batch.changes.iter();
        changes.filter(|change| is_counted(&change.update)).count() as u64
    };
    let versions = count(|update| matches!(update, Update::Config(_)));
    let entries = count(|update| matches!(update, Update::Entry(..) | Update::Removed(_)));
    let to_ms = |time: Duration| time.as_millis() as u64;
    let transfer = &batch.transfer;
    log::info!(
        target: "store",
        event = "read", revision = batch.revision, versions = versions,
        entries = entries, bytes = transfer.bytes as u64,
        waited_ms = to_ms(transfer.head_time), passed_ms = to_ms(transfer.body_time),
        decoded_ms = to_ms(transfer.decode_time);
        "received changes from the store"
    );
}
