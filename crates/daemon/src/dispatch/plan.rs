//! Plans the attempts of a call: at which host, and when and where to hedge.

use std::time::{Duration, Instant};

use savorylane_intent::Snapshot;
use savorylane_policy::retry::may_hedge;

use super::choice::{check_host, choose, newer_snapshot};
use super::table::Class;
use crate::body::Replay;
use crate::call::{Call, Refusal};
use crate::kernel::Context;

/// Host of the next attempt, and when and where to hedge it.
pub(super) struct Plan {
    pub(super) host: usize,
    pub(super) hedge: Option<Hedge>,
    /// Whether the limits of the call allow a second concurrent attempt: one
    /// more upstream may get the call, and one more host may be tried.
    pub(super) second_allowed: bool,
    /// Whether the host may let the call wait in its late lane.
    pub(super) late: bool,
}

/// A second request, sent if the first is not answered within `delay`.
pub(super) struct Hedge {
    /// Host of the second request; chosen when the hedge is sent if `None`.
    pub(super) host: Option<usize>,
    pub(super) delay: Duration,
    /// Whether the first request probes a slow host. It is then not cancelled
    /// when the second is answered, so that its latency is measured.
    pub(super) probe: bool,
}

/// Plans an attempt at a host that is not in `tried`.
pub(super) fn plan(
    context: &Context,
    snapshot: &Snapshot,
    call: &Call,
    class: &Class,
    body: &Replay,
    tried: &[usize],
    same_region: bool,
) -> Option<Plan> {
    let choice = choose(context, snapshot, call, class, tried, same_region)?;
    let mut hedge = None;
    if may_hedge(call.class.idempotent, call.class.work) && body.is_buffered() {
        hedge = match choice.hedge {
            Some(probe) => Some(Hedge {
                host: Some(probe.index),
                delay: probe.after,
                probe: true,
            }),
            None => class.latency().hedge_delay().map(|delay| Hedge {
                host: None,
                delay,
                probe: false,
            }),
        };
    }
    Some(Plan {
        host: choice.index,
        hedge,
        second_allowed: false,
        late: false,
    })
}

/// Plans an attempt at the owner of a suspicion, unless it was tried before or
/// the call may not use its upstream.
pub(super) fn plan_for_owner(
    context: &Context,
    snapshot: &Snapshot,
    call: &Call,
    last: &Refusal,
    tried: &[usize],
) -> Option<Plan> {
    let host = snapshot.host_index(last.owner.as_deref()?)?;
    let untried = !tried.contains(&host);
    (untried && may_use(context, snapshot, call, host)).then_some(Plan {
        host,
        hedge: None,
        second_allowed: false,
        late: false,
    })
}

/// Returns the host for a retry that runs while the first attempt waits on a
/// silent connection, and spends retry budget: an untried host, or the same
/// host over a new connection if there is none.
pub(super) fn concurrent_retry_host(
    context: &Context,
    snapshot: &Snapshot,
    call: &Call,
    class: &Class,
    body: &Replay,
    plan: &Plan,
    tried: &[usize],
) -> Option<usize> {
    let expired = call.remaining(Instant::now()).is_zero();
    if expired || !call.class.idempotent || !plan.second_allowed || !body.is_buffered() {
        return None;
    }
    let other = choose(context, snapshot, call, class, tried, false);
    let host = match other {
        Some(other) => other.index,
        None if may_use(context, snapshot, call, plan.host) => plan.host,
        None => return None,
    };
    class.retry.try_spend().then_some(host)
}

/// Returns whether a call may use the upstream of a host, whatever membership
/// says about the host; `host` is an index into the hosts of the snapshot.
fn may_use(context: &Context, snapshot: &Snapshot, call: &Call, host: usize) -> bool {
    let newer = newer_snapshot(context, snapshot);
    let host = &snapshot.list.hosts[host];
    check_host(newer.as_deref(), call, host, true).is_ok()
}
