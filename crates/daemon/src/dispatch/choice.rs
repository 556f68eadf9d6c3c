//! Chooses a host from a snapshot.

use std::sync::Arc;
use std::time::Instant;

use http::StatusCode;
use savorylane_intent::Snapshot;
use savorylane_intent::hosts::{Host, State};
use savorylane_policy::retry::may_hedge;
use savorylane_policy::route::{self, Candidate, Distance, Estimate};

use super::table::Class;
use crate::call::{Call, Refusal};
use crate::kernel::Context;

/// Chooses among the routable hosts that are not in `tried`; with
/// `same_region`, only among those in this daemon's region. Indices refer to
/// the hosts of the snapshot's list.
pub(super) fn choose(
    context: &Context,
    snapshot: &Snapshot,
    call: &Call,
    class: &Class,
    tried: &[usize],
    same_region: bool,
) -> Option<route::Choice> {
    let usable = |index: &usize| {
        let host = &snapshot.list.hosts[*index];
        !tried.contains(index)
            && is_listed_live(host)
            && context.peers.is_routable(&host.name)
            && (!same_region || host.region == context.settings.region)
    };
    let indices: Vec<usize> = snapshot
        .host_indices(&call.service)
        .iter()
        .copied()
        .filter(usable)
        .collect();
    let estimates: Vec<Arc<Estimate>> = indices
        .iter()
        .map(|&index| estimate(context, &snapshot.list.hosts[index]))
        .collect();
    // The slow start of a host begins when it first could be chosen. A host
    // that was available but not needed can then take all work at once.
    let now = context.now();
    estimates
        .iter()
        .for_each(|estimate| estimate.mark_seen(now));
    let candidates: Vec<Candidate<'_>> = indices
        .iter()
        .zip(&estimates)
        .map(|(&index, estimate)| Candidate {
            estimate,
            distance: distance(context, &snapshot.list.hosts[index]),
        })
        .collect();
    let route = route::Context {
        policy: context.settings.policy,
        turn: &class.turn,
        length: call.class.work,
        may_probe: tried.is_empty()
            && may_hedge(call.class.idempotent, call.class.work)
            && class.hedge.available(),
        slack: call.slack(Instant::now()),
        mean: context.dispatcher.table.mean(&call.class.name).get(),
    };
    let mut choice = route::choose(&route, now, &mut rand::rng(), &candidates)?;
    choice.index = indices[choice.index];
    if let Some(hedge) = &mut choice.hedge {
        hedge.index = indices[hedge.index];
    }
    Some(choice)
}

/// Returns whether the host list lets the host take requests. Without an
/// instance, membership decides that.
fn is_listed_live(host: &Host) -> bool {
    host.instance.is_none() || host.state == State::Live
}

/// Returns the refusal of a call for which no host was chosen, with the number
/// of hosts that each belief rules out.
pub(super) fn refuse_without_host(context: &Context, snapshot: &Snapshot, call: &Call) -> Refusal {
    let indices = snapshot.host_indices(&call.service);
    let hosts = || indices.iter().map(|&index| &snapshot.list.hosts[index]);
    let not_live = hosts().filter(|host| !is_listed_live(host)).count();
    let unroutable = hosts()
        .filter(|host| !context.peers.is_routable(&host.name))
        .count();
    let leaving = hosts()
        .filter(|host| estimate(context, host).leaving())
        .count();
    Refusal::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        format!(
            "service {} has no host that takes work: {} listed, {not_live} of them not live, \
             {unroutable} not routable, {leaving} reported to leave",
            call.service,
            indices.len(),
        ),
    )
}

/// Returns the load estimate of a host. A restarted upstream has another
/// instance and so a new estimate.
pub(super) fn estimate(context: &Context, host: &Host) -> Arc<Estimate> {
    let name = host.instance.as_ref().unwrap_or(&host.name);
    context.dispatcher.table.estimate(name)
}

/// Returns how far `host` is from this daemon.
pub(super) fn distance(context: &Context, host: &Host) -> Distance {
    let settings = &context.settings;
    if host.name == settings.host {
        Distance::Host
    } else if host.data_centre == settings.data_centre {
        Distance::DataCentre
    } else if host.region == settings.region {
        Distance::Region
    } else {
        Distance::Far
    }
}
