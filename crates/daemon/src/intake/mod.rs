//! What the callers of this entry hold: connections and memory for bodies. The
//! limits are enforced by [`savorylane_policy::intake`].

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::{Request, Response, StatusCode, Version};
use http_body::Body as _;
use http_body_util::BodyExt;
use savorylane_policy::intake::{self as policy, Action, Limits, Room};
use savorylane_policy::quota;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use crate::body::{Body, Unsent};
use crate::call::Refusal;
use counts::{Counts, Event};
use streams::Stream;
use track::{Answer, Tracked};

mod counts;
mod streams;
mod track;

pub use counts::State;

/// Interval at which stalled bodies are looked for while others wait.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a body waits for memory, or to be passed on, at most.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Delay after which a caller may send a body again that was refused.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Connections of callers and the memory of their bodies.
#[derive(Debug)]
pub struct Intake {
    start: Instant,
    next_id: AtomicU64,
    limits: Limits,
    inner: Mutex<Inner>,
    counts: Counts,
}

#[derive(Debug)]
struct Inner {
    policy: policy::Intake,
    /// Memory of HTTP/2 requests and their answers.
    streams: quota::Quota,
    /// Cancelled to close a connection, by the connection's id.
    closed: HashMap<u64, CancellationToken>,
    /// Tasks of bodies that wait for memory, by the body's id.
    waiting: HashMap<u64, oneshot::Sender<()>>,
    /// Tasks of bodies that wait to be passed on, by the connection's id.
    waiting_to_pass: HashMap<u64, oneshot::Sender<()>>,
    /// Whether a task looks for stalled bodies.
    checking: bool,
}

impl Intake {
    /// Creates an intake without connections.
    pub fn new(limits: Limits) -> Arc<Self> {
        // The number of connections is limited by the policy.
        let streams = quota::Limits {
            connections: limits.connections,
            strangers: limits.connections,
            bytes: limits.stream_bytes,
        };
        Arc::new(Self {
            start: Instant::now(),
            next_id: AtomicU64::new(1),
            limits,
            inner: Mutex::new(Inner {
                policy: policy::Intake::new(limits),
                streams: quota::Quota::new(streams),
                closed: HashMap::new(),
                waiting: HashMap::new(),
                waiting_to_pass: HashMap::new(),
                checking: false,
            }),
            counts: Counts::default(),
        })
    }

    /// Returns the limits of what callers hold.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Records a new connection of a caller from `address`. Closes another one if all are in
    /// use; returns `None` if none can be closed.
    pub fn open(self: &Arc<Self>, address: IpAddr) -> Option<Connection> {
        let id = self.next_id();
        let closed = CancellationToken::new();
        let mut inner = self.lock();
        match inner.policy.room(self.now(), address) {
            Room::Free => {}
            Room::Close(id) => self.close(&inner, id),
            Room::Full => {
                self.counts.add(Event::ConnectionRefused);
                return None;
            }
        }
        inner.policy.open(self.now(), id, address);
        inner.closed.insert(id, closed.clone());
        let flow = Flow {
            intake: Arc::clone(self),
            id,
            address,
        };
        Some(Connection { flow, closed })
    }

    /// Closes the connection that has been waited for longest, because the
    /// process cannot open another descriptor.
    pub fn close_longest(&self) {
        let mut inner = self.lock();
        if let Some(id) = inner.policy.close_longest(self.now()) {
            self.close(&inner, id);
        }
    }

    fn close(&self, inner: &Inner, id: u64) {
        let event = match inner.policy.is_blocked(id) {
            true => Event::AnswerUnread,
            false => Event::ConnectionClosed,
        };
        self.counts.add(event);
        if let Some(closed) = inner.closed.get(&id) {
            closed.cancel();
        }
    }

    /// Returns the occupancy and the counts of what was refused.
    pub fn state(&self) -> State {
        let inner = self.lock();
        State {
            connections: inner.policy.connections() as u64,
            bytes: inner.policy.bytes(),
            waiting: inner.policy.waiting() as u64,
            ..self.counts.read()
        }
    }

    /// Performs what the policy decides.
    fn perform_actions(&self, inner: &mut Inner) {
        while let Some(action) = inner.policy.next_action(self.now()) {
            match action {
                Action::Admit(id) => notify(inner.waiting.remove(&id)),
                Action::Pass(id) => notify(inner.waiting_to_pass.remove(&id)),
                Action::Close(id) => self.close(inner, id),
            }
        }
    }

    /// Looks for stalled bodies from time to time, as long as others wait.
    fn check_while_waiting(self: &Arc<Self>, inner: &mut Inner) {
        if std::mem::replace(&mut inner.checking, true) {
            return;
        }
        let intake = Arc::clone(self);
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(CHECK_INTERVAL).await;
                let mut inner = intake.lock();
                intake.perform_actions(&mut inner);
                if !inner.policy.has_waiting() {
                    inner.checking = false;
                    return;
                }
            }
        });
    }

    fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Notifies a task that waits. A task that has just ended releases what it was
/// granted when its lease is dropped.
fn notify(waiting: Option<oneshot::Sender<()>>) {
    if let Some(waiting) = waiting {
        let _ = waiting.send(());
    }
}

/// An open connection of a caller; recorded as closed when dropped.
#[derive(Debug)]
pub struct Connection {
    flow: Flow,
    closed: CancellationToken,
}

impl Connection {
    /// Waits until the connection must be closed to make room for others.
    /// Returns whether it is idle, so that only the rest of an answer may still
    /// have to be sent.
    pub async fn closed(&self) -> bool {
        self.closed.cancelled().await;
        self.flow.intake.lock().policy.is_idle(self.flow.id)
    }

    /// Returns the maximum number of bytes that the operating system may receive
    /// for the connection before they are read.
    pub fn receive_bytes(&self) -> usize {
        self.flow.intake.lock().policy.receive_bytes() as usize
    }

    /// Returns the maximum number of concurrent requests on the connection, if it
    /// is one of HTTP/2.
    pub fn max_streams(&self) -> u32 {
        self.flow.intake.limits.connection_streams()
    }

    /// Returns what the requests on the connection arrive through.
    pub fn flow(&self) -> &Flow {
        &self.flow
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let intake = &self.flow.intake;
        let mut inner = intake.lock();
        inner.closed.remove(&self.flow.id);
        inner.policy.close(self.flow.id);
        inner.streams.close(self.flow.id);
        intake.perform_actions(&mut inner);
    }
}

/// The requests that arrive on one connection of a caller.
#[derive(Clone, Debug)]
pub struct Flow {
    intake: Arc<Intake>,
    id: u64,
    address: IpAddr,
}

impl Flow {
    /// Records the head of a request, and tracks its body from now on.
    ///
    /// # Errors
    ///
    /// Returns a refusal if there is no memory for an HTTP/2 request.
    pub fn begin(&self, mut request: Request<Body>) -> Result<(Request<Body>, Exchange), Refusal> {
        request.extensions_mut().insert(self.clone());
        if request.version() == Version::HTTP_2 {
            return self.begin_stream(request);
        }
        let has_body = !request.body().is_end_stream();
        self.intake.lock().policy.begin(self.id, has_body);
        let request = request.map(|body| match has_body {
            true => Tracked::wrap(body, self.clone()),
            false => body,
        });
        Ok((request, Exchange::Request(Pending(self.clone()))))
    }

    /// Takes memory for a body of `size` bytes, if that is known. Waits until
    /// there is some, but not longer than half of the time `remaining`.
    ///
    /// # Errors
    ///
    /// Returns a refusal if there is no memory in time.
    pub async fn admit(&self, size: Option<u64>, remaining: Duration) -> Result<Lease, Refusal> {
        let id = self.intake.next_id();
        let body = policy::Body {
            id,
            connection: self.id,
            size,
        };
        let lease = Lease {
            intake: Arc::clone(&self.intake),
            id,
            prepaid_bytes: body.bytes(),
        };
        let waiting = {
            let mut inner = self.intake.lock();
            if inner.policy.admit(body) {
                return Ok(lease);
            }
            let (sender, waiting) = oneshot::channel();
            inner.waiting.insert(id, sender);
            self.intake.check_while_waiting(&mut inner);
            waiting
        };
        match tokio::time::timeout(MAX_WAIT.min(remaining / 2), waiting).await {
            Ok(Ok(())) => Ok(lease),
            _ => Err(self.refuse(
                Event::BodyRefused,
                "the entry has no memory for the body in time",
            )),
        }
    }

    /// Returns whether bodies must be received completely before they are
    /// passed on.
    pub fn is_pressed(&self) -> bool {
        let now = self.intake.now();
        self.intake.lock().policy.is_pressed(now)
    }

    /// Records that the current body is received before it is passed on.
    pub fn hold_back(&self) {
        self.intake.lock().policy.hold_back(self.id);
    }

    /// Waits until a body that has not arrived may be passed on.
    ///
    /// # Errors
    ///
    /// Returns a refusal if it may not be passed on in time.
    pub async fn pass(&self, remaining: Duration) -> Result<(), Refusal> {
        let waiting = {
            let mut inner = self.intake.lock();
            if inner.policy.pass(self.id) {
                return Ok(());
            }
            let (sender, waiting) = oneshot::channel();
            inner.waiting_to_pass.insert(self.id, sender);
            self.intake.check_while_waiting(&mut inner);
            waiting
        };
        match tokio::time::timeout(MAX_WAIT.min(remaining / 2), waiting).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(self.refuse(
                Event::BodyRefused,
                "too many bodies on their way to upstreams are stalled",
            )),
        }
    }

    /// Records whether the caller reads its answers. Closes connections if
    /// answers that callers do not read take too much memory.
    pub fn set_blocked(&self, is_blocked: bool) {
        let now = self.intake.now();
        let mut inner = self.intake.lock();
        match is_blocked {
            true => inner.policy.block(now, self.id),
            false => inner.policy.unblock(now, self.id),
        }
        self.intake.perform_actions(&mut inner);
    }

    fn refuse(&self, event: Event, reason: &str) -> Refusal {
        self.intake.counts.add(event);
        Refusal {
            retry_after: Some(RETRY_AFTER),
            ..Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason)
        }
    }
}

/// A request without a complete answer; recorded as answered when dropped.
#[derive(Debug)]
pub enum Exchange {
    /// A request of HTTP/1.1.
    Request(Pending),
    /// A request of HTTP/2.
    Stream(Stream),
}

impl Exchange {
    /// Moves the exchange into the body of its answer, with which it ends. When
    /// the body is dropped, the memory of an answer of HTTP/1.1 is kept in
    /// `unsent`.
    pub fn answer(self, answer: Response<Body>, unsent: &Unsent) -> Response<Body> {
        match self {
            Self::Request(pending) => pending.answer(answer, unsent),
            Self::Stream(stream) => stream.answer(answer),
        }
    }
}

/// A request of HTTP/1.1 without a complete answer.
#[derive(Debug)]
pub struct Pending(Flow);

impl Pending {
    fn answer(self, answer: Response<Body>, unsent: &Unsent) -> Response<Body> {
        answer.map(|body| match body.is_end_stream() {
            true => body,
            false => {
                let bytes = policy::Intake::answer_bytes(body.size_hint().exact());
                let held = Held::take(&self.0, bytes);
                let body = Answer::new(body, self).boxed_unsync();
                unsent.guard(body, held)
            }
        })
    }
}

/// Memory of an answer; released when dropped.
#[derive(Debug)]
struct Held {
    flow: Flow,
    bytes: u64,
}

impl Held {
    fn take(flow: &Flow, bytes: u64) -> Self {
        let mut inner = flow.intake.lock();
        inner.policy.hold_answer(flow.id, bytes);
        flow.intake.perform_actions(&mut inner);
        Self {
            flow: flow.clone(),
            bytes,
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let Flow { intake, id, .. } = &self.flow;
        intake.lock().policy.release_answer(*id, self.bytes);
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        let Flow { intake, id, .. } = &self.0;
        let mut inner = intake.lock();
        inner.waiting_to_pass.remove(id);
        inner.policy.end(intake.now(), *id);
        intake.perform_actions(&mut inner);
    }
}

/// Memory of a body, or its place among those that wait; released when dropped.
#[derive(Debug)]
pub struct Lease {
    intake: Arc<Intake>,
    id: u64,
    /// Memory that was taken and not yet used.
    prepaid_bytes: u64,
}

impl Lease {
    /// Takes memory for `bytes` more bytes of a buffer. Returns `false` if
    /// there is none.
    pub fn take(&mut self, bytes: u64) -> bool {
        let missing = bytes.saturating_sub(self.prepaid_bytes);
        if missing > 0 && !self.intake.lock().policy.grow(self.id, missing) {
            self.intake.counts.add(Event::BufferDiscarded);
            return false;
        }
        self.prepaid_bytes = self.prepaid_bytes.saturating_sub(bytes);
        true
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let mut inner = self.intake.lock();
        inner.waiting.remove(&self.id);
        inner.policy.release(self.id);
        self.intake.perform_actions(&mut inner);
    }
}
