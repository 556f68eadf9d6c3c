//! Chooses a host from a snapshot.

use std::sync::Arc;
use std::time::Instant;

use http::StatusCode;
use savorylane_intent::Snapshot;
use savorylane_intent::hosts::Host;
use savorylane_policy::eligibility::{self, Exclusion, Tally, is_region_barred};
use savorylane_policy::retry::may_hedge;
use savorylane_policy::route::{self, Candidate, Distance, Estimate};

use super::table::Class;
use crate::call::{Call, Refusal};
use crate::kernel::Context;

/// Chooses among the eligible hosts that are not in `tried`; with
/// `same_region`, only among those in this daemon's region, unless that region
/// is barred to the call. Indices refer to the hosts of the snapshot's list.
pub(super) fn choose(
    context: &Context,
    snapshot: &Snapshot,
    call: &Call,
    class: &Class,
    tried: &[usize],
    same_region: bool,
) -> Option<route::Choice> {
    let own_region = context.settings.region.as_str();
    let same_region =
        same_region && !is_region_barred(&call.class, own_region, snapshot.hosts(&call.service));
    let newer = newer_snapshot(context, snapshot);
    let is_routable = |host: &Host| context.peers.is_routable(&host.name);
    let usable = |index: &usize| {
        let host = &snapshot.list.hosts[*index];
        !tried.contains(index)
            && (!same_region || host.region == own_region)
            && check_host(newer.as_deref(), call, host, is_routable(host)).is_ok()
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

/// Returns the snapshot in force if its host list is not that of `snapshot`, by
/// which a request is routed from start to end.
pub(super) fn newer_snapshot(context: &Context, snapshot: &Snapshot) -> Option<Arc<Snapshot>> {
    if context.config.current().list_number == snapshot.list.number {
        return None;
    }
    context.config.snapshot()
}

/// Checks that a call may use the upstream of `host`; `routable` states whether
/// membership finds the host reachable. An evacuation in `newer` counts as well,
/// since the attempts of a request may span many seconds.
///
/// # Errors
///
/// Returns the [`Exclusion`] that rules the upstream out.
pub(super) fn check_host(
    newer: Option<&Snapshot>,
    call: &Call,
    host: &Host,
    routable: bool,
) -> Result<(), Exclusion> {
    eligibility::check(&call.class, host, routable)?;
    match newer.and_then(|newer| newer.host(&host.name)) {
        Some(host) if host.evacuated => Err(Exclusion::Evacuated),
        _ => Ok(()),
    }
}

/// Returns the refusal of a call for which no host was chosen, with the number
/// of hosts that each exclusion rules out.
pub(super) fn refuse_without_host(context: &Context, snapshot: &Snapshot, call: &Call) -> Refusal {
    let mut tally = Tally::default();
    let mut leaving = 0;
    for host in snapshot.hosts(&call.service) {
        tally.add(&call.class, host, context.peers.is_routable(&host.name));
        leaving += usize::from(estimate(context, host).leaving());
    }
    Refusal::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        format!(
            "service {} has no host that takes work: {tally}, {leaving} reported to leave",
            call.service,
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
