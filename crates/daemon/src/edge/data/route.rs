//! Requests that an entry with an older configuration sent.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;

use crate::call::{Cause, Refusal};
use crate::kernel::Context;

/// Time after the adoption of a version for which requests that were chosen by
/// an older one are run: the version is on its way to their entries.
const ADOPTION_GRACE: Duration = Duration::from_secs(1);
/// Wait before the caller of an outdated request may come again. Its entry
/// asks for the newer version meanwhile.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Checks that a request which was chosen by version `number` may run here by
/// the version in force.
///
/// # Errors
///
/// Returns a refusal if the route is gone or leads to other services.
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
        parts.chain([&class.service]).any(|service| service == own)
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
