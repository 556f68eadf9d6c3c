//! Rules for requests that start before their turn, and the requests that were
//! started so.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::task::{Context, Poll};

use futures::future::BoxFuture;
use http::request::Parts;
use http::{Request, Response};
use hyper::body::Incoming;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;

use super::head;
use crate::body::{self, Body};

/// What happened to a pipelined request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// It was started before its turn.
    Started,
    /// It was cancelled before its turn.
    Cancelled,
    /// Another request came in its turn. It was cancelled.
    Mismatched,
}

impl Event {
    /// Returns the name of the event in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Cancelled => "cancelled",
            Self::Mismatched => "mismatched",
        }
    }
}

/// Rules of a server for requests that start before their turn.
pub struct Early {
    may_start: Box<dyn Fn(&Parts) -> bool + Send + Sync>,
    observe: Box<dyn Fn(Event) + Send + Sync>,
    room: Arc<Semaphore>,
}

impl Early {
    /// Returns rules by which a request starts early if `may_start` holds for
    /// its head, and fewer than `max_started` requests of all connections wait
    /// started. `may_start` must hold only for idempotent requests, because a
    /// request that was started can be cancelled and sent again. `observe` is
    /// called with each event.
    pub fn new(
        max_started: usize,
        may_start: impl Fn(&Parts) -> bool + Send + Sync + 'static,
        observe: impl Fn(Event) + Send + Sync + 'static,
    ) -> Arc<Self> {
        Arc::new(Self {
            may_start: Box::new(may_start),
            observe: Box::new(observe),
            room: Arc::new(Semaphore::new(max_started)),
        })
    }
}

impl fmt::Debug for Early {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Early")
    }
}

/// Answer that is being prepared.
pub(in crate::edge::server) type Answer = BoxFuture<'static, Response<Body>>;

/// Starts the requests of one connection.
pub(in crate::edge::server) struct Starter {
    early: Arc<Early>,
    serve: Box<dyn Fn(Request<Body>) -> Answer + Send>,
    /// No request starts early once the server stops.
    stop: CancellationToken,
}

impl Starter {
    /// Returns a starter for a connection from `peer`, whose requests `handle`
    /// serves.
    pub(in crate::edge::server) fn new<H, F>(
        early: Arc<Early>,
        peer: SocketAddr,
        stop: CancellationToken,
        handle: H,
    ) -> Self
    where
        H: Fn(Request<Body>, SocketAddr) -> F + Send + 'static,
        F: Future<Output = Response<Body>> + Send + 'static,
    {
        Self {
            early,
            serve: Box::new(move |request| Box::pin(handle(request, peer))),
            stop,
        }
    }

    /// Returns the request with this head if it may start early, or `None`.
    pub(super) fn admit(&self, head: &[u8]) -> Option<Parts> {
        let head = head::parse(head).filter(|head| (self.early.may_start)(head))?;
        (!self.stop.is_cancelled()).then_some(head)
    }

    /// Starts a request. Returns `None` if too many are started.
    pub(super) fn start(&self, head: Parts) -> Option<Started> {
        let permit = Arc::clone(&self.early.room).try_acquire_owned().ok()?;
        let request = Request::from_parts(head.clone(), body::empty());
        Some(Started {
            head,
            running: (self.serve)(request),
            answer: None,
            _permit: permit,
        })
    }

    /// Reports what happened to a request.
    pub(super) fn observe(&self, event: Event) {
        (self.early.observe)(event);
    }
}

/// Request that runs before its turn.
pub(super) struct Started {
    head: Parts,
    running: Answer,
    /// The answer, once its head is complete.
    answer: Option<Response<Body>>,
    _permit: OwnedSemaphorePermit,
}

impl Started {
    /// Drives the request until the head of its answer is complete.
    pub(super) fn poll(&mut self, cx: &mut Context<'_>) {
        if self.answer.is_none()
            && let Poll::Ready(answer) = self.running.as_mut().poll(cx)
        {
            self.answer = Some(answer);
        }
    }

    /// Returns whether `request`, as the library parsed it, is this one.
    pub(super) fn matches(&self, request: &Request<Incoming>) -> bool {
        self.head.method == *request.method()
            && self.head.uri == *request.uri()
            && self.head.headers == *request.headers()
    }

    /// Returns the answer, which may still be running.
    pub(super) fn into_answer(self) -> Answer {
        match self.answer {
            Some(answer) => Box::pin(std::future::ready(answer)),
            None => self.running,
        }
    }
}
