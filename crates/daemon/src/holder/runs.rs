//! Requests that this daemon runs as the holder of their keys, and the attempts
//! that wait for their outcomes.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::{Bytes, BytesMut};
use http::{HeaderName, HeaderValue, Response, StatusCode};
use http_body::{Body as _, Frame};
use http_body_util::{BodyExt, StreamBody};
use savorylane_intent::Snapshot;
use savorylane_ledger::dedup::{Answer, Claim, Request, Table};
use savorylane_ledger::{Lease, Settings};
use savorylane_wire::{Incarnation, Verdict, header};
use tokio::sync::watch;

use super::remaining;
use crate::body::{self, Body, Replay};
use crate::call::{Call, Refusal};
use crate::dispatch;
use crate::kernel::Context;

/// Outcome of a request for the attempts that wait; `None` for an answer that
/// is too large to keep.
type Outcome = Result<Option<Arc<Answer>>, Refusal>;

/// Deduplication table of this daemon, and the attempts that wait for a key.
///
/// Invariant: a key has an entry in `waiters` exactly while a request with the
/// key runs.
#[derive(Debug)]
pub struct Runs {
    inner: Mutex<Inner>,
    max_answer_bytes: usize,
}

#[derive(Debug)]
struct Inner {
    table: Table,
    waiters: HashMap<String, watch::Sender<Option<Outcome>>>,
}

impl Runs {
    /// Creates the empty table of the daemon with `incarnation`, which has just
    /// started.
    pub fn new(settings: Settings, incarnation: Incarnation) -> Self {
        Self {
            inner: Mutex::new(Inner {
                table: Table::new(settings, incarnation),
                waiters: HashMap::new(),
            }),
            max_answer_bytes: settings.max_answer_bytes,
        }
    }

    /// Decides on a request, and registers its key for waiters if it is to run.
    pub fn claim(&self, lease: &Lease, now: Duration, request: &Request<'_>) -> Claim {
        let mut inner = self.lock();
        let claim = inner.table.claim(lease, now, wall_ms(), request);
        if claim == Claim::Run {
            let (sender, _) = watch::channel(None);
            inner.waiters.insert(request.key.to_owned(), sender);
        }
        claim
    }

    /// Records the outcome of a request and passes it to the waiting attempts.
    fn record_outcome(&self, now: Duration, key: &str, verdict: Verdict, outcome: Outcome) {
        let mut inner = self.lock();
        let answer = match &outcome {
            Ok(answer) => answer.as_deref().cloned(),
            Err(_) => None,
        };
        inner.table.finish(now, key, verdict, answer);
        if let Some(sender) = inner.waiters.remove(key) {
            sender.send_replace(Some(outcome));
        }
    }

    fn subscribe(&self, key: &str) -> Option<watch::Receiver<Option<Outcome>>> {
        self.lock().waiters.get(key).map(watch::Sender::subscribe)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running request. If this is dropped without an outcome, the request is
/// recorded as possibly run.
struct Running {
    context: Arc<Context>,
    key: String,
    /// Whether the outcome was recorded.
    recorded: bool,
}

impl Running {
    fn record_outcome(mut self, verdict: Verdict, outcome: Outcome) {
        self.recorded = true;
        let now = self.context.now();
        self.context
            .runs
            .record_outcome(now, &self.key, verdict, outcome);
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if !self.recorded {
            let refusal = abandoned();
            let now = self.context.now();
            let runs = &self.context.runs;
            runs.record_outcome(now, &self.key, refusal.verdict, Err(refusal));
        }
    }
}

/// Runs a request whose key was claimed. If its body was received completely,
/// the request runs to its end even if the caller disconnects, so that a resend
/// gets the outcome.
pub(super) async fn run(
    context: &Arc<Context>,
    snapshot: &Arc<Snapshot>,
    call: &Arc<Call>,
    body: &Replay,
    key: String,
) -> Result<Response<Body>, Refusal> {
    let running = Running {
        context: Arc::clone(context),
        key,
        recorded: false,
    };
    let (context, snapshot) = (Arc::clone(context), Arc::clone(snapshot));
    let (call, body) = (Arc::clone(call), body.clone());
    let detached = body.is_buffered();
    let work = async move {
        match dispatch::serve(&context, &snapshot, &call, &body).await {
            Ok(answer) => Ok(record_answer(running, answer).await),
            Err(refusal) => {
                running.record_outcome(refusal.verdict, Err(refusal.clone()));
                Err(refusal)
            }
        }
    };
    if !detached {
        return work.await;
    }
    match tokio::spawn(work).await {
        Ok(result) => result,
        Err(_) => Err(abandoned()),
    }
}

/// Records an answer for resends, and returns it. An answer that is too large
/// to keep is streamed, and its key is recorded as `ran` without an answer.
async fn record_answer(running: Running, answer: Response<Body>) -> Response<Body> {
    let max_bytes = running.context.runs.max_answer_bytes;
    let (head, mut body) = answer.into_parts();
    let mut read = BytesMut::new();
    let mut read_error = None;
    while read.len() <= max_bytes {
        match body.frame().await {
            None => break,
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    read.extend_from_slice(&bytes);
                }
            }
            Some(Err(error)) => {
                read_error = Some(error);
                break;
            }
        }
    }
    let read = read.freeze();
    if read_error.is_none() && body.is_end_stream() && read.len() <= max_bytes {
        let answer = Arc::new(stored_answer(&head, &read));
        running.record_outcome(Verdict::Ran, Ok(Some(answer)));
        return Response::from_parts(head, body::full(read));
    }
    running.record_outcome(Verdict::Ran, Ok(None));
    Response::from_parts(head, rejoin(read, read_error, body))
}

/// Returns a body of the bytes that were read, followed by the rest of the body
/// or by the error that truncated it.
fn rejoin(read: Bytes, error: Option<body::Error>, rest: Body) -> Body {
    use futures::StreamExt;
    let first = futures::stream::iter([Ok(Frame::data(read))]);
    match error {
        Some(error) => {
            let end = futures::stream::iter([Err(error)]);
            BodyExt::boxed_unsync(StreamBody::new(first.chain(end)))
        }
        None => {
            let rest = http_body_util::BodyStream::new(rest);
            BodyExt::boxed_unsync(StreamBody::new(first.chain(rest)))
        }
    }
}

/// Returns an answer in the form in which the table stores it. Headers that are
/// not text are omitted.
fn stored_answer(head: &http::response::Parts, body: &Bytes) -> Answer {
    let headers = head.headers.iter().filter_map(|(name, value)| {
        let value = value.to_str().ok()?;
        Some((name.as_str().to_owned(), value.to_owned()))
    });
    Answer {
        status: head.status.as_u16(),
        headers: headers.collect(),
        body: Arc::from(body.as_ref()),
    }
}

/// Waits for the running attempt, and returns its outcome.
pub(super) async fn wait(
    context: &Arc<Context>,
    call: &Call,
    key: &str,
) -> Result<Response<Body>, Refusal> {
    let Some(mut outcome) = context.runs.subscribe(key) else {
        return Err(abandoned());
    };
    let outcome = async move {
        let outcome = outcome.wait_for(Option::is_some).await;
        outcome.ok().and_then(|outcome| outcome.clone())
    };
    match tokio::time::timeout(remaining(call), outcome).await {
        Ok(Some(Ok(answer))) => replay(answer),
        Ok(Some(Err(refusal))) => Err(refusal),
        Ok(None) => Err(abandoned()),
        Err(_) => Err(Refusal::may_have_run(
            StatusCode::GATEWAY_TIMEOUT,
            "an earlier attempt with the key is still running",
        )),
    }
}

/// Returns the recorded answer of a request that ran, or a refusal if the
/// answer was too large to keep.
pub(super) fn replay(answer: Option<Arc<Answer>>) -> Result<Response<Body>, Refusal> {
    let Some(answer) = answer else {
        return Err(Refusal {
            verdict: Verdict::Ran,
            ..Refusal::not_run(
                StatusCode::CONFLICT,
                "the key ran; its answer was too large to keep",
            )
        });
    };
    let mut response = Response::new(body::full(Bytes::copy_from_slice(&answer.body)));
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    for (name, value) in &answer.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            headers.append(name, value);
        }
    }
    headers.insert(
        header::VERDICT,
        HeaderValue::from_static(Verdict::Ran.as_str()),
    );
    Ok(response)
}

/// Returns the refusal for an attempt that ended without an outcome.
fn abandoned() -> Refusal {
    Refusal::may_have_run(
        StatusCode::BAD_GATEWAY,
        "an attempt with the key was given up",
    )
}

/// Returns the time of the wall clock in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis() as u64
}
