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

use super::{numbers_in_force, offer_host_list, without_gone};
use crate::kernel::Context;
use crate::peers::fetch;

/// Time that the source has to bring what another daemon named.
const GRACE: Duration = Duration::from_millis(300);

/// Age of its knowledge from which on a daemon counts as cut off. The entries
/// of upstreams that are cut off with it lapse at the store about then.
const CUT_OFF: Duration = Duration::from_secs(5);

/// Takes the numbers that the daemon with the control address `control` named.
pub fn on_numbers(context: &Arc<Context>, control: SocketAddr, told: Numbers) {
    let own = numbers_in_force(context);
    let now = context.now();
    let age = &context.distribution.age;
    if !age.on_numbers(now, told, own) {
        return;
    }
    // A daemon that has nothing yet can serve nobody meanwhile.
    let grace = if own.version == 0 {
        Duration::ZERO
    } else {
        GRACE
    };
    if age.lag(now, own).is_some_and(|time| time >= grace) {
        ask(context, control, own, told);
    }
}

/// Takes that the daemon on the host `peer` sends requests.
pub fn on_request(context: &Arc<Context>, peer: SocketAddr, told: Numbers) {
    if context.config.snapshot().is_none() {
        let name = peer.ip().to_string();
        context.distribution.update(|source| source.on_peer(&name));
    }
    let control = SocketAddr::new(peer.ip(), context.settings.control.port());
    on_numbers(context, control, told);
}

/// Fetches what is newer, unless another daemon is being asked.
fn ask(context: &Arc<Context>, control: SocketAddr, own: Numbers, told: Numbers) {
    if context.distribution.asking.swap(true, Ordering::Relaxed) {
        return;
    }
    let context = Arc::clone(context);
    let source = control.ip().to_string();
    tokio::spawn(async move {
        if told.list > own.list {
            fetch_list(&context, control, &source).await;
        }
        if told.version > own.version {
            let base = context.config.version().map(|version| version.hash);
            let outcome = fetch::offer_document(&context, control, &source, base).await;
            if matches!(outcome, Some(Outcome::Baseless { .. })) {
                fetch::offer_document(&context, control, &source, None).await;
            }
        }
        context.distribution.asking.store(false, Ordering::Relaxed);
    });
}

/// Fetches a list. A daemon that learns nothing from the store may be cut off
/// together with hosts that the store no longer lists, and keeps those.
async fn fetch_list(context: &Arc<Context>, control: SocketAddr, source: &str) {
    let Some(list) = fetch::host_list(context, control, source).await else {
        return;
    };
    let age = context.distribution.age.at(context.now());
    let list = match age.is_none_or(|age| age <= CUT_OFF) {
        true => without_gone(context, list),
        false => hosts::merge(&context.config.list().unwrap_or_default(), list),
    };
    offer_host_list(context, list, source);
}
