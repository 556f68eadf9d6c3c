//! Room on the link of this host that entries reserve before they send a large
//! body.
//!
//! An entry asks without the body, and sends it once there is room. A refusal
//! takes nothing of the link then, and the bodies that pass have it for
//! themselves ([`savorylane_policy::transfer`]).

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

/// Size of a body up to which none reserves room, bytes. Most requests stay
/// below it, and asking takes them a round trip.
pub const MAX_UNRESERVED_BYTES: u32 = 16 << 10;
/// Time in which the body must begin to come once there is room.
const PERMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// Room on the link of this host.
#[derive(Debug)]
pub struct Reservations {
    start: Instant,
    next_id: AtomicU64,
    /// `None` where the link carries more than the upstream takes.
    inner: Option<Mutex<Inner>>,
}

#[derive(Debug)]
struct Inner {
    limiter: Limiter,
    waiters: Waiters,
    /// Room whose bodies have not begun to come.
    granted: HashMap<u64, Permit>,
}

/// Room for one body, or a place among those that wait; given back when dropped.
#[derive(Debug)]
pub struct Permit {
    reservations: Arc<Reservations>,
    id: u64,
    /// Whether the whole body has come.
    complete: bool,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.reservations.release(self.id, self.complete);
    }
}

/// What a link carries.
#[derive(Clone, Copy, Debug, Default)]
pub struct State {
    /// Bodies that pass.
    pub active: u32,
    /// Bodies that wait for room.
    pub waiting: u32,
    /// Time for which one more would wait.
    pub expected_wait: Duration,
}

impl Reservations {
    /// Opens the room of a link of `mbps` megabits a second; 0 if that is not
    /// known.
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

    /// Returns the size of a body, in bytes, above which it needs room; 0 if
    /// none does.
    pub fn required_above(&self) -> u32 {
        match self.inner {
            Some(_) => MAX_UNRESERVED_BYTES,
            None => 0,
        }
    }

    /// Returns what the link carries now.
    pub fn state(&self) -> State {
        self.lock().map_or_else(State::default, |inner| State {
            active: inner.limiter.active() as u32,
            waiting: inner.limiter.waiting() as u32,
            expected_wait: inner.limiter.retry_after(),
        })
    }

    /// Waits until there is room for the body of a call, and returns the number
    /// by which its request names it.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the body would come too late.
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

    /// Asks for room; returns what tells of it later if the body has to wait.
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

    /// Keeps a permit until the body begins to come.
    fn grant(self: &Arc<Self>, permit: Permit) {
        let id = permit.id;
        if let Some(mut inner) = self.lock() {
            inner.granted.insert(id, permit);
        }
        let reservations = Arc::clone(self);
        tokio::spawn(async move {
            tokio::time::sleep(PERMIT_TIMEOUT).await;
            if reservations.redeem(id).is_some() {
                log::info!("room for a body was reserved and not used");
            }
        });
    }

    /// Returns the permit with a number; `None` if it has lapsed.
    fn redeem(&self, id: u64) -> Option<Permit> {
        self.lock()?.granted.remove(&id)
    }

    /// Returns a body that gives the room with number `id` back once it has
    /// come.
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
        inner.apply_actions(self.now());
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
    /// Starts and refuses waiting bodies.
    fn apply_actions(&mut self, now: Duration) {
        while let Some(action) = self.limiter.next_action(now) {
            if let Some(missing) = self.waiters.notify(action) {
                self.limiter.finish(now, missing, false);
            }
        }
    }
}

/// Answers an entry that asks for room.
///
/// # Errors
///
/// Returns a refusal if the upstream takes no work, or the body would come too
/// late.
pub async fn reserve(context: &Arc<Context>, call: &Call) -> Result<u64, Refusal> {
    context.gatekeeper.check_available(context, call)?;
    let state = context.reservations.state();
    let reserved = context.reservations.reserve(call).await;
    if reserved.is_err() && context.decisions.allow(Kind::Rejected, context.now()) {
        decisions::log_no_capacity(call, state);
    }
    reserved
}

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

/// Body that passes the link of this host.
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
