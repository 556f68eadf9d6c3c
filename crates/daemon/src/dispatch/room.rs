//! Room for large bodies on the links of other hosts, as an entry asks for it.

use std::net::SocketAddr;
use std::time::Instant;

use http::{HeaderMap, HeaderValue, StatusCode};
use http_body::Body as _;
use hyper_util::client::legacy::connect::capture_connection;
use savorylane_policy::route::Estimate;
use savorylane_wire::header;

use super::link::Monitor;
use super::remote::{Clients, Reply, broken, read, request};
use crate::body::{self, Body, Replay};
use crate::call::{Call, Cause, Refusal};
use crate::reservation::SMALL_BYTES;

/// Reads the start of a body whose size is not known, which decides whether a
/// host has to have room for it.
pub(super) async fn measure(call: &Call, body: &Replay) -> Result<(), Refusal> {
    let remaining = call.remaining(Instant::now());
    let measured = body.read_ahead(SMALL_BYTES as usize);
    match tokio::time::timeout(remaining, measured).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) => Err(Refusal::not_run(
            StatusCode::BAD_REQUEST,
            "the request's body was cut",
        )),
        Err(_) => Err(Refusal::not_run(
            StatusCode::REQUEST_TIMEOUT,
            "the request's body did not come in time",
        )),
    }
}

/// Returns whether a host has to have room for a body before it is sent there.
pub(super) fn needs_room(call: &Call, estimate: &Estimate, body: &Body) -> bool {
    let above = u64::from(estimate.reserve_above());
    let size = body.size_hint().exact();
    call.route.is_some() && above > 0 && size.is_none_or(|size| size > above)
}

impl Clients {
    /// Does the same as [`Clients::send`] once the daemon has room for the body.
    pub async fn send_reserved(
        &self,
        address: SocketAddr,
        call: &Call,
        mut extra: HeaderMap,
        body: Body,
        watch: &Monitor,
    ) -> Reply {
        match self.reserve(address, call, extra.clone(), watch).await {
            Ok(reserved) => {
                extra.insert(header::RESERVATION, reserved);
                self.send(address, call, extra, body, watch).await
            }
            Err(reply) => reply,
        }
    }

    /// Asks a daemon for room, and returns the number of what it reserves.
    ///
    /// # Errors
    ///
    /// Returns the refusal. The request has not run, whatever became of the
    /// question.
    async fn reserve(
        &self,
        address: SocketAddr,
        call: &Call,
        extra: HeaderMap,
        watch: &Monitor,
    ) -> Result<HeaderValue, Reply> {
        let remaining = call.remaining(Instant::now());
        let mut question = request(address, call, remaining, extra, body::empty());
        let headers = question.headers_mut();
        headers.remove(http::header::CONTENT_LENGTH);
        headers.insert(header::RESERVE, HeaderValue::from_static("1"));
        let connection = capture_connection(&mut question);
        let refusal = tokio::select! {
            answer = self.short.request(question) => match answer {
                Ok(answer) => match answer.headers().get(header::RESERVATION) {
                    Some(reserved) => return Ok(reserved.clone()),
                    None => return Err(read(answer).await),
                },
                Err(error) => Refusal {
                    cause: Cause::Away,
                    ..Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, broken(&error))
                },
            },
            () = tokio::time::sleep(remaining) => Refusal::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "the host had no room for the body in time",
            ),
            () = watch.follow(connection) => Refusal {
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
