//! Reserves capacity for large bodies on the links of other hosts. The
//! gatekeepers grant it in [`crate::reservation`].

use std::net::SocketAddr;
use std::time::Instant;

use http::{HeaderMap, HeaderValue, StatusCode};
use http_body::Body as _;
use hyper_util::client::legacy::connect::capture_connection;
use savorylane_policy::route::Estimate;
use savorylane_wire::header;

use super::link::Monitor;
use super::remote::{Clients, Reply, broken_reason, build_request, read_reply};
use crate::body::{self, Body, Replay};
use crate::call::{Call, Cause, Refusal};
use crate::reservation::MAX_UNRESERVED_BYTES;

/// Reads ahead in a body of unknown size, far enough to decide whether it needs
/// a reservation.
///
/// # Errors
///
/// Returns a refusal if the body broke off or did not arrive before the
/// deadline.
pub(super) async fn measure_body(call: &Call, body: &Replay) -> Result<(), Refusal> {
    call.receive(body.read_ahead(MAX_UNRESERVED_BYTES as usize))
        .await
}

/// Returns whether capacity must be reserved at a host before a body is sent
/// there. A body of unknown size needs a reservation.
pub(super) fn needs_reservation(call: &Call, estimate: &Estimate, body: &Body) -> bool {
    let threshold = u64::from(estimate.reserve_above());
    let size = body.size_hint().exact();
    call.route.is_some() && threshold > 0 && size.is_none_or(|size| size > threshold)
}

impl Clients {
    /// Reserves capacity for the body, then sends the call like
    /// [`Clients::send`].
    pub async fn send_reserved(
        &self,
        address: SocketAddr,
        call: &Call,
        mut extra: HeaderMap,
        body: Body,
        monitor: &Monitor,
    ) -> Reply {
        match self.reserve(address, call, extra.clone(), monitor).await {
            Ok(reserved) => {
                extra.insert(header::RESERVATION, reserved);
                self.send(address, call, extra, body, monitor).await
            }
            Err(reply) => reply,
        }
    }

    /// Asks a daemon for capacity, and returns the number of the reservation.
    ///
    /// # Errors
    ///
    /// Returns a refusal. The call itself was not sent, so its verdict is
    /// `NotRun` even if the outcome of the query is unknown.
    async fn reserve(
        &self,
        address: SocketAddr,
        call: &Call,
        extra: HeaderMap,
        monitor: &Monitor,
    ) -> Result<HeaderValue, Reply> {
        let remaining = call.remaining(Instant::now());
        let mut query = build_request(address, call, remaining, extra, body::empty());
        let headers = query.headers_mut();
        headers.remove(http::header::CONTENT_LENGTH);
        headers.insert(header::RESERVE, HeaderValue::from_static("1"));
        let connection = capture_connection(&mut query);
        let refusal = tokio::select! {
            answer = self.short.request(query) => match answer {
                Ok(answer) => match answer.headers().get(header::RESERVATION) {
                    Some(reserved) => return Ok(reserved.clone()),
                    None => return Err(read_reply(answer).await),
                },
                Err(error) => Refusal {
                    cause: Cause::Away,
                    ..Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, broken_reason(&error))
                },
            },
            () = tokio::time::sleep(remaining) => Refusal::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "the host had no room for the body in time",
            ),
            () = monitor.cancelled(connection) => Refusal {
                cause: Cause::Away,
                ..Refusal::not_run(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "the connection to the host is silent",
                )
            },
        };
        Err(Reply {
            result: Err(refusal),
            load: None,
        })
    }
}
