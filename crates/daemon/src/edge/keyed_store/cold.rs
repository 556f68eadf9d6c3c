//! Cold starts that the entries of upstreams state.

use std::time::Duration;

use savorylane_intent::registry::Instance;
use savorylane_platform::store::{Batch, Update};
use savorylane_policy::cold::{Limits, Periods};

use crate::kernel::Context;

/// Replaces the time for which each upstream of a batch stays cold by the time
/// that host lists state: none if the document in force sets no limits for its
/// service, and otherwise a credible one that stays the same during a cold
/// start.
pub(super) fn limit(context: &Context, periods: &mut Periods, mut batch: Batch) -> Batch {
    for change in &mut batch.changes {
        match &mut change.update {
            Update::Entry(id, Ok(instance)) => {
                let left = credible_left(context, instance);
                instance.warm_up = periods.record(context.now(), id, left);
            }
            Update::Removed(id) => {
                periods.record(context.now(), id, Duration::ZERO);
            }
            _ => {}
        }
    }
    batch
}

/// Returns the time for which an upstream stays cold, within the bounds that the
/// limits of its service set; zero if there are none.
fn credible_left(context: &Context, instance: &Instance) -> Duration {
    if instance.warm_up.is_zero() {
        return Duration::ZERO;
    }
    let snapshot = context.config.snapshot();
    let services = snapshot
        .iter()
        .flat_map(|snapshot| &snapshot.document.services);
    let mut own = services.filter(|service| service.name == instance.service);
    let Some(limits) = own.next().and_then(|service| service.cold_start.as_ref()) else {
        return Duration::ZERO;
    };
    let limits = Limits::from(limits);
    if !limits.is_credible(instance.warm_up) {
        log::warn!(
            "upstream {} states a cold start of {:?}, which is not credible; {:?} are assumed",
            instance.id,
            instance.warm_up,
            limits.duration,
        );
    }
    limits.bound(instance.warm_up)
}
