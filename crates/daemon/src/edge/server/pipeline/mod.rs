//! Starts pipelined requests before the answers ahead of them are complete.
//!
//! The HTTP library serves the requests of an HTTP/1.1 connection one after the
//! other. While it waits for an answer, this module reads ahead from the socket
//! and starts the requests that may run concurrently. The library still parses
//! the same bytes in order and then takes the answers that were started, so the
//! framing, the order of the answers and the end of the connection stay its
//! own.

use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::mem::{self, MaybeUninit};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker, ready};

use bytes::{Buf, BytesMut};
use http::{Request, Response, Version};
use hyper::body::{Body as _, Incoming};
use hyper::rt::ReadBufCursor;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;

use crate::body::{Body, Unsent};
use crate::intake::Flow;

mod early;
mod head;
mod stream;

pub use early::{Early, Event};

pub(super) use early::{Answer, Starter};
pub(super) use stream::Stream;

use early::Started;

/// Maximum number of requests of one connection that are started and wait for
/// their turn.
pub const MAX_STARTED: usize = 8;
/// Number of bytes above which a connection is not read further ahead.
const MAX_AHEAD_BYTES: usize = 16_384;
/// Maximum number of bytes that one call reads from the socket.
const READ_BYTES: usize = 4_096;

/// What the task of a connection does next.
pub(super) enum Step {
    /// It waits to be woken.
    Wait,
    /// It polls the library's connection again.
    Again,
    /// It ends the connection, because the caller has closed it.
    End,
}

/// State that the task of a connection, its stream and its service share. They
/// all run in one task, so the lock is never contended.
#[derive(Clone)]
pub(super) struct Pipeline {
    state: Arc<Mutex<State>>,
    /// Whether the body of the current request was read to its end.
    body_ended: Arc<AtomicBool>,
    /// Answers that were not written yet.
    unsent: Unsent,
}

struct State {
    stream: TcpStream,
    /// Told whether the caller reads its answers.
    reader: Option<Flow>,
    /// Whether the peer does not read what was written.
    is_blocked: bool,
    /// `None` if no request of this connection may start early.
    starter: Option<Starter>,
    /// Bytes that were read from the socket and not yet passed on.
    ahead: BytesMut,
    /// Number of bytes at the start of `ahead` that belong to started requests.
    started_bytes: usize,
    /// Started requests in the order of their turns.
    started: VecDeque<Started>,
    /// Whether a request without a body waits for its answer, and all bytes
    /// behind it are in `ahead` or start a request in `started`.
    accepts: bool,
    /// Whether no further request may start early.
    ended: bool,
    /// Whether bytes are passed on as they arrive, because they may belong to a
    /// body.
    in_body: bool,
    /// Whether the body of the current request was read to its end.
    body_ended: Arc<AtomicBool>,
    /// Whether the library's last poll found the socket without bytes, so that
    /// the socket wakes the task when some arrive.
    is_read_pending: bool,
    /// Whether the library waits for the rest of a head of which a part is in
    /// `ahead`.
    withheld: bool,
    /// Waker of the task that waits for the turn of the last started request.
    begun: Option<Waker>,
}

impl Pipeline {
    /// Wraps an accepted connection.
    ///
    /// `reader` is told whether the caller reads its answers.
    pub(super) fn new(stream: TcpStream, starter: Option<Starter>, reader: Option<Flow>) -> Self {
        let body_ended = Arc::<AtomicBool>::default();
        let state = Mutex::new(State {
            stream,
            reader,
            is_blocked: false,
            starter,
            ahead: BytesMut::new(),
            started_bytes: 0,
            started: VecDeque::new(),
            accepts: false,
            ended: false,
            in_body: false,
            body_ended: Arc::clone(&body_ended),
            is_read_pending: false,
            withheld: false,
            begun: None,
        });
        Self {
            state: Arc::new(state),
            body_ended,
            unsent: Unsent::default(),
        }
    }

    /// Returns the stream from which the library reads the connection.
    pub(super) fn stream(&self) -> Stream {
        Stream::new(self.clone())
    }

    /// Returns the flag that is set when the body of the current request was
    /// read to its end.
    pub(super) fn body_ended(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.body_ended)
    }

    /// Lets the connection be reset when it is closed, so that the operating
    /// system discards what the peer has not read.
    pub(super) fn reset(&self) {
        if let Err(error) = self.lock().stream.set_zero_linger() {
            log::debug!("cannot reset a connection: {error}");
        }
    }

    /// Returns whether the peer was told that the connection ends.
    pub(super) fn has_ended(&self) -> bool {
        self.lock().ended
    }

    /// Reads and discards what the peer sends until it closes the connection,
    /// after the last answer was written.
    ///
    /// The operating system resets a connection that is closed with unread bytes,
    /// and discards the answers that it has not sent.
    pub(super) async fn linger(&self) {
        let mut discarded = vec![0; READ_BYTES];
        poll_fn(|cx| {
            loop {
                let mut part = ReadBuf::new(&mut discarded);
                match ready!(self.lock().poll_socket(cx, &mut part)) {
                    Ok(()) if !part.filled().is_empty() => {}
                    _ => return Poll::Ready(()),
                }
            }
        })
        .await;
    }

    /// Returns the answers that were not written yet.
    pub(super) fn unsent(&self) -> Unsent {
        self.unsent.clone()
    }

    /// Records that it is the turn of a request. Returns its answer if the
    /// request was started early.
    pub(super) fn begin(&self, request: &Request<Incoming>) -> Option<Answer> {
        self.lock().begin(request)
    }

    /// Returns whether requests that were started wait for their turn.
    pub(super) fn has_started(&self) -> bool {
        !self.lock().started.is_empty()
    }

    /// Waits until the turn of all requests that were started has come.
    pub(super) async fn begun(&self) {
        poll_fn(|cx| {
            let mut state = self.lock();
            if state.started.is_empty() {
                return Poll::Ready(());
            }
            state.begun = Some(cx.waker().clone());
            Poll::Pending
        })
        .await;
    }

    /// Records that the head of the answer to the current request is complete.
    pub(super) fn end(&self, answer: &Response<Body>) {
        let mut state = self.lock();
        state.accepts = false;
        if head::closes(answer.headers()) {
            state.ended = true;
            state.cancel();
        }
    }

    /// Reads ahead, starts requests and drives those that run, after the
    /// library's connection was polled.
    pub(super) fn poll(&self, cx: &mut Context<'_>) -> Step {
        self.lock().poll(cx)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn begin(&mut self, request: &Request<Incoming>) -> Option<Answer> {
        let has_body = !request.body().is_end_stream();
        let after_body = mem::replace(&mut self.in_body, has_body);
        self.ended |= request.version() != Version::HTTP_11 || head::closes(request.headers());
        let started = self.started.pop_front();
        self.notify_begun();
        if let Some(started) = &started
            && !started.matches(request)
        {
            log::debug!("a pipelined request is not the one that was started in its place");
            self.observe(Event::Mismatched);
            self.cancel();
            self.ended = true;
            return None;
        }
        // Behind a body, the library may have read bytes of the next request.
        self.accepts = !self.ended && !has_body && !after_body;
        Some(started?.into_answer())
    }

    /// Reads for the library: the next head, or whatever arrives in a body.
    fn poll_read(
        &mut self,
        cx: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        self.withheld = false;
        if self.starter.is_none() || self.in_body {
            return self.poll_read_body(cx, cursor);
        }
        if self.ahead.len() < MAX_AHEAD_BYTES && head::length(&self.ahead).is_none() {
            let mut storage = [MaybeUninit::uninit(); READ_BYTES];
            let mut part = ReadBuf::uninit(&mut storage);
            match self.poll_socket(cx, &mut part)? {
                Poll::Ready(()) if part.filled().is_empty() => return Poll::Ready(Ok(())),
                // The usual case, in which nothing is held.
                Poll::Ready(()) if self.ahead.is_empty() && !self.accepts => {
                    let bytes = part.filled();
                    let length = head::length(bytes).unwrap_or(bytes.len());
                    let (head, rest) = bytes.split_at(length.min(cursor.remaining()));
                    cursor.put_slice(head);
                    self.ahead.extend_from_slice(rest);
                    return Poll::Ready(Ok(()));
                }
                Poll::Ready(()) => self.ahead.extend_from_slice(part.filled()),
                Poll::Pending if self.ahead.is_empty() => return Poll::Pending,
                Poll::Pending if self.accepts => {
                    self.withheld = true;
                    return Poll::Pending;
                }
                Poll::Pending => {}
            }
        }
        self.start();
        let length = head::length(&self.ahead).unwrap_or(self.ahead.len());
        self.pass_on(length, &mut cursor);
        Poll::Ready(Ok(()))
    }

    /// Passes on the bytes read ahead, and then those of the socket without a
    /// copy.
    fn poll_read_body(
        &mut self,
        cx: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.ahead.is_empty() {
            self.pass_on(self.ahead.len(), &mut cursor);
            return Poll::Ready(Ok(()));
        }
        let mut stream = TokioIo::new(&mut self.stream);
        let polled = hyper::rt::Read::poll_read(Pin::new(&mut stream), cx, cursor);
        self.is_read_pending = polled.is_pending();
        polled
    }

    /// Records whether the peer reads what is written.
    fn set_blocked(&mut self, is_blocked: bool) {
        if self.is_blocked == is_blocked {
            return;
        }
        self.is_blocked = is_blocked;
        if let Some(reader) = &self.reader {
            reader.set_blocked(is_blocked);
        }
    }

    fn poll_socket(
        &mut self,
        cx: &mut Context<'_>,
        part: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_read(cx, part);
        self.is_read_pending = polled.is_pending();
        polled
    }

    /// Passes the first `length` bytes that were read ahead on to the library.
    fn pass_on(&mut self, length: usize, cursor: &mut ReadBufCursor<'_>) {
        let length = length.min(cursor.remaining());
        // What follows a request that was not started may be its body.
        self.accepts &= length <= self.started_bytes;
        self.started_bytes = self.started_bytes.saturating_sub(length);
        cursor.put_slice(&self.ahead[..length]);
        self.ahead.advance(length);
        if self.ahead.is_empty() {
            self.ahead = BytesMut::new();
        }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Step {
        if self.starter.is_none() {
            return Step::Wait;
        }
        // The library does not read while it holds bytes that it has not
        // parsed, and would not notice that the caller leaves.
        let reads_body = self.in_body && !self.body_ended.load(Ordering::Relaxed);
        if !self.is_read_pending && !reads_body && !self.ended {
            match self.poll_ahead(cx) {
                Poll::Ready(Ok(())) => return Step::End,
                Poll::Ready(Err(error)) => {
                    log::debug!("cannot read a connection with pipelined requests: {error}");
                    return Step::End;
                }
                Poll::Pending => {}
            }
        }
        self.is_read_pending = false;
        self.start();
        for started in &mut self.started {
            started.poll(cx);
        }
        if self.withheld && !self.accepts {
            self.withheld = false;
            return Step::Again;
        }
        Step::Wait
    }

    /// Reads up to the limit of bytes ahead. Returns `Ready` if the caller has
    /// closed the connection.
    fn poll_ahead(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.ahead.len() < MAX_AHEAD_BYTES {
            let mut storage = [MaybeUninit::uninit(); READ_BYTES];
            let mut part = ReadBuf::uninit(&mut storage);
            ready!(self.poll_socket(cx, &mut part))?;
            if part.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            self.ahead.extend_from_slice(part.filled());
        }
        Poll::Pending
    }

    /// Starts the requests in `ahead` that may start early, up to the first one
    /// that may not.
    fn start(&mut self) {
        while self.accepts && !self.ended && self.started.len() < MAX_STARTED {
            let Some(starter) = &self.starter else { return };
            let rest = &self.ahead[self.started_bytes..];
            let Some(length) = head::length(rest) else {
                return;
            };
            let Some(head) = starter.admit(&rest[..length]) else {
                self.accepts = false;
                return;
            };
            let Some(started) = starter.start(head) else {
                return;
            };
            self.started.push_back(started);
            self.started_bytes += length;
            log::debug!(
                "started a pipelined request early; {} of its connection wait",
                self.started.len()
            );
            self.observe(Event::Started);
        }
    }

    /// Cancels all requests that wait for their turn.
    fn cancel(&mut self) {
        self.accepts = false;
        self.started_bytes = 0;
        for started in mem::take(&mut self.started) {
            drop(started);
            self.observe(Event::Cancelled);
        }
        self.notify_begun();
    }

    fn notify_begun(&mut self) {
        if self.started.is_empty()
            && let Some(waker) = self.begun.take()
        {
            waker.wake();
        }
    }

    fn observe(&self, event: Event) {
        if let Some(starter) = &self.starter {
            starter.observe(event);
        }
    }
}

impl Drop for State {
    fn drop(&mut self) {
        self.cancel();
    }
}
