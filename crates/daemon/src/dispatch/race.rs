//! Attempts beside each other, and the answer that several of them lead to.

use std::future::Future;
use std::pin::Pin;

use futures::future::{Either, select};
use http::{Response, StatusCode};
use savorylane_wire::Verdict;

use crate::body::Body;
use crate::call::{Cause, Refusal};

/// Result of one attempt.
pub(super) type Attempt = Pin<Box<dyn Future<Output = Result<Response<Body>, Refusal>> + Send>>;

/// Returns the first answer of two attempts and the attempt that still runs.
/// A refusal counts only when the other attempt is refused too.
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
        // Neither attempt may be repeated if one of them broke an upstream.
        if refusal.cause == Cause::Suspect {
            last.cause = Cause::Suspect;
            last.owner = last.owner.or(refusal.owner);
        }
        last
    });
    (result, None)
}

/// Returns a refusal for a request of which an earlier attempt may have run and
/// ended with `status`. The status of the refusal would promise that none has.
pub(super) fn mark_may_have_run(refusal: Refusal, status: StatusCode) -> Refusal {
    Refusal {
        status,
        verdict: Verdict::MayHaveRun,
        retry_after: None,
        ..refusal
    }
}
