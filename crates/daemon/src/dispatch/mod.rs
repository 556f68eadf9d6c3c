//! Chooses a host for a request, sends it there and tries again where that is
//! allowed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use savorylane_intent::document::Work;
use savorylane_intent::hosts::{Host, State};
use savorylane_intent::{Snapshot, hosts};
use savorylane_policy::route::{self, Candidate, Distance, Estimate};
use savorylane_wire::{Verdict, header};

use crate::body::{Body, Observer, Replay, Watched};
use crate::call::{Call, Refusal};
use crate::edge::server::{PING_INTERVAL, PING_TIMEOUT};
use crate::edge::upstream::target;
use crate::kernel::Context;

/// Hosts that one request is sent to, at most.
const ATTEMPTS_MAX: usize = 3;
/// Time for a connection to another daemon to be opened.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Clients and estimates of the other daemons.
#[derive(Debug)]
pub struct Dispatcher {
    short: Client<HttpConnector, Body>,
    long: Client<HttpConnector, Body>,
    estimates: Mutex<HashMap<String, Arc<Estimate>>>,
}

impl Default for Dispatcher {
    fn default() -> Self {
        Self {
            short: client(),
            long: client(),
            estimates: Mutex::default(),
        }
    }
}

/// Counts a request in its host's estimate until it ends.
struct Pending(Arc<Estimate>);

impl Drop for Pending {
    fn drop(&mut self) {
        self.0.end();
    }
}

impl Observer for Pending {
    fn end(self, _whole: bool) {}
}

/// Serves a call at one of the hosts of its service.
///
/// # Errors
///
/// Returns the refusal of the last attempt.
pub async fn serve(
    context: &Arc<Context>,
    snapshot: &Snapshot,
    call: &Call,
    body: &Replay,
) -> Result<Response<Body>, Refusal> {
    let mut tried: Vec<&str> = Vec::new();
    let mut last = Refusal::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        format!("service {} has no host", call.class.service),
    );
    while tried.len() < ATTEMPTS_MAX {
        let Some(host) = choose(context, snapshot, call, &tried) else {
            break;
        };
        tried.push(&host.name);
        last = match attempt(context, host, call, body.attempt()).await {
            Ok(answer) => return Ok(answer),
            Err(refusal) => refusal,
        };
        let repeatable = last.verdict == Verdict::NotRun || call.class.idempotent;
        if !repeatable || !body.repeatable() || call.remaining(Instant::now()).is_zero() {
            break;
        }
    }
    Err(last)
}

fn choose<'a>(
    context: &Context,
    snapshot: &'a Snapshot,
    call: &Call,
    tried: &[&str],
) -> Option<&'a Host> {
    let hosts: Vec<&Host> = snapshot
        .hosts(&call.class.service)
        .filter(|host| host.state == State::Live && !tried.contains(&host.name.as_str()))
        .collect();
    let estimates: Vec<Arc<Estimate>> = hosts
        .iter()
        .map(|host| context.dispatcher.estimate(&host.name))
        .collect();
    let candidates: Vec<Candidate<'_>> = hosts
        .iter()
        .zip(&estimates)
        .map(|(host, estimate)| Candidate {
            estimate,
            distance: distance(context, host),
        })
        .collect();
    route::choose(&mut rand::rng(), &candidates).map(|index| hosts[index])
}

fn distance(context: &Context, host: &hosts::Host) -> Distance {
    let settings = &context.settings;
    if host.name == settings.host {
        Distance::Host
    } else if host.data_centre == settings.data_centre {
        Distance::DataCentre
    } else if host.region == settings.region {
        Distance::Region
    } else {
        Distance::Far
    }
}

async fn attempt(
    context: &Arc<Context>,
    host: &Host,
    call: &Call,
    body: Body,
) -> Result<Response<Body>, Refusal> {
    let estimate = context.dispatcher.estimate(&host.name);
    estimate.begin();
    let pending = Pending(estimate);
    let answer = if host.name == context.settings.host {
        context.gatekeeper.run(call, body).await?
    } else {
        send(context, host.data, call, body).await?
    };
    Ok(answer.map(|body| Watched::wrap(body, call.deadline, pending)))
}

async fn send(
    context: &Context,
    address: SocketAddr,
    call: &Call,
    body: Body,
) -> Result<Response<Body>, Refusal> {
    let mut request = Request::new(body);
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = target(address, &call.uri);
    *request.headers_mut() = call.headers.clone();
    let remaining = call.remaining(Instant::now());
    let headers = request.headers_mut();
    headers.insert(
        header::TIMEOUT_MS,
        HeaderValue::from((remaining.as_millis() as u64).max(1)),
    );
    headers.insert(header::CLASS, value(&call.class.name));
    headers.insert(header::CALLER, value(&call.caller.to_string()));
    headers.insert(header::FROM, value(&context.settings.host));
    let client = match call.class.work {
        Work::Short => &context.dispatcher.short,
        Work::Long => &context.dispatcher.long,
    };
    let answer = match tokio::time::timeout(remaining, client.request(request)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) if error.is_connect() => {
            return Err(Refusal::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "the host refuses connections",
            ));
        }
        Ok(Err(_)) => {
            return Err(Refusal::unknown(
                StatusCode::BAD_GATEWAY,
                "the connection to the host broke",
            ));
        }
        Err(_) => {
            return Err(Refusal::unknown(
                StatusCode::GATEWAY_TIMEOUT,
                "the host did not answer in time",
            ));
        }
    };
    let verdict = answer
        .headers()
        .get(header::VERDICT)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse::<Verdict>().ok());
    match verdict {
        Some(Verdict::Ran) => Ok(answer.map(|body| body.map_err(Into::into).boxed_unsync())),
        Some(verdict) => Err(Refusal {
            status: answer.status(),
            reason: reason(answer).await,
            verdict,
            retry_after: None,
        }),
        None => Err(Refusal::unknown(
            StatusCode::BAD_GATEWAY,
            "the host answered without a verdict",
        )),
    }
}

/// Reads the reason out of a refusal that another daemon made.
async fn reason(answer: Response<hyper::body::Incoming>) -> String {
    const REASON_BYTES: usize = 4096;
    let body = http_body_util::Limited::new(answer.into_body(), REASON_BYTES);
    let bytes = match body.collect().await {
        Ok(collected) => collected.to_bytes(),
        Err(_) => return "the host refused the request".into(),
    };
    serde_json::from_slice::<serde_json::Value>(&bytes)
        .ok()
        .and_then(|value| value.get("reason")?.as_str().map(str::to_owned))
        .unwrap_or_else(|| "the host refused the request".into())
}

/// Returns a header value of `text`.
///
/// # Panics
///
/// Panics for text with control characters; names are checked on reading.
fn value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("a checked name is a valid header value")
}

impl Dispatcher {
    fn estimate(&self, host: &str) -> Arc<Estimate> {
        let mut estimates = self
            .estimates
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(estimate) = estimates.get(host) {
            return Arc::clone(estimate);
        }
        let estimate = Arc::<Estimate>::default();
        estimates.insert(host.into(), Arc::clone(&estimate));
        estimate
    }
}

fn client() -> Client<HttpConnector, Body> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .http2_only(true)
        .timer(TokioTimer::new())
        .pool_timer(TokioTimer::new())
        .http2_keep_alive_interval(PING_INTERVAL)
        .http2_keep_alive_timeout(PING_TIMEOUT)
        .http2_keep_alive_while_idle(true)
        .build(connector)
}
