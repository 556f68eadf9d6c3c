//! Evacuated data centres as this reader knows them. The follower of the
//! operators' items learns of them, and the follower of the entries marks the
//! hosts in its lists.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

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
        }
    }

    /// Returns the evacuations that hold at `now`.
    pub(super) fn at(&self, now: Duration) -> Evacuations {
        let mut known = self.lock();
        known.expire(now);
        known.clone()
    }

    /// Waits until an evacuation begins or ends.
    pub(super) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Wakes the receiver of [`changed`](Self::changed).
    pub(super) fn notify(&self) {
        self.changed.notify_one();
    }

    /// Applies an answer that contains all evacuations. Returns whether it
    /// changed them.
    pub(super) fn apply_full(&self, now: Duration, adapter: &Adapter, batch: &Batch) -> bool {
        let mut known = self.lock();
        let changed = reconcile(&mut known, now, batch);
        if changed {
            log_unknown(adapter, &known);
        }
        changed
    }

    /// Applies the answer of a watch. Returns whether it changed the
    /// evacuations.
    pub(super) fn apply_changes(&self, adapter: &Adapter, batch: &Batch) -> bool {
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
        changed
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
