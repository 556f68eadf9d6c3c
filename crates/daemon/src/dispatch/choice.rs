//! Chooses a host from a snapshot.

use std::sync::Arc;
use std::time::Instant;

use savorylane_intent::Snapshot;
use savorylane_intent::hosts::{Host, State};
use savorylane_policy::retry::may_hedge;
use savorylane_policy::route::{self, Candidate, Distance, Estimate};

use super::table::Class;
use crate::call::Call;
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
        let listed = host.instance.is_none() || host.state == State::Live;
        !tried.contains(index)
            && listed
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
    };
    let mut choice = route::choose(&route, now, &mut rand::rng(), &candidates)?;
    choice.index = indices[choice.index];
    if let Some(hedge) = &mut choice.hedge {
        hedge.index = indices[hedge.index];
    }
    Some(choice)
}

/// Returns the load estimate of a host. A restarted upstream has another
/// instance and so a new estimate.
pub(super) fn estimate(context: &Context, host: &Host) -> Arc<Estimate> {
    let name = host.instance.as_ref().unwrap_or(&host.name);
    context.dispatcher.table.estimate(name)
}

/// Returns how far `host` is from this daemon.
fn distance(context: &Context, host: &Host) -> Distance {
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
