//! Callers, as an open-loop load generator.
//!
//! Requests start at their intended times, whether or not earlier requests have
//! ended.

pub mod plan;
pub mod results;

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use savorylane_wire::header;
use tokio::runtime;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::upstream::{REQUEST_ID, answer};
pub use plan::{Arrival, Class, Keys, Plan, Rate, Resend};
pub use results::{End, Figures, Outcome, Results};

/// Maximum time between two checks of the cancellation token.
const MAX_SLEEP: Duration = Duration::from_millis(50);

type Caller = Client<HttpConnector, Full<Bytes>>;

/// Starts a run. Requests are started during the plan's duration and until
/// `cancel` is cancelled; the run ends when all of them have ended.
///
/// # Panics
///
/// Panics if the plan has no entry or no caller.
pub fn spawn(plan: Plan, cancel: &CancellationToken) -> JoinHandle<Results> {
    assert!(plan.callers > 0, "the plan has no caller");
    let arrivals = plan.arrivals();
    let callers: Vec<Caller> = (0..plan.callers)
        .map(|n| build_caller(n, plan.http2))
        .collect();
    let plan = Arc::new(plan);
    let cancel = cancel.clone();
    let runtime = runtime::Handle::current();
    let started = Instant::now();
    tokio::spawn(async move {
        let (sender, mut receiver) = mpsc::unbounded_channel();
        let starter = {
            let plan = plan.clone();
            // Runs on a separate thread: tokio's timer would start requests up
            // to 1 ms late, and latencies from the intended start would include
            // that delay.
            tokio::task::spawn_blocking(move || {
                for (n, arrival) in arrivals.into_iter().enumerate() {
                    while let Some(wait) = arrival.at.checked_sub(started.elapsed()) {
                        thread::sleep(wait.min(MAX_SLEEP));
                        if cancel.is_cancelled() {
                            return;
                        }
                    }
                    let caller = callers[n % callers.len()].clone();
                    let request = run_request(plan.clone(), caller, n, arrival, started);
                    let sender = sender.clone();
                    runtime.spawn(async move { sender.send(request.await) });
                }
            })
        };
        let mut outcomes = Vec::new();
        // Ends when the starter and all requests have dropped their senders.
        while let Some(outcome) = receiver.recv().await {
            outcomes.push(outcome);
        }
        starter.await.expect("the starter does not panic");
        let classes = plan.classes.iter().enumerate();
        Results {
            classes: classes
                .map(|(index, class)| Figures::of(&class.name, index, &outcomes))
                .collect(),
            outcomes,
            elapsed: started.elapsed(),
        }
    })
}

fn build_caller(number: u8, http2: bool) -> Caller {
    let mut connector = HttpConnector::new();
    // All of 127.0.0.0/8 is loopback; daemons distinguish callers by their
    // source address.
    connector.set_local_address(Some(Ipv4Addr::new(127, 0, 1, number).into()));
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .http2_only(http2)
        .retry_canceled_requests(false)
        .build(connector)
}

/// Result of one attempt.
struct Attempt {
    end: End,
    headers: HeaderMap,
    /// Reason in an answer that a daemon generated; otherwise empty.
    reason: String,
}

async fn run_request(
    plan: Arc<Plan>,
    caller: Caller,
    number: usize,
    arrival: Arrival,
    started: Instant,
) -> Outcome {
    let class = &plan.classes[arrival.class];
    let id = format!("{}-{number}", plan.seed);
    let key = match class.keys {
        Keys::None => None,
        Keys::Opaque => Some(format!("key-{id}")),
        Keys::Timestamped => {
            let now = SystemTime::now().duration_since(UNIX_EPOCH);
            let ms = now.unwrap_or_default().as_millis();
            Some(format!("{ms}-{id}"))
        }
    };
    let body: Bytes = id.bytes().cycle().take(class.body_bytes).collect();
    let mut attempts = 0;
    loop {
        let entry = (arrival.entry + attempts as usize) % plan.entries.len();
        attempts += 1;
        let mut request = Request::builder()
            .method(&class.method)
            .uri(format!("http://{}{}", plan.entries[entry], class.path))
            .header(REQUEST_ID, &id)
            .header(header::TIMEOUT_MS, class.timeout.as_millis().to_string());
        if let Some(key) = &key {
            request = request.header(header::IDEMPOTENCY_KEY, key);
            if plan.resend.send_attempt_number {
                request = request.header(header::ATTEMPT, attempts);
            }
            if let Some(home) = &plan.home_region {
                request = request.header(header::HOME, home);
            }
        }
        let request = request
            .body(Full::new(body.clone()))
            .expect("the plan contains valid paths and header values");
        let began = Instant::now();
        let attempt = timeout(class.timeout, send_attempt(&caller, request, &id, &body)).await;
        let Attempt {
            end,
            headers,
            reason,
        } = attempt.unwrap_or(Attempt {
            end: End::Timeout,
            headers: HeaderMap::new(),
            reason: String::new(),
        });
        let last_attempt = began.elapsed();
        let broken = matches!(end, End::Cut | End::Timeout);
        if broken && key.is_some() && attempts < plan.resend.max_attempts {
            sleep(plan.resend.delay).await;
            continue;
        }
        let verdict = headers.get(header::VERDICT);
        return Outcome {
            class: arrival.class,
            key: key.unwrap_or(id),
            start: arrival.at,
            latency: started.elapsed().saturating_sub(arrival.at),
            last_attempt,
            end,
            reason,
            verdict: verdict.and_then(|value| value.to_str().ok()?.parse().ok()),
            attempts,
        };
    }
}

async fn send_attempt(
    caller: &Caller,
    request: Request<Full<Bytes>>,
    id: &str,
    body: &[u8],
) -> Attempt {
    let broken = Attempt {
        end: End::Cut,
        headers: HeaderMap::new(),
        reason: String::new(),
    };
    let Ok(answer) = caller.request(request).await else {
        return broken;
    };
    let (parts, content) = answer.into_parts();
    let Ok(content) = content.collect().await else {
        return broken;
    };
    let verdict = parts.headers.get(header::VERDICT);
    let refused = verdict.is_some_and(|verdict| verdict == "not-run");
    let content = content.to_bytes();
    let reason = match parse_reason(&content) {
        Some(reason) if parts.status != StatusCode::OK => reason,
        _ => String::new(),
    };
    let end = match parts.status {
        StatusCode::OK if answer::check(id, body, &content).is_err() => End::Wrong,
        StatusCode::OK => End::Done,
        _ if refused => End::Refused,
        _ => End::Failed,
    };
    Attempt {
        end,
        headers: parts.headers,
        reason,
    }
}

fn parse_reason(content: &[u8]) -> Option<String> {
    let explanation: serde_json::Value = serde_json::from_slice(content).ok()?;
    Some(explanation.get("reason")?.as_str()?.to_owned())
}
