//! Check of the host list before a call gets a slot of the upstream.

use http::StatusCode;

use super::Gatekeeper;
use crate::call::{Call, Cause, Refusal};
use crate::kernel::Context;

/// Checks that the host list lets the upstream get a call: the data centre is not
/// evacuated, and the instance that the call is addressed to has not left.
///
/// # Errors
///
/// Returns a refusal if the data centre is evacuated or the instance has left.
pub(super) fn check_listed(
    gatekeeper: &Gatekeeper,
    context: &Context,
    call: &Call,
) -> Result<(), Refusal> {
    let now = context.now();
    let instance = call.route.as_ref().map(|route| route.instance.as_str());
    let has_left = |instance| gatekeeper.departures.has_left(now, instance);
    let reason = if gatekeeper.evacuation.is_in_force(now) {
        "the data centre is evacuated"
    } else if instance.is_some_and(has_left) {
        "the upstream leaves"
    } else {
        return Ok(());
    };
    Err(Refusal {
        cause: Cause::Away,
        ..Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason)
    })
}
