//! Keeps hosts in force that the store removed from its list only because they
//! are cut off from the store.
//!
//! The store removes the entries of upstreams that it does not hear from. A
//! host that is cut off from the store still learns of the removal from other
//! daemons. The host's daemon would then drop its own host, and the hosts that
//! are cut off together with it, although all of them can serve requests. A
//! daemon whose own upstream was removed therefore calls the store itself: if
//! the store does not answer, the daemon keeps the hosts that were listed
//! before.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use savorylane_intent::hosts::{self, List};
use tokio::sync::Notify;

use crate::kernel::Context;

/// Maximum time between the removals of hosts that are cut off together: the
/// time within which their entries lapse at the store.
const MAX_LAPSE_SPREAD: Duration = Duration::from_secs(2);

/// Hosts of the recent lists that contain this daemon's host.
#[derive(Debug)]
struct Known {
    /// Time at which the first of these lists came into force.
    at: Duration,
    list: List,
}

/// Whether this host is cut off from the store, and the hosts to keep in that
/// case.
#[derive(Debug, Default)]
pub struct State {
    cut_off: AtomicBool,
    /// Hosts to keep if this host turns out to be cut off.
    known: ArcSwapOption<Known>,
    /// Notified when a list no longer contains this daemon's host.
    removal: Notify,
    /// Number of the newest list that was merged into the one in force; 0 if
    /// there is none.
    newest_merged: AtomicU64,
}

impl State {
    /// Waits until a list no longer contains this daemon's upstream.
    pub async fn wait_for_removal(&self) {
        self.removal.notified().await;
    }

    /// Records a list that is in force from `now` on. `own` is the name of this
    /// daemon's host.
    pub(super) fn on_host_list(&self, now: Duration, own: &str, list: &List) {
        let previous = self.known.load();
        if !list.hosts.iter().any(|host| host.name == own) {
            if previous.is_some() {
                self.removal.notify_one();
            }
            return;
        }
        let recent = previous
            .as_ref()
            .filter(|known| now.saturating_sub(known.at) < MAX_LAPSE_SPREAD);
        let (at, list) = match recent {
            Some(known) => (known.at, hosts::merge(&known.list, list.clone())),
            None => (now, list.clone()),
        };
        self.known.store(Some(Arc::new(Known { at, list })));
    }

    /// Records that the store answered, so that its list is adopted as it is
    /// again.
    pub fn on_store_answered(&self) {
        self.cut_off.store(false, Ordering::Relaxed);
        self.newest_merged.store(0, Ordering::Relaxed);
        self.known.store(None);
    }

    /// Returns the number of the newest list that was merged into the one in
    /// force; 0 if there is none. It exceeds the number of the list in force: a
    /// poll with the latter would get the same list again and again.
    pub(super) fn newest_merged(&self) -> u64 {
        self.newest_merged.load(Ordering::Relaxed)
    }

    /// Returns the list to adopt when the list `newer` arrives: `newer` itself,
    /// or its merge with `own` while this host is cut off.
    pub(super) fn merge_if_cut_off(&self, own: &List, newer: List) -> List {
        if !self.cut_off.load(Ordering::Relaxed) {
            return newer;
        }
        self.newest_merged
            .fetch_max(newer.number, Ordering::Relaxed);
        merge_below(own, newer)
    }
}

/// Records that the store removed this daemon's upstream and does not answer
/// this daemon, and merges the hosts known before into the list in force.
pub fn on_store_silent(context: &Context) {
    let state = &context.distribution.cut_off;
    let (Some(known), Some(list)) = (state.known.load_full(), context.config.list()) else {
        return;
    };
    if state.cut_off.swap(true, Ordering::Relaxed) {
        return;
    }
    log::warn!(
        target: "dependency", dependency = "store", outcome = "cut-off";
        "the store removed this host from the list and does not answer it; \
         keeping the hosts known before"
    );
    let number = list.number + 1;
    let list = hosts::merge(&known.list, List::clone(&list));
    let list = List { number, ..list };
    let own = context.settings.host.as_str();
    super::offer_host_list(context, list, own);
}

/// Merges the list `newer` with the hosts that only `own` contains. The number
/// of the result is below that of `newer`, so that `newer` replaces the result
/// as soon as it is offered without a merge.
fn merge_below(own: &List, newer: List) -> List {
    let number = newer.number.saturating_sub(1);
    let merged = hosts::merge(own, newer);
    List { number, ..merged }
}
