//! Check of requests that were routed by an older configuration.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;

use crate::call::{Cause, Refusal};
use crate::kernel::Context;

/// Time after the adoption of a version for which requests that were routed by
/// the previous version still run, because the new version may not have reached
/// their entries.
const ADOPTION_GRACE: Duration = Duration::from_secs(1);
/// Delay after which a caller may retry an outdated request. Meanwhile the
/// entry fetches the newer version.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Checks that a request that was routed by the version `sender_version` may
/// run on this host according to the version in force.
///
/// # Errors
///
/// Returns a [`Refusal`] if the route no longer exists or no longer includes
/// the service of this host, or if its homes exclude this host's region.
pub(super) fn check(
    context: &Arc<Context>,
    head: &http::request::Parts,
    sender_version: u64,
) -> Result<(), Refusal> {
    let current = context.config.version().map_or(0, |version| version.number);
    if sender_version == 0 || sender_version >= current {
        return Ok(());
    }
    let oldest_accepted = Instant::now()
        .checked_sub(ADOPTION_GRACE)
        .map_or(0, |moment| context.config.version_number_at(moment));
    if sender_version >= oldest_accepted {
        return Ok(());
    }
    let Some(snapshot) = context.config.snapshot() else {
        return Ok(());
    };
    let authority = head.headers.get(http::header::HOST);
    let authority = authority
        .and_then(|value| value.to_str().ok())
        .map(|value| value.split(':').next().unwrap_or(value));
    let class = snapshot.class(authority, head.method.as_str(), head.uri.path());
    let own = &context.settings.service;
    let routes_here = class.is_some_and(|class| {
        let parts = class.split.iter().map(|share| &share.service);
        class.is_home(&context.settings.region)
            && parts.chain([&class.service]).any(|service| service == own)
    });
    if routes_here {
        return Ok(());
    }
    Err(Refusal {
        cause: Cause::Outdated,
        retry_after: Some(RETRY_AFTER),
        ..Refusal::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "the request was routed by a configuration that no longer holds",
        )
    })
}
