//! Hints that newer versions and host lists exist: requests and answers between
//! daemons carry the numbers of those in force at the sender.
//!
//! From the hints, a daemon whose source is slow or silent learns that it is
//! behind. It then fetches what it lacks from the sender of the hint.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use savorylane_distribution::age::Numbers;
use savorylane_intent::adopt::Outcome;

use super::{cut_off, numbers_in_force, offer_host_list, without_departed};
use crate::kernel::Context;
use crate::peers::fetch;

/// Time for the source to deliver a version or list that a hint reported,
/// before it is fetched from the sender of the hint.
const SOURCE_GRACE: Duration = Duration::from_millis(300);

/// Age of a daemon's knowledge above which the daemon is treated as cut off
/// from the store. At about that age, the store's entries of upstreams that are
/// cut off together with the daemon lapse.
const CUT_OFF_AFTER: Duration = Duration::from_secs(5);

/// Handles the numbers that the daemon with the control address `control`
/// reported, and fetches what this daemon has lacked for at least 300 ms.
pub fn on_numbers(context: &Arc<Context>, control: SocketAddr, reported: Numbers) {
    let own = numbers_in_force(context);
    let now = context.now();
    let age = &context.distribution.age;
    if !age.on_numbers(now, reported, own) {
        return;
    }
    // A daemon without a version cannot serve any request in the meantime.
    let grace = if own.version == 0 {
        Duration::ZERO
    } else {
        SOURCE_GRACE
    };
    if age.lag(now, own).is_some_and(|lag| lag >= grace) {
        fetch_newer(context, control, own, reported);
    }
}

/// Handles the numbers in a request from the daemon at `peer`. As long as this
/// daemon has no configuration, its source also learns of that daemon's host.
pub fn on_request(context: &Arc<Context>, peer: SocketAddr, reported: Numbers) {
    if context.config.snapshot().is_none() {
        let name = peer.ip().to_string();
        context.distribution.update(|source| source.on_peer(&name));
    }
    let control = SocketAddr::new(peer.ip(), context.settings.control.port());
    on_numbers(context, control, reported);
}

/// Fetches the list and the version that are newer than those in force, unless
/// such a fetch is already in progress.
fn fetch_newer(context: &Arc<Context>, control: SocketAddr, own: Numbers, reported: Numbers) {
    if context.distribution.fetching.swap(true, Ordering::Relaxed) {
        return;
    }
    let context = Arc::clone(context);
    let source = control.ip().to_string();
    tokio::spawn(async move {
        if reported.list > own.list {
            fetch_host_list(&context, control, &source).await;
        }
        if reported.version > own.version {
            let base = context.config.version().map(|version| version.hash);
            let outcome = fetch::offer_document(&context, control, &source, base).await;
            if matches!(outcome, Some(Outcome::Baseless { .. })) {
                fetch::offer_document(&context, control, &source, None).await;
            }
        }
        context
            .distribution
            .fetching
            .store(false, Ordering::Relaxed);
    });
}

/// Fetches a list and offers it. A daemon whose knowledge is older than
/// [`CUT_OFF_AFTER`] may be cut off from the store together with hosts that the
/// store no longer lists, and keeps those hosts until the store has answered it.
async fn fetch_host_list(context: &Arc<Context>, control: SocketAddr, source: &str) {
    let Some(list) = fetch::host_list(context, control, source).await else {
        return;
    };
    let age = context.distribution.age.at(context.now());
    match age.is_none_or(|age| age <= CUT_OFF_AFTER) {
        true => offer_host_list(context, without_departed(context, list), source),
        false => cut_off::offer_host_list(context, list, source),
    }
}
