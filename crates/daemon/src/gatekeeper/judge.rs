//! Checks of the answers of an upstream on the adapted platform.

use std::sync::Arc;
use std::time::Instant;

use http::{HeaderValue, Response, StatusCode};
use savorylane_platform::header::{self as platform, Judgement};
use savorylane_policy::gate::Outcome;
use savorylane_wire::{Verdict, header};

use super::{Gatekeeper, Slot, deaths, interruption_by, watch};
use crate::body::{Body, peek};
use crate::call::{Call, Cause, Refusal};
use crate::edge::upstream;
use crate::kernel::Context;

/// Maximum number of bytes of an answer that are read before its head is
/// forwarded.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

impl Gatekeeper {
    /// Checks the answer of an upstream on the adapted platform and returns the
    /// answer to forward.
    ///
    /// A short body is read completely first, so that a truncated one can still
    /// be replaced by a failure.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the upstream is another instance or did not run the
    /// request, and if the answer belongs to another request, is truncated or
    /// does not end before the deadline.
    pub(super) async fn check_answer(
        self: &Arc<Self>,
        context: &Arc<Context>,
        call: &Call,
        answer: Response<Body>,
        mut slot: Slot,
    ) -> Result<Response<Body>, Refusal> {
        let refuse = |cause, reason| Refusal {
            cause,
            reached_upstream: true,
            ..Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason)
        };
        match platform::judge(&answer, call.id.as_deref()) {
            Judgement::Ran => {}
            Judgement::Misdirected => {
                return Err(refuse(Cause::Away, "the upstream is another instance"));
            }
            Judgement::NotRun => {
                return Err(refuse(Cause::Busy, "the upstream refused the request"));
            }
            Judgement::Foreign => {
                upstream::discard_connection(&answer);
                let reason = "the upstream's answer belongs to another request or is not its own";
                return Err(Refusal::may_have_run(StatusCode::BAD_GATEWAY, reason));
            }
        }
        let (mut head, body) = answer.into_parts();
        head.headers = crate::call::forwarded_headers(&head.headers);
        head.headers.insert(
            header::VERDICT,
            HeaderValue::from_static(Verdict::Ran.as_str()),
        );
        let remaining = call.remaining(Instant::now());
        match tokio::time::timeout(remaining, peek(body, MAX_BUFFERED_BYTES)).await {
            Ok(Ok((_, true, body))) => {
                slot.outcome = Outcome::Answered;
                Ok(Response::from_parts(head, body))
            }
            Ok(Ok((_, false, body))) => {
                let body = watch(context, call, body, slot);
                Ok(Response::from_parts(head, body))
            }
            Ok(Err(error)) => {
                log::debug!("an answer of the upstream is incomplete: {error}");
                let (id, fingerprint) = (slot.id, slot.fingerprint);
                deaths::on_interruption(context, id, fingerprint, interruption_by(&error)).await;
                let reason = "the upstream broke off its answer";
                Err(Refusal::may_have_run(StatusCode::BAD_GATEWAY, reason))
            }
            Err(_) => Err(Refusal::may_have_run(
                StatusCode::GATEWAY_TIMEOUT,
                "the upstream did not finish its answer in time",
            )),
        }
    }
}
