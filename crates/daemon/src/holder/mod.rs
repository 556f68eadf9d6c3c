//! At-most-once execution of requests with an idempotency key.
//!
//! The entry forwards such a request to the holder of the key, which runs it or
//! replays the recorded answer.

pub mod rings;
mod runs;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{HeaderMap, Response, StatusCode};
use savorylane_intent::{Hash, Snapshot};
use savorylane_ledger::dedup::{self, Claim, Reason, Request, key_time};
use savorylane_ledger::entry::{Delivery, Fallback, fallback, receipt_timestamp};
use savorylane_ledger::ring;
use savorylane_wire::control::{Ring, Scope};
use savorylane_wire::{Incarnation, Verdict, header};

use crate::body::{Body, Replay};
use crate::call::{Call, Cause, Refusal};
use crate::dispatch;
use crate::dispatch::link::Monitor;
use crate::dispatch::remote::header_value;
use crate::edge::control::fetch_clock;
use crate::kernel::Context;
use crate::peers;

pub use rings::Rings;
pub use runs::{Runs, wall_ms};

/// Age at which a reading of a holder's clock is replaced. A reading that
/// precedes a request makes the request look older than it is, and requests
/// older than 10 s are refused.
const MAX_READING_AGE: Duration = Duration::from_secs(3);
/// Timeout of a query of a holder's clock.
const CLOCK_TIMEOUT: Duration = Duration::from_millis(500);

/// Reading of a holder's clock, made by an entry.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    /// Incarnation of the holder.
    pub incarnation: Incarnation,
    /// Time of the holder's own clock.
    pub clock: Duration,
    /// Time at which the entry received the answer, by the entry's clock. The
    /// holder read its clock before.
    pub answered_at: Duration,
}

/// Information that the entry sends along with a request to the holder.
#[derive(Clone, Copy, Debug)]
pub struct Handoff {
    /// Incarnation of the holder that the entry addresses.
    pub incarnation: Incarnation,
    /// Hash of the key's ring, computed from the entry's host list.
    pub ring_hash: Hash,
    /// Time by the holder's clock that is not later than the receipt of the
    /// request at the entry.
    pub receipt_timestamp: Duration,
}

impl Handoff {
    fn encode(&self) -> String {
        format!(
            "{} {} {}",
            self.incarnation,
            self.ring_hash,
            self.receipt_timestamp.as_micros()
        )
    }

    /// Parses the text form of a handoff.
    pub fn decode(text: &str) -> Option<Self> {
        let mut fields = text.split(' ');
        let handoff = Self {
            incarnation: fields.next()?.parse().ok()?,
            ring_hash: fields.next()?.parse().ok()?,
            receipt_timestamp: Duration::from_micros(fields.next()?.parse().ok()?),
        };
        fields.next().is_none().then_some(handoff)
    }
}

/// Serves a request at the entry, through the holder if it has a key.
///
/// # Errors
///
/// Returns the refusal of the holder, or that of the entry if the holder is
/// unreachable.
pub async fn serve_at_entry(
    context: &Arc<Context>,
    snapshot: &Arc<Snapshot>,
    call: &Arc<Call>,
    body: &Replay,
) -> Result<Response<Body>, Refusal> {
    let received_at = context.now();
    let Some(key) = &call.key else {
        return dispatch::serve(context, snapshot, call, body).await;
    };
    buffer_body(call, body).await?;
    let ring = context.rings.ring(snapshot, scope(call));
    let Some(holder) = ring::holder(&ring, &scoped_key(call, key)).map(str::to_owned) else {
        return Err(refuse_unknown(call, "no host holds keys of this region"));
    };
    if holder == context.settings.host {
        let handoff = Handoff {
            incarnation: context.key_incarnation,
            ring_hash: ring.hash,
            receipt_timestamp: received_at,
        };
        return serve_at_holder(context, snapshot, call, body, &handoff).await;
    }
    let Some(host) = snapshot.host(&holder) else {
        return Err(refuse_unknown(
            call,
            "the holder of the key is not in the host list",
        ));
    };
    let Some(reading) = read_clock(context, &holder, host.control, received_at).await else {
        // Nothing was sent to the holder, so a first attempt may still run.
        return run_without_holder(context, snapshot, call, body, Delivery::Never).await;
    };
    let handoff = Handoff {
        incarnation: reading.incarnation,
        ring_hash: ring.hash,
        receipt_timestamp: receipt_timestamp(reading.clock, reading.answered_at, received_at),
    };
    forward(context, snapshot, call, body, host.data, &ring, &handoff).await
}

/// Forwards a request to the holder of its key.
async fn forward(
    context: &Arc<Context>,
    snapshot: &Arc<Snapshot>,
    call: &Arc<Call>,
    body: &Replay,
    address: SocketAddr,
    ring: &Ring,
    handoff: &Handoff,
) -> Result<Response<Body>, Refusal> {
    let mut extra = HeaderMap::new();
    let from = format!("{}/{}", context.settings.host, context.incarnation());
    extra.insert(header::FROM, header_value(&from));
    extra.insert(header::HOLD, header_value(&handoff.encode()));
    if let Some(home) = &ring.scope.home {
        extra.insert(header::HOME, header_value(home));
    }
    let clients = &context.dispatcher.clients;
    // The caller may send the request again after any refusal.
    let monitor = Monitor {
        cancel_when_superseded: true,
        ..Monitor::default()
    };
    let reply = clients
        .send(address, call, extra, body.attempt_body(), &monitor)
        .await;
    match reply.result {
        Err(refusal) if refusal.cause == Cause::Away && reply.load.is_none() => {
            let delivery = match refusal.verdict {
                Verdict::NotRun => Delivery::Never,
                Verdict::MayHaveRun | Verdict::Ran => Delivery::Unknown,
            };
            run_without_holder(context, snapshot, call, body, delivery).await
        }
        result => result,
    }
}

/// Serves a request with a key whose holder is unreachable.
async fn run_without_holder(
    context: &Arc<Context>,
    snapshot: &Arc<Snapshot>,
    call: &Arc<Call>,
    body: &Replay,
    delivery: Delivery,
) -> Result<Response<Body>, Refusal> {
    match fallback(call.attempt, delivery) {
        // The rest of a body must not be taken for the complete body.
        Fallback::RunElsewhere if !body.is_repeatable() => Err(refuse_unknown(
            call,
            "the holder of the key is away, and the start of the body was sent already",
        )),
        Fallback::RunElsewhere => dispatch::serve(context, snapshot, call, body).await,
        Fallback::Refuse(verdict) => Err(Refusal {
            verdict,
            cause: Cause::Away,
            ..Refusal::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "the holder of the key cannot be reached",
            )
        }),
    }
}

/// Serves a request at the holder of its key: runs it, waits for the attempt
/// that is running, or replays the recorded answer.
///
/// # Errors
///
/// Returns a refusal whose verdict covers all attempts with the key.
pub async fn serve_at_holder(
    context: &Arc<Context>,
    snapshot: &Arc<Snapshot>,
    call: &Arc<Call>,
    body: &Replay,
    handoff: &Handoff,
) -> Result<Response<Body>, Refusal> {
    buffer_body(call, body).await?;
    let key = call.key.as_deref().unwrap_or_default();
    let scoped_key = scoped_key(call, key);
    peers::detect_pause(context);
    let now = context.now();
    let request = Request {
        key: &scoped_key,
        attempt: call.attempt,
        key_ms: key_time(key),
        age: dedup::age(now, handoff.receipt_timestamp),
        incarnation: handoff.incarnation,
        ring_hash: handoff.ring_hash,
    };
    let claim = context.rings.with_lease(&scope(call), |lease| {
        context.runs.claim(lease, now, &request)
    });
    match claim {
        None => Err(refuse_unknown(call, "this host knows no ring for the key")),
        Some(Claim::Run) => runs::run(context, snapshot, call, body, scoped_key).await,
        Some(Claim::Wait) => runs::wait(context, call, &scoped_key).await,
        Some(Claim::Replay(answer)) => runs::replay(answer),
        Some(Claim::Refuse(verdict, reason)) => Err(refusal(verdict, reason)),
    }
}

/// Reads a small body completely before the key is claimed or anything is sent.
async fn buffer_body(call: &Call, body: &Replay) -> Result<(), Refusal> {
    let refuse = |reason| Refusal {
        cause: Cause::Request,
        ..refuse_unknown(call, reason)
    };
    match tokio::time::timeout(remaining(call), body.buffer_if_small()).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) => Err(refuse("the body of the request was cut")),
        Err(_) => Err(refuse("the body of the request did not come in time")),
    }
}

/// Returns the scope of a call's key.
fn scope(call: &Call) -> Scope {
    Scope {
        service: call.class.service.clone(),
        home: call.home.clone(),
    }
}

/// Returns the key under which the holder records a request. Callers choose
/// keys that are unique within a service, so the recorded key includes the
/// service.
fn scoped_key(call: &Call, key: &str) -> String {
    format!("{}\n{key}", call.class.service)
}

/// Returns the last reading of the holder's clock if it is younger than
/// [`MAX_READING_AGE`], or a new one.
async fn read_clock(
    context: &Context,
    holder: &str,
    address: SocketAddr,
    received_at: Duration,
) -> Option<Reading> {
    if let Some(reading) = context.rings.clock(holder)
        && received_at.saturating_sub(reading.answered_at) < MAX_READING_AGE
    {
        return Some(reading);
    }
    let answer = tokio::time::timeout(CLOCK_TIMEOUT, fetch_clock(context, address)).await;
    let (incarnation, clock) = answer.ok()??;
    let reading = Reading {
        incarnation,
        clock,
        answered_at: context.now(),
    };
    context.rings.store_clock(holder, reading);
    Some(reading)
}

/// Returns the refusal of a call of which this daemon does not know whether
/// earlier attempts ran. Attempt 1 has no earlier attempts, so it did not run.
fn refuse_unknown(call: &Call, reason: &str) -> Refusal {
    let refusal = Refusal::may_have_run(StatusCode::SERVICE_UNAVAILABLE, reason);
    match call.attempt {
        Some(1) => Refusal {
            verdict: Verdict::NotRun,
            ..refusal
        },
        _ => refusal,
    }
}

/// Returns the refusal for a decision of the deduplication table.
fn refusal(verdict: Verdict, reason: Reason) -> Refusal {
    let text = match reason {
        Reason::Incarnation => "the holder of the key was restarted",
        Reason::Age => "the request took too long to reach the holder of the key",
        Reason::Ring => "entry and holder follow different host lists",
        Reason::Unconfirmed => "the holder of the key is cut off from the other members",
        Reason::Uncovered => "the holder of the key does not remember long enough",
        Reason::Expired => "the key is too old",
        Reason::UnseenAttempt => "an earlier attempt with the key was not seen here",
        Reason::Indeterminate => "an earlier attempt with the key may have run",
        Reason::Stale => "the key was refused after this request was sent",
        Reason::Full => "the holder remembers no further keys",
    };
    Refusal {
        verdict,
        ..Refusal::not_run(StatusCode::CONFLICT, text)
    }
}

/// Returns the time until the deadline of a call.
fn remaining(call: &Call) -> Duration {
    call.remaining(Instant::now())
}
