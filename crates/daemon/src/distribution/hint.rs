//! Numbers that requests and answers between daemons carry.
//!
//! They tell a daemon whose source is late, or silent, that it lacks something;
//! it then asks the daemon that told it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use savorylane_distribution::age::Numbers;
use savorylane_intent::adopt::Outcome;
use savorylane_intent::hosts;

use super::{numbers_in_force, offer_host_list, without_departed};
use crate::kernel::Context;
use crate::peers::fetch;

/// Time that the source has to bring what another daemon named.
const SOURCE_GRACE: Duration = Duration::from_millis(300);

/// Age of its knowledge from which on a daemon counts as cut off. The entries
/// of upstreams that are cut off with it lapse at the store about then.
const CUT_OFF_AFTER: Duration = Duration::from_secs(5);

/// Takes the numbers that the daemon with the control address `control` named.
pub fn on_numbers(context: &Arc<Context>, control: SocketAddr, reported: Numbers) {
    let own = numbers_in_force(context);
    let now = context.now();
    let age = &context.distribution.age;
    if !age.on_numbers(now, reported, own) {
        return;
    }
    // A daemon that has nothing yet can serve nobody meanwhile.
    let grace = if own.version == 0 {
        Duration::ZERO
    } else {
        SOURCE_GRACE
    };
    if age.lag(now, own).is_some_and(|lag| lag >= grace) {
        fetch_newer(context, control, own, reported);
    }
}

/// Takes that the daemon on the host `peer` sends requests.
pub fn on_request(context: &Arc<Context>, peer: SocketAddr, reported: Numbers) {
    if context.config.snapshot().is_none() {
        let name = peer.ip().to_string();
        context.distribution.update(|source| source.on_peer(&name));
    }
    let control = SocketAddr::new(peer.ip(), context.settings.control.port());
    on_numbers(context, control, reported);
}

/// Fetches what is newer, unless another daemon is being asked.
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

/// Fetches a list. A daemon that learns nothing from the store may be cut off
/// together with hosts that the store no longer lists, and keeps those.
async fn fetch_host_list(context: &Arc<Context>, control: SocketAddr, source: &str) {
    let Some(list) = fetch::host_list(context, control, source).await else {
        return;
    };
    let age = context.distribution.age.at(context.now());
    let list = match age.is_none_or(|age| age <= CUT_OFF_AFTER) {
        true => without_departed(context, list),
        false => hosts::merge(&context.config.list().unwrap_or_default(), list),
    };
    offer_host_list(context, list, source);
}
