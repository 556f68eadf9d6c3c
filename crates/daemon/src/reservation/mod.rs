//! Admission of large bodies to the link of this host.
//!
//! An entry asks for capacity before it sends a large body, and sends the body
//! once it is granted. A refusal then uses no bandwidth, and few bodies share
//! the link at a time ([`savorylane_policy::transfer`]).

use std::collections::HashMap;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Poll, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::StatusCode;
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use savorylane_policy::gate::Decision;
use savorylane_policy::transfer::{Limiter, Transfer, concurrent_bodies};
use tokio::sync::oneshot;

use crate::body::{Body, Error};
use crate::call::{Call, Cause, Refusal};
use crate::decisions::{self, Kind};
use crate::edge::server;
use crate::kernel::Context;
use crate::waiters::{self, Waiters};

/// Maximum size of a body that is sent without a reservation. Most requests
/// stay below it and so save the round trip that a reservation takes.
pub const MAX_UNRESERVED_BYTES: u32 = 16 << 10;
/// Time after which a permit lapses if its body has not begun to arrive.
const PERMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// Reservations on the link of this host.
#[derive(Debug)]
pub struct Reservations {
    start: Instant,
    next_id: AtomicU64,
    /// `None` if the link is faster than the upstream reads, so that nothing
    /// needs a reservation.
    inner: Option<Mutex<Inner>>,
}

#[derive(Debug)]
struct Inner {
    limiter: Limiter,
    waiters: Waiters,
    /// Permits whose bodies have not begun to arrive, by reservation number.
    granted: HashMap<u64, Permit>,
}

/// Capacity for one body, or its place in the queue; released when dropped.
#[derive(Debug)]
pub struct Permit {
    reservations: Arc<Reservations>,
    id: u64,
    /// Whether the whole body has arrived.
    complete: bool,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.reservations.release(self.id, self.complete);
    }
}

/// Occupancy of the link.
#[derive(Clone, Copy, Debug, Default)]
pub struct State {
    /// Number of bodies with a permit.
    pub active: u32,
    /// Number of bodies that wait for a permit.
    pub waiting: u32,
    /// Time that one more body is expected to wait.
    pub expected_wait: Duration,
}

impl Reservations {
    /// Creates the reservations of a link of `mbps` megabits per second; 0 if
    /// the rate is unknown.
    pub fn new(mbps: u32) -> Arc<Self> {
        let window = server::stream_window(mbps);
        let inner = server::bodies_can_saturate(mbps).then(|| {
            Mutex::new(Inner {
                limiter: Limiter::new(concurrent_bodies(mbps, window)),
                waiters: Waiters::default(),
                granted: HashMap::new(),
            })
        });
        Arc::new(Self {
            start: Instant::now(),
            next_id: AtomicU64::new(1),
            inner,
        })
    }

    /// Returns the size in bytes above which a body needs a reservation; 0 if
    /// none needs one.
    pub fn required_above(&self) -> u32 {
        match self.inner {
            Some(_) => MAX_UNRESERVED_BYTES,
            None => 0,
        }
    }

    /// Returns the current occupancy of the link.
    pub fn state(&self) -> State {
        self.lock().map_or_else(State::default, |inner| State {
            active: inner.limiter.active() as u32,
            waiting: inner.limiter.waiting() as u32,
            expected_wait: inner.limiter.retry_after(),
        })
    }

    /// Waits until the link has capacity for the body of a call, and returns
    /// the number of the reservation, which the request of the body names.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the body would arrive too late.
    pub async fn reserve(self: &Arc<Self>, call: &Call) -> Result<u64, Refusal> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let waiting = self.request_permit(id, call)?;
        let permit = Permit {
            reservations: Arc::clone(self),
            id,
            complete: false,
        };
        if let Some(waiting) = waiting {
            let remaining = call.remaining(Instant::now());
            let outcome = tokio::time::timeout(remaining, waiting).await;
            if !matches!(outcome, Ok(Ok(Ok(())))) {
                return Err(self
                    .lock()
                    .map_or_else(refuse_late, |inner| refuse_with_wait(&inner.limiter)));
            }
        }
        self.grant(permit);
        Ok(id)
    }

    /// Asks the limiter for a permit. Returns the receiver of the decision if
    /// the body has to wait, `None` if it may be sent now.
    fn request_permit(
        &self,
        id: u64,
        call: &Call,
    ) -> Result<Option<oneshot::Receiver<waiters::Outcome>>, Refusal> {
        let Some(mut inner) = self.lock() else {
            return Ok(None);
        };
        let transfer = Transfer {
            id,
            shed_order: call.class.shed_order,
            deadline: call.deadline.saturating_duration_since(self.start),
            target: call.target.saturating_duration_since(self.start),
        };
        match inner.limiter.arrive(self.now(), transfer) {
            Decision::Run => Ok(None),
            Decision::Refuse(_) => Err(refuse_with_wait(&inner.limiter)),
            Decision::Wait => Ok(Some(inner.waiters.add(id))),
        }
    }

    /// Keeps a permit until its body begins to arrive or the permit lapses.
    fn grant(self: &Arc<Self>, permit: Permit) {
        let id = permit.id;
        if let Some(mut inner) = self.lock() {
            inner.granted.insert(id, permit);
        }
        let reservations = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(PERMIT_TIMEOUT).await;
            if reservations.redeem(id).is_some() {
                log::info!("reservation lapsed: no body arrived within {PERMIT_TIMEOUT:?}");
            }
        });
    }

    /// Removes and returns the permit of a reservation; `None` if it has lapsed
    /// or does not exist.
    fn redeem(&self, id: u64) -> Option<Permit> {
        self.lock()?.granted.remove(&id)
    }

    /// Wraps the body of the reservation `id`, so that its capacity is released
    /// when the body has arrived.
    pub fn track(&self, id: u64, body: Body) -> Body {
        match self.redeem(id) {
            Some(permit) => Reserved {
                body,
                permit: Some(permit),
            }
            .boxed_unsync(),
            None => body,
        }
    }

    fn release(&self, id: u64, complete: bool) {
        let Some(mut inner) = self.lock() else {
            return;
        };
        inner.waiters.remove(id);
        inner.limiter.finish(self.now(), id, complete);
        inner.perform_actions(self.now());
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn lock(&self) -> Option<MutexGuard<'_, Inner>> {
        let inner = self.inner.as_ref()?;
        Some(inner.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Inner {
    /// Starts and refuses waiting bodies as the limiter decides.
    fn perform_actions(&mut self, now: Duration) {
        while let Some(action) = self.limiter.next_action(now) {
            if let Some(abandoned) = self.waiters.notify(action) {
                self.limiter.finish(now, abandoned, false);
            }
        }
    }
}

/// Reserves capacity for an entry, and returns the number of the reservation.
///
/// # Errors
///
/// Returns a refusal if the upstream accepts no work, or if the body would
/// arrive too late.
pub async fn reserve(context: &Arc<Context>, call: &Call) -> Result<u64, Refusal> {
    context.gatekeeper.check_available(context, call)?;
    let state = context.reservations.state();
    let reserved = context.reservations.reserve(call).await;
    if reserved.is_err() && context.decisions.allow(Kind::Rejected, context.now()) {
        decisions::log_no_capacity(call, state);
    }
    reserved
}

/// Returns the refusal of a body that would arrive too late, with a retry-after
/// hint.
fn refuse_with_wait(limiter: &Limiter) -> Refusal {
    Refusal {
        retry_after: Some(limiter.retry_after()),
        ..refuse_late()
    }
}

fn refuse_late() -> Refusal {
    Refusal {
        cause: Cause::Busy,
        ..Refusal::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "the link of the host has no room for the body in time",
        )
    }
}

/// Body that holds the permit of its reservation until it has arrived.
struct Reserved {
    body: Body,
    permit: Option<Permit>,
}

impl http_body::Body for Reserved {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        let broke = matches!(frame, Some(Err(_)));
        let ended = frame.is_none() || self.body.is_end_stream();
        if (broke || ended)
            && let Some(mut permit) = self.permit.take()
        {
            permit.complete = !broke;
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
