//! Bodies of requests and answers.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full};
use tokio::task::AbortHandle;

mod packed;

pub use packed::Packed;

/// Why a body ended early. The connection or stream is then reset, so that a
/// cut body is never taken for a complete one.
pub type Cut = Box<dyn std::error::Error + Send + Sync>;

/// Body of a request or an answer.
pub type Body = UnsyncBoxBody<Bytes, Cut>;

/// Bytes of a request body that are kept for another attempt. A gatekeeper
/// refuses after less; an upstream that refuses may have read all of a body.
const KEPT_BYTES: usize = 320 << 10;

/// Returns a body without content.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Returns a body that holds `bytes`.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Reads the first `most` bytes of a body, or the whole of a shorter one.
/// Returns what was read, whether that was all, and a body that still has it.
///
/// # Errors
///
/// Returns how the body was cut.
pub async fn peek(mut body: Body, most: usize) -> Result<(Vec<u8>, bool, Body), Cut> {
    let (mut start, mut first) = (Vec::new(), VecDeque::new());
    let mut ended = body.is_end_stream();
    while start.len() < most && !ended {
        match body.frame().await {
            None => ended = true,
            Some(frame) => {
                if let Ok(bytes) = frame?.into_data() {
                    start.extend_from_slice(&bytes[..bytes.len().min(most - start.len())]);
                    first.push_back(bytes);
                }
                ended = body.is_end_stream();
            }
        }
    }
    let body = Peeked {
        first,
        rest: body,
        ended,
    };
    Ok((start, ended, body.boxed_unsync()))
}

/// Body whose start was read already.
struct Peeked {
    first: VecDeque<Bytes>,
    rest: Body,
    ended: bool,
}

impl http_body::Body for Peeked {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        if let Some(bytes) = self.first.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        if self.ended {
            return Poll::Ready(None);
        }
        Pin::new(&mut self.rest).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_empty() && (self.ended || self.rest.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        let first: u64 = self.first.iter().map(|bytes| bytes.len() as u64).sum();
        if self.ended {
            return SizeHint::with_exact(first);
        }
        match self.rest.size_hint().exact() {
            Some(rest) => SizeHint::with_exact(first + rest),
            None => SizeHint::default(),
        }
    }
}

/// Time after the deadline in which a body may still end. An answer whose head
/// came in time is delivered whole rather than cut.
const LATE: Duration = Duration::from_millis(200);

/// Something that is told how a body ended.
pub trait Observer: Send + 'static {
    /// Called before the end if the source of the body failed with `_cut`.
    fn broke(&mut self, _cut: &Cut) {}

    /// Called once; `whole` says whether the last frame was passed on.
    fn end(self, whole: bool);
}

/// Body that is cut at a deadline or a limit and tells an observer how it
/// ended.
///
/// The deadline has a task of its own, since a server that waits for a slow
/// caller does not poll a body. A reader of a body that is always ready can keep
/// that task from running, so the deadline is also looked at with each frame.
pub struct Watched<O: Observer> {
    shared: Arc<Mutex<Source<O>>>,
    deadline: Instant,
    timer: AbortHandle,
}

/// What the reader of a body and its timer share.
struct Source<O: Observer> {
    /// None once the body was cut.
    inner: Option<Body>,
    observer: Option<O>,
    /// Bytes that may still be passed on.
    left: u64,
    /// Reader that waits for a frame.
    reader: Option<Waker>,
    /// Set once the last frame was passed on; nothing is cut then.
    ended: bool,
}

impl<O: Observer> Watched<O> {
    /// Wraps `inner`; it is cut 0.2 s after `deadline`, and before the frame
    /// that takes it beyond `limit` bytes.
    pub fn wrap(inner: Body, deadline: Instant, limit: u64, observer: O) -> Body {
        let deadline = deadline + LATE;
        if inner.is_end_stream() {
            observer.end(true);
            return inner;
        }
        let shared = Arc::new(Mutex::new(Source {
            inner: Some(inner),
            observer: Some(observer),
            left: limit,
            reader: None,
            ended: false,
        }));
        let timed = Arc::clone(&shared);
        let timer = tokio::spawn(async move {
            tokio::time::sleep_until(deadline.into()).await;
            let (cut, reader) = {
                let mut source = lock(&timed);
                (source.cut(), source.reader.take())
            };
            drop(cut);
            if let Some(reader) = reader {
                reader.wake();
            }
        });
        let timer = timer.abort_handle();
        Self {
            shared,
            deadline,
            timer,
        }
        .boxed_unsync()
    }
}

impl<O: Observer> Source<O> {
    /// Takes the body away, which closes its connection or stream once it is
    /// dropped.
    fn cut(&mut self) -> Option<Body> {
        if self.ended {
            return None;
        }
        self.end(false);
        self.inner.take()
    }

    fn end(&mut self, whole: bool) {
        self.ended |= whole;
        if let Some(observer) = self.observer.take() {
            observer.end(whole);
        }
    }
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<O: Observer> http_body::Body for Watched<O> {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let mut source = lock(&self.shared);
        if Instant::now() >= self.deadline {
            source.cut();
        }
        let Some(inner) = &mut source.inner else {
            return Poll::Ready(Some(Err("the deadline passed within the body".into())));
        };
        let polled = Pin::new(&mut *inner).poll_frame(cx);
        let last = inner.is_end_stream();
        match polled {
            Poll::Ready(Some(Ok(frame))) => {
                let bytes = frame.data_ref().map_or(0, |bytes| bytes.len() as u64);
                let Some(left) = source.left.checked_sub(bytes) else {
                    source.cut();
                    return Poll::Ready(Some(Err("the answer is larger than the limit".into())));
                };
                source.left = left;
                if last {
                    self.timer.abort();
                    source.end(true);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(cut))) => {
                if let Some(observer) = &mut source.observer {
                    observer.broke(&cut);
                }
                source.end(false);
                Poll::Ready(Some(Err(cut)))
            }
            Poll::Ready(None) => {
                self.timer.abort();
                source.end(true);
                Poll::Ready(None)
            }
            Poll::Pending => {
                source.reader = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        let source = lock(&self.shared);
        source.inner.as_ref().is_some_and(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let source = lock(&self.shared);
        source
            .inner
            .as_ref()
            .map_or_else(SizeHint::default, Body::size_hint)
    }
}

impl<O: Observer> Drop for Watched<O> {
    fn drop(&mut self) {
        self.timer.abort();
        // The timer's task can outlive this by a moment; nothing waits for it.
        let cut = lock(&self.shared).cut();
        drop(cut);
    }
}

/// What was wrong with a caller's body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// It is larger than the limit.
    Oversized,
    /// It is malformed or ended early.
    Broken,
}

/// A caller's body that several attempts can send, as long as no more than
/// the kept bytes were read.
#[derive(Clone)]
pub struct Replay {
    shared: Arc<Mutex<Shared>>,
}

struct Shared {
    source: Body,
    kept: Vec<Bytes>,
    kept_bytes: usize,
    read_bytes: u64,
    limit: u64,
    ended: bool,
    dropped: bool,
    /// Set once the answer has ended; the rest of the body may then be missing.
    answered: bool,
    /// Number of attempts; only the latest one reads on from the caller.
    attempts: u64,
    fault: Option<Fault>,
}

impl Replay {
    /// Takes a caller's body of at most `limit` bytes.
    pub fn open<Source>(source: Source, limit: u64) -> Self
    where
        Source: http_body::Body<Data = Bytes> + Send + 'static,
        Source::Error: Into<Cut>,
    {
        let source = source.map_err(Into::into).boxed_unsync();
        let ended = source.is_end_stream();
        Self {
            shared: Arc::new(Mutex::new(Shared {
                source,
                kept: Vec::new(),
                kept_bytes: 0,
                read_bytes: 0,
                limit,
                ended,
                dropped: false,
                answered: false,
                attempts: 0,
                fault: None,
            })),
        }
    }

    /// Says whether another attempt can send the whole body.
    pub fn repeatable(&self) -> bool {
        let shared = self.lock();
        !shared.dropped && shared.fault.is_none()
    }

    /// Says whether nothing remains to be read from the caller.
    pub fn complete(&self) -> bool {
        let shared = self.lock();
        shared.ended && !shared.dropped
    }

    /// Reads the whole body if it is known to be small enough to be kept, so
    /// that no attempt depends on the caller's connection.
    ///
    /// # Errors
    ///
    /// Returns how the body was cut.
    pub async fn fill(&self) -> Result<(), Cut> {
        let small = {
            let shared = self.lock();
            let rest = shared.source.size_hint().exact();
            rest.is_some_and(|rest| rest <= KEPT_BYTES as u64)
        };
        if !small {
            return Ok(());
        }
        let mut attempt = self.next_attempt();
        while let Some(frame) = attempt.frame().await {
            frame?;
        }
        Ok(())
    }

    /// Reads a body of unknown size until it has more than `most` bytes or ends,
    /// so that a small one is known to be small.
    ///
    /// # Errors
    ///
    /// Returns how the body was cut.
    pub async fn measure(&self, most: usize) -> Result<(), Cut> {
        let mut attempt = self.next_attempt();
        let mut read = 0;
        while attempt.size_hint().exact().is_none() && read <= most {
            let Some(frame) = attempt.frame().await else {
                break;
            };
            read += frame?.data_ref().map_or(0, Bytes::len);
        }
        Ok(())
    }

    /// Takes the end of the answer. The server then drops what it has not read
    /// of the body, and the library reports that as the body's end. An upstream
    /// that answered early and reads on must not take it for one.
    pub fn answered(&self) {
        self.lock().answered = true;
    }

    /// Returns what was wrong with the part that was read.
    pub fn fault(&self) -> Option<Fault> {
        self.lock().fault
    }

    /// Returns the body of one attempt. Earlier attempts that have not read the
    /// whole body fail from now on: an upstream that answered early may still be
    /// reading one, and would take frames that the new attempt needs.
    pub fn attempt(&self) -> Body {
        self.next_attempt().boxed_unsync()
    }

    fn next_attempt(&self) -> Attempt {
        let mut shared = self.lock();
        shared.attempts += 1;
        Attempt {
            replay: self.clone(),
            number: shared.attempts,
            next: 0,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        lock(&self.shared)
    }
}

struct Attempt {
    replay: Replay,
    number: u64,
    next: usize,
}

impl Attempt {
    /// Says whether the attempt lacks bytes that it can no longer get.
    fn superseded(&self, shared: &Shared) -> bool {
        self.number != shared.attempts && (shared.dropped || !shared.ended)
    }
}

impl http_body::Body for Attempt {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let replay = self.replay.clone();
        let mut shared = replay.lock();
        if let Some(bytes) = shared.kept.get(self.next) {
            self.next += 1;
            return Poll::Ready(Some(Ok(Frame::data(bytes.clone()))));
        }
        if self.superseded(&shared) {
            return Poll::Ready(Some(Err("another attempt reads the body".into())));
        }
        if shared.ended {
            return Poll::Ready(None);
        }
        loop {
            if shared.answered {
                shared.fault = Some(Fault::Broken);
                return Poll::Ready(Some(Err("the answer ended before the body".into())));
            }
            let frame = match Pin::new(&mut shared.source).poll_frame(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => {
                    shared.ended = true;
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(error))) => {
                    shared.fault = Some(Fault::Broken);
                    return Poll::Ready(Some(Err(error)));
                }
                Poll::Ready(Some(Ok(frame))) => frame,
            };
            // Trailers of a request are not passed on.
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            shared.ended = shared.source.is_end_stream();
            shared.read_bytes += bytes.len() as u64;
            if shared.read_bytes > shared.limit {
                shared.fault = Some(Fault::Oversized);
                return Poll::Ready(Some(Err("the body is larger than the limit".into())));
            }
            if shared.kept_bytes + bytes.len() <= KEPT_BYTES && !shared.dropped {
                shared.kept_bytes += bytes.len();
                shared.kept.push(bytes.clone());
            } else {
                shared.dropped = true;
                shared.kept.clear();
            }
            self.next += 1;
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
    }

    fn is_end_stream(&self) -> bool {
        let shared = self.replay.lock();
        shared.ended && self.next >= shared.kept.len() && !self.superseded(&shared)
    }

    fn size_hint(&self) -> SizeHint {
        let shared = self.replay.lock();
        let kept: u64 = shared
            .kept
            .iter()
            .skip(self.next)
            .map(|b| b.len() as u64)
            .sum();
        if shared.ended {
            return SizeHint::with_exact(kept);
        }
        match shared.source.size_hint().exact() {
            Some(rest) => SizeHint::with_exact(rest + kept),
            None => SizeHint::default(),
        }
    }
}
