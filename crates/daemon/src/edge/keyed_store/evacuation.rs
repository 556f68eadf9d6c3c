//! Evacuated data centres as this reader knows them. The follower of the
//! operators' items learns of them, and the follower of the entries marks the
//! hosts in its lists.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use savorylane_distribution::age::STALE_AFTER;
use savorylane_intent::evacuation::Evacuations;
use savorylane_intent::registry;
use savorylane_platform::store::{Batch, Update};
use tokio::sync::Notify;

use crate::kernel::Context;
use crate::settings::Adapter;

/// Evacuations that the followers of a reader share.
#[derive(Debug)]
pub(super) struct Shared {
    known: Mutex<Evacuations>,
    /// Notified when an evacuation begins or ends.
    changed: Notify,
    /// Time at which all evacuations were last known, in milliseconds of
    /// [`Context::now`]; 0 while calls about them fail.
    confirmed_ms: AtomicU64,
}

impl Shared {
    /// Returns the evacuations that the known host list shows.
    pub(super) fn seeded(context: &Context) -> Self {
        let listed = context.config.platform_list();
        let list = listed.map(|listed| listed.list).unwrap_or_default();
        let evacuated = list.hosts.iter().filter(|host| host.evacuated);
        let data_centres = evacuated.map(|host| host.data_centre.as_str());
        let revision = registry::revision_of(list.number);
        Self {
            known: Mutex::new(Evacuations::seeded(revision, data_centres)),
            changed: Notify::new(),
            confirmed_ms: AtomicU64::new(0),
        }
    }

    /// Returns the evacuations that hold at `now`. While the operators' items
    /// are not known to be current, those of the list in force hold as well:
    /// another reader may have learned of them.
    pub(super) fn at(&self, now: Duration, context: &Context) -> Evacuations {
        let mut known = self.lock();
        known.expire(now);
        let mut evacuations = known.clone();
        drop(known);
        if !self.is_current(now) {
            let list = context.config.list().unwrap_or_default();
            let evacuated = list.hosts.iter().filter(|host| host.evacuated);
            evacuations.assume(evacuated.map(|host| host.data_centre.as_str()));
        }
        evacuations
    }

    /// Records that a call about the evacuations failed.
    pub(super) fn on_lost(&self) {
        self.confirmed_ms.store(0, Ordering::Relaxed);
    }

    /// Records that all evacuations are known at `now`. Returns whether they
    /// were not known to be current before.
    fn confirm(&self, now: Duration) -> bool {
        let was_current = self.is_current(now);
        let now_ms = (now.as_millis() as u64).max(1);
        self.confirmed_ms.store(now_ms, Ordering::Relaxed);
        !was_current
    }

    fn is_current(&self, now: Duration) -> bool {
        let confirmed_ms = self.confirmed_ms.load(Ordering::Relaxed);
        let age = now.saturating_sub(Duration::from_millis(confirmed_ms));
        confirmed_ms != 0 && age <= STALE_AFTER
    }

    /// Waits until an evacuation begins or ends.
    pub(super) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Wakes the receiver of [`changed`](Self::changed).
    pub(super) fn notify(&self) {
        self.changed.notify_one();
    }

    /// Applies an answer that contains all evacuations. Returns whether the
    /// hosts must be marked anew.
    pub(super) fn apply_full(&self, now: Duration, adapter: &Adapter, batch: &Batch) -> bool {
        let mut known = self.lock();
        let changed = reconcile(&mut known, now, batch);
        if changed {
            log_unknown(adapter, &known);
        }
        self.confirm(now) || changed
    }

    /// Applies the answer of a watch. Returns whether the hosts must be marked
    /// anew.
    pub(super) fn apply_changes(&self, now: Duration, adapter: &Adapter, batch: &Batch) -> bool {
        let mut known = self.lock();
        let mut changed = false;
        for change in &batch.changes {
            let (data_centre, active) = match &change.update {
                Update::Evacuated(data_centre) => (data_centre, true),
                Update::Reopened(data_centre) => (data_centre, false),
                _ => continue,
            };
            changed |= known.record(change.revision, data_centre, active);
        }
        if changed {
            log_unknown(adapter, &known);
        }
        self.confirm(now) || changed
    }

    fn lock(&self) -> MutexGuard<'_, Evacuations> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Logs the evacuated data centres that the settings do not name.
fn log_unknown(adapter: &Adapter, evacuations: &Evacuations) {
    for data_centre in evacuations.data_centres() {
        if !adapter.regions.contains_key(data_centre) {
            log::warn!(
                target: "store", event = "evacuation", data_centre = data_centre;
                "the operators evacuate {data_centre}, which is no data centre of the settings"
            );
        }
    }
}

/// Returns the evacuations of a complete read.
pub(super) fn of_read(now: Duration, batch: &Batch) -> Evacuations {
    let mut evacuations = Evacuations::default();
    reconcile(&mut evacuations, now, batch);
    evacuations
}

/// Reconciles the evacuations with a complete read.
fn reconcile(known: &mut Evacuations, now: Duration, batch: &Batch) -> bool {
    let changes = batch.changes.iter();
    let listed: Vec<(u64, &str)> = changes
        .filter_map(|change| match &change.update {
            Update::Evacuated(data_centre) => Some((change.revision, data_centre.as_str())),
            _ => None,
        })
        .collect();
    known.reconcile(now, batch.revision, &listed)
}
