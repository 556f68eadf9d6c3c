//! Edge to callers: the entry, which accepts and dispatches their requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use futures::future::BoxFuture;
use http::{Request, Response, StatusCode};
use hyper::body::Body as _;
use savorylane_distribution::age::Numbers;
use savorylane_platform::header as platform;
use savorylane_wire::{Verdict, header};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::body::{self, Body, Observer, Replay, Watched};
use crate::call::{Call, Cause, Refusal, Route};
use crate::decisions::{self, Kind, Versions};
use crate::edge::server::{self, Callers, Early, Limits};
use crate::holder;
use crate::intake::Flow;
use crate::kernel::{Context, Plugin, Port};
use crate::peers;
use crate::{dispatch, distribution};

mod receive;

/// Delay after which a caller may retry a request that arrived before the first
/// configuration. A daemon reads its configuration within a few milliseconds
/// unless the platform is unreachable.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Delay after which a caller may retry a request whose route may be in a newer
/// version that has not arrived yet.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(200);

inventory::submit! {
    Plugin {
        name: "caller",
        order: 40,
        builtin: true,
        port: Some(Port { flag: "entry", address: |settings| Some(settings.entry) }),
        run,
    }
}

fn run(
    context: Arc<Context>,
    listener: Option<TcpListener>,
    stop: CancellationToken,
) -> BoxFuture<'static, ()> {
    Box::pin(async move {
        let Some(listener) = listener else { return };
        let limits = {
            let context = Arc::clone(&context);
            move || {
                let max_connections = context.settings.caller_connections;
                Limits::current(&context, Limits::CALLERS, max_connections)
            }
        };
        let callers = Callers {
            early: early(&context),
            intake: Arc::clone(&context.intake),
        };
        let handle = move |request, peer| handle(Arc::clone(&context), request, peer);
        server::serve_callers(listener, limits, callers, stop, handle).await;
    })
}

/// Returns the rules for requests that start before their turn: those of
/// idempotent classes.
fn early(context: &Arc<Context>) -> Arc<Early> {
    let rules = Arc::clone(context);
    let may_start = move |head: &http::request::Parts| {
        let (method, path) = (head.method.as_str(), head.uri.path());
        rules.config.snapshot().is_some_and(|snapshot| {
            let class = snapshot.class(authority(head), method, path);
            class.is_some_and(|class| class.idempotent)
        })
    };
    let max_started = context.intake.limits().early_answers();
    let context = Arc::clone(context);
    Early::new(max_started, may_start, move |event| {
        context.metrics.count_pipelined(event)
    })
}

/// Serves one request of a caller, and logs it if it is refused.
async fn handle(context: Arc<Context>, request: Request<Body>, peer: SocketAddr) -> Response<Body> {
    let adapted = context.settings.adapter.is_some();
    let start = Instant::now();
    let id = platform::request_id(request.headers()).map(str::to_owned);
    let served = tokio::select! {
        served = serve(&context, request, peer) => served,
        () = context.drain_expired.cancelled() => {
            let reason = "the host stops before the answer came";
            Err(Refusal::may_have_run(StatusCode::GATEWAY_TIMEOUT, reason))
        }
    };
    match served {
        Ok(mut answer) => {
            if adapted {
                answer.headers_mut().remove(header::VERDICT);
            }
            answer
        }
        Err(refusal) => {
            if context.decisions.allow(Kind::Failed, context.now()) {
                let id = id.as_deref().unwrap_or_default();
                let versions = versions_in_force(&context);
                decisions::log_refused(id, "", &refusal, versions, start.elapsed());
            }
            match adapted {
                true => refusal_response(&refusal, id.as_deref()),
                false => refusal.to_response(),
            }
        }
    }
}

/// Returns the numbers of the version and host list in force.
fn versions_in_force(context: &Context) -> Versions {
    let current = context.config.current();
    Versions {
        version: current.version.map_or(0, |version| version.number),
        list: current.list_number,
    }
}

/// Returns the response of a refusal for a caller on an adapted platform. Such
/// a caller retries a request that did not run only if the status is 503.
fn refusal_response(refusal: &Refusal, id: Option<&str>) -> Response<Body> {
    let mut answer = refusal.to_response();
    if refusal.verdict == Verdict::NotRun && refusal.cause != Cause::Request {
        *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    let headers = answer.headers_mut();
    headers.remove(header::VERDICT);
    headers.remove(header::RETRY_AFTER_MS);
    platform::write_refusal(headers, id, refusal.retry_after);
    answer
}

/// Routes one request of a caller.
///
/// # Errors
///
/// Returns a refusal if no class matches the request, if the body is too large,
/// or if no host answers.
async fn serve(
    context: &Arc<Context>,
    request: Request<Body>,
    peer: SocketAddr,
) -> Result<Response<Body>, Refusal> {
    let adapted = context.settings.adapter.is_some();
    if !adapted {
        peers::wait_until_fresh(context).await;
    }
    let Some(snapshot) = context.config.snapshot() else {
        return Err(Refusal {
            retry_after: Some(UNCONFIGURED_RETRY_AFTER),
            ..Refusal::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "no configuration is in force yet",
            )
        });
    };
    let (head, body) = request.into_parts();
    let flow = head.extensions.get::<Flow>();
    let authority = authority(&head);
    let Some(class) = snapshot.class(authority, head.method.as_str(), head.uri.path()) else {
        if adapted && distribution::is_stale(context) {
            return Err(Refusal {
                retry_after: Some(STALE_RETRY_AFTER),
                ..Refusal::not_run(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "no class matches, and a newer configuration may have one",
                )
            });
        }
        return Err(Refusal::not_run(
            StatusCode::NOT_FOUND,
            "no class matches the method and path",
        ));
    };
    let limits = snapshot.document.limits;
    let limit = limits.map_or(context.settings.max_body_bytes, |limits| limits.body_bytes);
    if body.size_hint().lower() > limit {
        return Err(Refusal::not_run(
            StatusCode::PAYLOAD_TOO_LARGE,
            oversized_reason(limit),
        ));
    }
    let call = if adapted {
        let split_index = context.split_counter.fetch_add(1, Ordering::Relaxed);
        let route = Route {
            origin: context.settings.service.clone(),
            numbers: Numbers {
                version: snapshot.version.number,
                list: snapshot.list.number,
            },
            ..Route::default()
        };
        let peer = peer.ip();
        let mut call = Call::parse_adapted(&head, class, peer, Instant::now(), route, split_index);
        if let Some(limit) = platform::timeout(&head.headers) {
            let table = &context.dispatcher.table;
            let (age, longest) = table.observe_limit(&class.name, context.now(), limit);
            call.open_late_lane(longest, age);
        }
        call
    } else {
        Call::parse(&head, class, peer.ip(), Instant::now())?
    };
    let call = Arc::new(call);
    let body = Replay::new(body, limit);
    let mut record = Record {
        context: Arc::clone(context),
        call: Arc::clone(&call),
        body: body.clone(),
        versions: Versions {
            version: snapshot.version.number,
            list: snapshot.list.number,
        },
        start: Instant::now(),
        status: None,
        refused: false,
        success: false,
        verdict: Verdict::MayHaveRun,
    };
    let result = match receive::admit(flow, head.version, &call, &body).await {
        Err(refusal) => Err(refusal),
        // Work that may run more than once needs no record of its idempotency
        // key.
        Ok(()) if call.class.idempotent || adapted => {
            dispatch::serve(context, &snapshot, &call, &body).await
        }
        Ok(()) => holder::serve_at_entry(context, &snapshot, &call, &body).await,
    };
    match result {
        Ok(answer) => {
            record.success = !answer.status().is_server_error();
            record.status = Some(answer.status());
            record.verdict = Verdict::Ran;
            let limit = context.settings.max_body_bytes;
            Ok(answer.map(|body| Watched::wrap(body, call.deadline, limit, record)))
        }
        Err(mut refusal) => {
            attribute_to_body(&mut refusal, body.fault(), limit);
            record.verdict = refusal.verdict;
            record.refused = true;
            Err(refusal)
        }
    }
}

/// Returns the host name in a request's `Host` header or URI, without the port.
fn authority(head: &http::request::Parts) -> Option<&str> {
    let named = head.headers.get(http::header::HOST);
    let named = named.and_then(|value| value.to_str().ok());
    let authority = named.or_else(|| head.uri.authority().map(|authority| authority.as_str()))?;
    Some(authority.split(':').next().unwrap_or(authority))
}

/// Attributes a refusal to the caller's body if the body has a fault. The
/// verdict stays, because the upstream may have run the request with a part of
/// the body.
fn attribute_to_body(refusal: &mut Refusal, fault: Option<body::Fault>, limit: u64) {
    (refusal.status, refusal.reason) = match fault {
        None => return,
        Some(body::Fault::Oversized) => (StatusCode::PAYLOAD_TOO_LARGE, oversized_reason(limit)),
        Some(body::Fault::Broken) => (
            StatusCode::BAD_REQUEST,
            "the body is malformed or ended early".into(),
        ),
    };
    refusal.cause = Cause::Request;
}

fn oversized_reason(limit: u64) -> String {
    format!("the body is larger than {limit} bytes")
}

/// Adds a request to the results, the metrics and the log when the record is
/// dropped, which happens at the end of the answer.
struct Record {
    context: Arc<Context>,
    call: Arc<Call>,
    body: Replay,
    versions: Versions,
    start: Instant,
    /// Status of the upstream's answer, if there was one.
    status: Option<StatusCode>,
    /// Whether the daemon refused the request itself.
    refused: bool,
    success: bool,
    verdict: Verdict,
}

impl Drop for Record {
    fn drop(&mut self) {
        self.body.mark_answered();
        let latency = self.start.elapsed();
        let context = &self.context;
        let class = &self.call.class;
        context.results.record(class, latency, self.success);
        let seconds = latency.as_secs_f64();
        context
            .metrics
            .record_answer(&class.name, self.verdict, seconds);
        let Some(status) = self.status else {
            if !self.refused && context.decisions.allow(Kind::Failed, context.now()) {
                decisions::log_abandoned(&self.call, self.versions, latency);
            }
            return;
        };
        let kind = match self.success {
            true => Kind::Answered,
            false => Kind::Failed,
        };
        if context.decisions.allow(kind, context.now()) {
            let complete = self.success || status.is_server_error();
            decisions::log_answered(&self.call, status, self.versions, latency, complete);
        }
    }
}

impl Observer for Record {
    fn on_end(mut self, complete: bool) {
        self.success &= complete;
    }
}
