//! Sends requests to the data ports of other daemons.

use std::error::Error;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{HttpConnector, capture_connection};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use savorylane_intent::document::Work;
use savorylane_wire::{Load, Verdict, header};

use super::link::{Connector, Monitor};
use crate::body::Body;
use crate::call::{Call, Cause, Explanation, Refusal};
use crate::edge::upstream::absolute_uri;
use crate::keepalive::{IDLE_TIMEOUT, PING_INTERVAL, PING_TIMEOUT};

/// Limit for opening a connection to another daemon: six round trips to another
/// region. A partitioned host does not refuse connections, so each attempt
/// there costs a request this much time before another host can serve it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Flow-control window of one answer in bytes: what this host holds of an
/// answer whose caller does not read. An answer is transferred at one window
/// per round trip, which is 3 MB per second from another region.
const STREAM_WINDOW_BYTES: u32 = 131_072;
/// Flow-control window of one answer to long work in bytes. What is in flight of
/// large answers queues in front of small ones on a thin link of the sender.
const LONG_STREAM_WINDOW_BYTES: u32 = 32_768;
/// Number of answers on one connection whose callers may not read before they
/// block the other answers on it. Hosts commonly have fewer slots.
const CONNECTION_WINDOW_STREAMS: u32 = 64;
/// Maximum number of bytes read of the body of a refusal.
const MAX_REFUSAL_BYTES: usize = 4096;

/// HTTP/2 clients of the other daemons. Short and long work never share a
/// connection, so that the bytes of uploads do not delay short work.
#[derive(Debug)]
pub struct Clients {
    pub(super) short: Client<Connector, Body>,
    long: Client<Connector, Body>,
}

/// The reply of a daemon.
pub struct Reply {
    /// Answer of the upstream, or the refusal.
    pub result: Result<Response<Body>, Refusal>,
    /// Load that the gatekeeper reported; `None` if the daemon sent none.
    pub load: Option<Load>,
}

impl Clients {
    /// Creates clients that connect from the address `local`, so that firewalls
    /// can recognise daemons. The operating system picks the source address if
    /// `local` is unspecified.
    pub fn new(local: IpAddr) -> Self {
        Self {
            short: build_client(local, STREAM_WINDOW_BYTES),
            long: build_client(local, LONG_STREAM_WINDOW_BYTES),
        }
    }

    /// Sends a call with the additional headers `extra` to the daemon at
    /// `address`. `monitor` is notified if the connection goes silent, and may
    /// cancel the call.
    pub async fn send(
        &self,
        address: SocketAddr,
        call: &Call,
        extra: HeaderMap,
        body: Body,
        monitor: &Monitor,
    ) -> Reply {
        let remaining = call.remaining(Instant::now());
        if remaining.is_zero() {
            return Reply {
                result: Err(Refusal::not_run(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "no time remains",
                )),
                load: None,
            };
        }
        let mut request = build_request(address, call, remaining, extra, body);
        let connection = capture_connection(&mut request);
        let client = match call.class.work {
            Work::Short => &self.short,
            Work::Long => &self.long,
        };
        let answer = tokio::select! {
            answer = client.request(request) => Some(answer),
            () = tokio::time::sleep(remaining) => None,
            () = monitor.cancelled(connection) => {
                let reason = "the connection to the host is silent";
                let refusal = Refusal {
                    cause: Cause::Away,
                    ..Refusal::may_have_run(StatusCode::BAD_GATEWAY, reason)
                };
                return Reply { result: Err(refusal), load: None };
            }
        };
        let refusal = match answer {
            Some(Ok(answer)) => return read_reply(answer).await,
            Some(Err(error)) if error.is_connect() => Refusal {
                cause: Cause::Away,
                ..Refusal::not_run(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "the host refuses connections",
                )
            },
            Some(Err(error)) if is_unprocessed(&error) => Refusal {
                cause: Cause::Away,
                ..Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "the host is shutting down")
            },
            // The daemon is alive; what broke is the answer of its upstream.
            Some(Err(error)) if is_reset(&error) => {
                Refusal::may_have_run(StatusCode::BAD_GATEWAY, "the host broke off the answer")
            }
            Some(Err(error)) => Refusal {
                cause: Cause::Away,
                ..Refusal::may_have_run(StatusCode::BAD_GATEWAY, broken_reason(&error))
            },
            None => Refusal::may_have_run(
                StatusCode::GATEWAY_TIMEOUT,
                "the host did not answer in time",
            ),
        };
        Reply {
            result: Err(refusal),
            load: None,
        }
    }
}

/// Returns the reason of a refusal after a connection broke, with the innermost
/// source of `error`.
pub(super) fn broken_reason(error: &(dyn Error + 'static)) -> String {
    let mut innermost = error;
    while let Some(source) = innermost.source() {
        innermost = source;
    }
    format!("the connection to the host broke: {innermost}")
}

/// Returns whether only the stream was reset, while the connection stays open.
fn is_reset(error: &(dyn Error + 'static)) -> bool {
    h2_error(error).is_some_and(h2::Error::is_reset)
}

/// Returns whether the daemon declared the request unprocessed: it refused the
/// stream, or it is shutting down and sent a GOAWAY that names an earlier
/// stream as the last one. HTTP/2 allows any such request to be retried, also
/// one that is not idempotent.
fn is_unprocessed(error: &(dyn Error + 'static)) -> bool {
    h2_error(error).is_some_and(|error| {
        let shutdown = error.is_go_away() && error.reason() == Some(h2::Reason::NO_ERROR);
        let refused = error.is_reset() && error.reason() == Some(h2::Reason::REFUSED_STREAM);
        error.is_remote() && (shutdown || refused)
    })
}

/// Returns the HTTP/2 error among `error` and its sources.
fn h2_error<'a>(error: &'a (dyn Error + 'static)) -> Option<&'a h2::Error> {
    let mut cause = Some(error);
    while let Some(error) = cause {
        if let Some(error) = error.downcast_ref::<h2::Error>() {
            return Some(error);
        }
        cause = error.source();
    }
    None
}

/// Builds the request that carries a call to the daemon at `address`.
pub(super) fn build_request(
    address: SocketAddr,
    call: &Call,
    remaining: Duration,
    extra: HeaderMap,
    body: Body,
) -> Request<Body> {
    let mut request = Request::new(body);
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = absolute_uri(address, &call.uri);
    *request.version_mut() = http::Version::HTTP_2;
    let mut headers = call.headers.clone();
    headers.extend(extra);
    match call.hop(Instant::now()) {
        Some(hop) => {
            headers.insert(header::HOP, header_value(&hop.to_string()));
        }
        None => {
            let timeout_ms = (remaining.as_millis() as u64).max(1);
            headers.insert(header::TIMEOUT_MS, HeaderValue::from(timeout_ms));
            headers.insert(header::CLASS, header_value(&call.class.name));
            headers.insert(header::CALLER, header_value(&call.caller.to_string()));
        }
    }
    *request.headers_mut() = headers;
    request
}

/// Reads the verdict, the load and, if the request was refused, the explanation
/// of an answer.
pub(super) async fn read_reply(answer: Response<Incoming>) -> Reply {
    let load = parse_header::<Load>(answer.headers(), header::LOAD);
    let verdict = parse_header::<Verdict>(answer.headers(), header::VERDICT);
    let result = match verdict {
        Some(Verdict::Ran) => {
            let mut answer = answer;
            answer.headers_mut().remove(header::LOAD);
            Ok(answer.map(|body| body.map_err(Into::into).boxed_unsync()))
        }
        Some(verdict) => Err(read_refusal(answer, verdict).await),
        None => Err(Refusal::may_have_run(
            StatusCode::BAD_GATEWAY,
            "the host answered without a verdict",
        )),
    };
    Reply { result, load }
}

/// Reads the refusal of another daemon. The verdict is in the head, so a
/// truncated body loses only the explanation.
async fn read_refusal(answer: Response<Incoming>, verdict: Verdict) -> Refusal {
    let status = answer.status();
    let wait = parse_header::<u64>(answer.headers(), header::RETRY_AFTER_MS);
    let reached_upstream =
        verdict != Verdict::NotRun || answer.headers().contains_key(header::ARRIVED);
    let body = Limited::new(answer.into_body(), MAX_REFUSAL_BYTES)
        .collect()
        .await;
    let explanation: Option<Explanation> = body
        .ok()
        .and_then(|body| serde_json::from_slice(&body.to_bytes()).ok());
    let (reason, cause, owner) = match explanation {
        Some(explanation) => (explanation.reason, explanation.cause, explanation.owner),
        None => ("the host refused the request".into(), Cause::Busy, None),
    };
    Refusal {
        status,
        reason,
        verdict,
        cause,
        retry_after: wait.map(Duration::from_millis),
        owner,
        reached_upstream,
    }
}

fn parse_header<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Converts `text` to a header value.
///
/// # Panics
///
/// Panics if `text` contains control characters. Names are checked when they
/// are read, so they never do.
pub fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("a checked name is a valid header value")
}

fn build_client(local: IpAddr, stream_window: u32) -> Client<Connector, Body> {
    let mut connector = HttpConnector::new();
    connector.set_local_address((!local.is_unspecified()).then_some(local));
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .http2_only(true)
        .timer(TokioTimer::new())
        .pool_timer(TokioTimer::new())
        .http2_keep_alive_interval(PING_INTERVAL)
        .http2_keep_alive_timeout(PING_TIMEOUT)
        .http2_keep_alive_while_idle(false)
        .http2_initial_stream_window_size(stream_window)
        .http2_initial_connection_window_size(CONNECTION_WINDOW_STREAMS * stream_window)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .build(Connector::new(connector))
}
