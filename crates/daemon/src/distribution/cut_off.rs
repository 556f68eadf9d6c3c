//! Hosts that the store no longer lists because it does not hear them.
//!
//! A store removes the entries of upstreams that it does not hear, and a host
//! that is cut off from it still learns of that from other daemons. It would
//! drop itself, and the hosts that are cut off with it, although all of them
//! serve. A daemon whose own upstream is removed therefore asks the store
//! itself: if that does not answer, the daemon keeps the hosts that it knew.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use savorylane_intent::hosts::{self, List};
use tokio::sync::Notify;

use crate::kernel::Context;

/// Time within which the entries of hosts that are cut off together lapse.
const MAX_LAPSE_SPREAD: Duration = Duration::from_secs(2);

/// A list that names the own host.
#[derive(Debug)]
struct Known {
    at: Duration,
    list: List,
}

/// What is known of the way to the store.
#[derive(Debug, Default)]
pub struct State {
    cut_off: AtomicBool,
    /// The last list that named the own host, and when that was.
    known: ArcSwapOption<Known>,
    /// Notified when the store is to be asked.
    removal: Notify,
    /// Number of the newest list that was merged; 0 while none is.
    newest_merged: AtomicU64,
}

impl State {
    /// Waits until the own upstream was removed from the list.
    pub async fn wait_for_removal(&self) {
        self.removal.notified().await;
    }

    /// Takes a list that is in force from `now` on, of the daemon on `own`.
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

    /// Takes that the store answered. Its list counts again.
    pub fn on_store_answered(&self) {
        self.cut_off.store(false, Ordering::Relaxed);
        self.newest_merged.store(0, Ordering::Relaxed);
        self.known.store(None);
    }

    /// Returns the number of the newest list that was merged, which is greater
    /// than that in force; 0 while none is. Without it a reader would tell the
    /// same list again and again.
    pub(super) fn newest_merged(&self) -> u64 {
        self.newest_merged.load(Ordering::Relaxed)
    }

    /// Returns the list that is to be in force for a `newer` one.
    pub(super) fn merge_if_cut_off(&self, own: &List, newer: List) -> List {
        if !self.cut_off.load(Ordering::Relaxed) {
            return newer;
        }
        self.newest_merged
            .fetch_max(newer.number, Ordering::Relaxed);
        merge_below(own, newer)
    }
}

/// Takes that the store does not answer this daemon, whose upstream it has
/// removed.
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
        "the store removed this host and does not answer it; the hosts known before are kept"
    );
    let number = list.number + 1;
    let list = hosts::merge(&known.list, List::clone(&list));
    let list = List { number, ..list };
    let own = context.settings.host.as_str();
    super::offer_host_list(context, list, own);
}

/// Merges a newer list with the hosts that only the own one names. The result
/// precedes the newer list, which thus takes its place as soon as it is offered
/// by itself.
fn merge_below(own: &List, newer: List) -> List {
    let number = newer.number.saturating_sub(1);
    let merged = hosts::merge(own, newer);
    List { number, ..merged }
}
