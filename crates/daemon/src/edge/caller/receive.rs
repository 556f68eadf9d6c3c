//! Admits the bodies of callers to the memory of this host.

use std::time::Instant;

use http::Version;

use crate::body::Replay;
use crate::call::{Call, Refusal};
use crate::intake::Flow;
use crate::reservation::MAX_UNRESERVED_BYTES;

/// Takes memory for a caller's body. While many bodies are stalled on their way
/// to upstreams, where they occupy slots, also receives a small body completely
/// and lets a large one wait.
///
/// # Errors
///
/// Returns a refusal if there is no room for the body, or if it does not arrive
/// before the deadline. Nothing was passed on, so the call did not run.
pub(super) async fn admit(
    flow: Option<&Flow>,
    version: Version,
    call: &Call,
    body: &Replay,
) -> Result<(), Refusal> {
    let Some(flow) = flow.filter(|_| !body.has_arrived()) else {
        return Ok(());
    };
    let remaining = call.remaining(Instant::now());
    let lease = flow.admit(body.remaining_size(), remaining).await?;
    body.hold(lease);
    // The requests of an HTTP/2 connection are not told apart.
    if version == Version::HTTP_2 || !flow.is_pressed() {
        return Ok(());
    }
    flow.hold_back();
    receive_if_small(call, body).await?;
    if body.has_arrived() {
        return Ok(());
    }
    flow.pass(call.remaining(Instant::now())).await
}

/// Receives a body that is known to fit in the buffer, or the beginning of one
/// of unknown size.
async fn receive_if_small(call: &Call, body: &Replay) -> Result<(), Refusal> {
    let received = async {
        body.buffer_if_small().await?;
        body.read_ahead(MAX_UNRESERVED_BYTES as usize).await
    };
    call.receive(received).await
}
