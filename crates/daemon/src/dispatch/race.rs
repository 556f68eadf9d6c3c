//! Concurrent attempts, and how their results combine into one.

use std::future::Future;
use std::pin::Pin;

use futures::future::{Either, select};
use http::{Response, StatusCode};
use savorylane_wire::Verdict;

use crate::body::Body;
use crate::call::{Cause, Refusal};

/// Future of one attempt.
pub(super) type Attempt = Pin<Box<dyn Future<Output = Result<Response<Body>, Refusal>> + Send>>;

/// Returns the first answer of two attempts, and the attempt that is still
/// running, if any. A refusal is returned only if both attempts are refused.
pub(super) async fn race(
    first: Attempt,
    second: Attempt,
) -> (Result<Response<Body>, Refusal>, Option<Attempt>) {
    let (result, other) = match select(first, second).await {
        Either::Left(ended) => ended,
        Either::Right(ended) => ended,
    };
    let refusal = match result {
        Ok(answer) => return (Ok(answer), Some(other)),
        Err(refusal) => refusal,
    };
    let result = other.await.map_err(|mut last| {
        if last.verdict == Verdict::NotRun && refusal.verdict == Verdict::MayHaveRun {
            last = mark_may_have_run(last, refusal.status);
        }
        // If one attempt may have crashed an upstream, the request must not be
        // retried, whatever the other attempt ended with.
        if refusal.cause == Cause::Suspect {
            last.cause = Cause::Suspect;
            last.owner = last.owner.or(refusal.owner);
        }
        last
    });
    (result, None)
}

/// Returns the refusal with the verdict `MayHaveRun`, for a request of which
/// another attempt may have run and was refused with `status`. The refusal's
/// own status would promise that the request did not run.
pub(super) fn mark_may_have_run(refusal: Refusal, status: StatusCode) -> Refusal {
    Refusal {
        status,
        verdict: Verdict::MayHaveRun,
        retry_after: None,
        ..refusal
    }
}
