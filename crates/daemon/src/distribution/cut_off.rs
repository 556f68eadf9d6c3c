//! Keeps hosts in force at this daemon that the store removed from its list only
//! because they are cut off from the store.
//!
//! The store removes the entries of upstreams that it does not hear from. A
//! host that is cut off from the store still learns of the removal from other
//! daemons. The host's daemon would then drop its own host, and the hosts that
//! are cut off together with it, although all of them can serve requests. A
//! daemon whose own upstream was removed therefore calls the store itself: if
//! the store does not answer, the daemon keeps the hosts that were listed
//! before, and those that are removed later, until the store answers.
//!
//! A daemon that is cut off cannot tell a host that is cut off as well from one
//! that has left. It therefore keeps hosts for itself only: other daemons get
//! the store's list from it, and decide for themselves. The exception is a
//! daemon that started while it was cut off and asks for the hosts that others
//! keep, because it has never known its own data centre.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use savorylane_intent::hosts::{self, Host, List};
use tokio::sync::Notify;

use super::change_host_list;
use crate::kernel::Context;

/// Maximum time between the removals of hosts that are cut off together: the
/// time within which their entries lapse at the store.
const MAX_LAPSE_SPREAD: Duration = Duration::from_secs(2);

/// Hosts that were listed at the same time as this daemon's host, or at most
/// [`MAX_LAPSE_SPREAD`] before.
#[derive(Clone, Debug, Default)]
struct Known {
    /// The latest list that contains this daemon's host.
    list: List,
    /// Hosts that earlier lists contained, with the times of their removal.
    removed: Vec<(Duration, Host)>,
    /// Time at which this daemon's host was removed; `None` if it is listed.
    removed_at: Option<Duration>,
}

impl Known {
    /// Replaces the list by `list`, which is in force from `now` on.
    fn update(&self, now: Duration, list: &List) -> Self {
        let earlier = self.removed.iter().cloned();
        let earlier = earlier.filter(|(at, _)| now.saturating_sub(*at) <= MAX_LAPSE_SPREAD);
        let missing = self.list.hosts_missing_in(list).into_iter();
        Self {
            list: list.clone(),
            removed: earlier
                .chain(missing.map(|host| (now, host.clone())))
                .collect(),
            removed_at: None,
        }
    }

    /// Returns the hosts to keep if this daemon's host is cut off.
    fn hosts_to_keep(&self) -> List {
        let until = self.removed_at.unwrap_or(Duration::MAX);
        let recent = self.removed.iter().rev();
        let recent = recent.filter(|(at, _)| until.saturating_sub(*at) <= MAX_LAPSE_SPREAD);
        let mut removed = List::default();
        for (_, host) in recent {
            if !removed.contains(&host.name) {
                removed.hosts.push(host.clone());
            }
        }
        hosts::merge(&removed, self.list.clone())
    }
}

/// Whether this host is cut off from the store, and the hosts to keep in that
/// case.
#[derive(Debug, Default)]
pub struct State {
    cut_off: AtomicBool,
    /// Hosts to keep if this host turns out to be cut off.
    known: ArcSwapOption<Known>,
    /// Whether the store has not answered this daemon since its start.
    started_without_store: AtomicBool,
    /// Notified when this host may be cut off.
    suspicion: Notify,
}

impl State {
    /// Waits until this host may be cut off from the store.
    pub async fn wait_for_suspicion(&self) {
        self.suspicion.notified().await;
    }

    /// Records that the store did not answer this daemon at its start.
    pub fn on_start_without_store(&self) {
        self.started_without_store.store(true, Ordering::Relaxed);
    }

    /// Records a list that is in force from `now` on. `own` is the name of this
    /// daemon's host.
    pub(super) fn on_host_list(&self, now: Duration, own: &str, list: &List) {
        let previous = self.known.load_full();
        if list.contains(own) {
            let known = previous.unwrap_or_default().update(now, list);
            self.known.store(Some(Arc::new(known)));
            return;
        }
        if previous.is_some() || self.started_without_store.load(Ordering::Relaxed) {
            self.suspicion.notify_one();
        }
        if let Some(known) = previous.filter(|known| known.removed_at.is_none()) {
            let known = Known {
                removed_at: Some(now),
                ..Known::clone(&known)
            };
            self.known.store(Some(Arc::new(known)));
        }
    }
}

/// Records that the store does not answer this daemon, whose host may be cut
/// off, and keeps the hosts known before.
pub fn on_store_silent(context: &Context) {
    let state = &context.distribution.cut_off;
    if state.cut_off.swap(true, Ordering::Relaxed) {
        return;
    }
    log::warn!(
        target: "dependency", dependency = "store", outcome = "cut-off";
        "the store no longer lists this host and does not answer it; \
         keeping the hosts known before"
    );
    let known = state.known.load_full();
    let known = known.map(|known| known.hosts_to_keep());
    keep_hosts(context, &known.unwrap_or_default());
}

/// Records that the store answered, so that the daemon keeps no host that the
/// store does not list.
pub fn on_store_answered(context: &Context) {
    let state = &context.distribution.cut_off;
    state.started_without_store.store(false, Ordering::Relaxed);
    let was_cut_off = state.cut_off.swap(false, Ordering::Relaxed);
    let kept = context.config.kept_hosts().len();
    change_host_list(context, |config| config.drop_kept_hosts(&context.trail));
    state.known.store(None);
    if let Some(list) = context.config.list() {
        state.on_host_list(context.now(), &context.settings.host, &list);
    }
    if was_cut_off {
        log::info!(
            target: "dependency", dependency = "store", outcome = "reached", kept = kept as u64;
            "the store answers this host again; it keeps no host any more"
        );
    }
}

/// Returns whether this daemon is cut off and does not know its own host, so
/// that it must learn from others which hosts serve in its data centre.
pub(super) fn wants_kept_hosts(context: &Context) -> bool {
    let cut_off = context.distribution.cut_off.cut_off.load(Ordering::Relaxed);
    let list = context.config.list();
    cut_off && list.is_none_or(|list| !list.contains(&context.settings.host))
}

/// Keeps the hosts that another daemon keeps, if this daemon wants them.
pub(super) fn on_kept_hosts(context: &Context, kept: &List) {
    if wants_kept_hosts(context) {
        keep_hosts(context, kept);
    }
}

/// Offers a list to a daemon whose knowledge is so old that its host may be cut
/// off. The daemon keeps the hosts that the list lacks until the store has
/// answered a probe.
pub(super) fn offer_host_list(context: &Context, list: List, source: &str) {
    let state = &context.distribution.cut_off;
    keep_hosts(context, &List::default());
    super::offer_host_list(context, list, source);
    if state.cut_off.load(Ordering::Relaxed) {
        return;
    }
    if context.config.kept_hosts().is_empty() {
        change_host_list(context, |config| config.drop_kept_hosts(&context.trail));
    } else {
        state.suspicion.notify_one();
    }
}

/// Adds the live hosts of `known` to the list in force, and keeps hosts that are
/// removed from now on.
fn keep_hosts(context: &Context, known: &List) {
    change_host_list(context, |config| config.keep_hosts(&context.trail, known));
}
