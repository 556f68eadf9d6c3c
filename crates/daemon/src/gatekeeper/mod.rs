//! Gatekeeper: admits requests to the host's upstream and makes the verdict.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::{HeaderValue, Response, StatusCode};
use savorylane_policy::gate::{Action, Decision, Finish, Gate, Reason, Work};
use savorylane_wire::{Load, Verdict, header};
use tokio::sync::oneshot;

use crate::body::{Body, Observer, Watched};
use crate::call::{Call, Refusal};
use crate::edge::upstream::{self, Upstream};

/// Gate of the host's upstream and the requests that wait at it.
#[derive(Debug)]
pub struct Gatekeeper {
    start: Instant,
    next_id: AtomicU64,
    inner: Mutex<Inner>,
    upstream: Upstream,
}

#[derive(Debug)]
struct Inner {
    gate: Gate,
    waiters: HashMap<u64, oneshot::Sender<Result<(), Reason>>>,
}

/// A slot of the upstream; given back when dropped.
struct Slot {
    gatekeeper: Arc<Gatekeeper>,
    id: u64,
    finish: Finish,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.gatekeeper.finish(self.id, self.finish);
    }
}

impl Observer for Slot {
    fn end(mut self, whole: bool) {
        if whole {
            self.finish = Finish::Answered;
        }
    }
}

impl Gatekeeper {
    /// Opens the gate of `upstream` with `slots` slots.
    pub fn open(slots: usize, upstream: Upstream) -> Arc<Self> {
        Arc::new(Self {
            start: Instant::now(),
            next_id: AtomicU64::new(1),
            inner: Mutex::new(Inner {
                gate: Gate::new(slots),
                waiters: HashMap::new(),
            }),
            upstream,
        })
    }

    /// Runs a request at the upstream.
    ///
    /// # Errors
    ///
    /// Returns a refusal whose verdict says whether the request may have run.
    pub async fn run(self: &Arc<Self>, call: &Call, body: Body) -> Result<Response<Body>, Refusal> {
        let mut slot = self.admit(call).await?;
        let remaining = call.remaining(Instant::now());
        let sent = self.upstream.send(call, body);
        let answer = match tokio::time::timeout(remaining, sent).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(upstream::Failure::Connect)) => {
                slot.finish = Finish::Died;
                return Err(Refusal::not_run(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "the upstream refuses connections",
                ));
            }
            Ok(Err(upstream::Failure::Broken)) => {
                slot.finish = Finish::Died;
                return Err(Refusal::unknown(
                    StatusCode::BAD_GATEWAY,
                    "the connection to the upstream broke",
                ));
            }
            Err(_) => {
                return Err(Refusal::unknown(
                    StatusCode::GATEWAY_TIMEOUT,
                    "the upstream did not answer in time",
                ));
            }
        };
        let (mut head, body) = answer.into_parts();
        head.headers = crate::call::passed_on(&head.headers);
        head.headers.insert(
            header::VERDICT,
            HeaderValue::from_static(Verdict::Ran.as_str()),
        );
        let body = Watched::wrap(body, call.deadline, slot);
        Ok(Response::from_parts(head, body))
    }

    /// Refuses new work from now on.
    pub fn leave(&self) {
        self.lock().gate.leave();
    }

    /// Returns the load of the upstream.
    pub fn load(&self) -> Load {
        self.lock().gate.load()
    }

    async fn admit(self: &Arc<Self>, call: &Call) -> Result<Slot, Refusal> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let now = self.now();
        let work = Work {
            id,
            length: call.class.work,
            shed_order: call.class.shed_order,
            deadline: call.deadline.saturating_duration_since(self.start),
            caller: call.caller_hash(),
        };
        let waiting = {
            let mut inner = self.lock();
            match inner.gate.arrive(now, work) {
                Decision::Run => None,
                Decision::Refuse(reason) => return Err(refuse(reason)),
                Decision::Wait => {
                    let (wake, waiting) = oneshot::channel();
                    inner.waiters.insert(id, wake);
                    Some(waiting)
                }
            }
        };
        // The slot is given back, or the place in the queue given up, however
        // this future ends.
        let slot = Slot {
            gatekeeper: Arc::clone(self),
            id,
            finish: Finish::Cancelled,
        };
        let Some(waiting) = waiting else {
            return Ok(slot);
        };
        let remaining = call.remaining(Instant::now());
        match tokio::time::timeout(remaining, waiting).await {
            Ok(Ok(Ok(()))) => Ok(slot),
            Ok(Ok(Err(reason))) => Err(refuse(reason)),
            Ok(Err(_)) | Err(_) => Err(refuse(Reason::Deadline)),
        }
    }

    fn finish(&self, id: u64, finish: Finish) {
        let now = self.now();
        let mut inner = self.lock();
        inner.waiters.remove(&id);
        inner.gate.finish(now, id, finish);
        while let Some(action) = inner.gate.next(now) {
            let (id, result) = match action {
                Action::Start(id) => (id, Ok(())),
                Action::Refuse(id, reason) => (id, Err(reason)),
            };
            let Some(wake) = inner.waiters.remove(&id) else {
                inner.gate.finish(now, id, Finish::Cancelled);
                continue;
            };
            // A receiver that is gone gives its slot back when it is dropped.
            let _ = wake.send(result);
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn refuse(reason: Reason) -> Refusal {
    let text = match reason {
        Reason::Leaving => "the host leaves",
        Reason::Full => "the queue of the upstream is full",
        Reason::Deadline => "the deadline cannot be met",
    };
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, text)
}
