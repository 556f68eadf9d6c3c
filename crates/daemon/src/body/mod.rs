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
mod replay;

pub use packed::Packed;
pub use replay::{Fault, Replay};

/// Why a body ended early. The connection or stream is then reset, so that a
/// cut body is never taken for a complete one.
pub type Error = Box<dyn std::error::Error + Send + Sync>;

/// Body of a request or an answer.
pub type Body = UnsyncBoxBody<Bytes, Error>;

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

/// Reads the first `max_bytes` bytes of a body, or the whole of a shorter one.
/// Returns what was read, whether that was all, and a body that still has it.
///
/// # Errors
///
/// Returns how the body was cut.
pub async fn peek(mut body: Body, max_bytes: usize) -> Result<(Vec<u8>, bool, Body), Error> {
    let (mut start, mut first) = (Vec::new(), VecDeque::new());
    let mut ended = body.is_end_stream();
    while start.len() < max_bytes && !ended {
        match body.frame().await {
            None => ended = true,
            Some(frame) => {
                if let Ok(bytes) = frame?.into_data() {
                    start.extend_from_slice(&bytes[..bytes.len().min(max_bytes - start.len())]);
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
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
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
const DEADLINE_GRACE: Duration = Duration::from_millis(200);

/// Something that is told how a body ended.
pub trait Observer: Send + 'static {
    /// Called before the end if the source of the body failed with `_error`.
    fn on_error(&mut self, _error: &Error) {}

    /// Called once; `complete` says whether the last frame was passed on.
    fn on_end(self, complete: bool);
}

/// Body that is cut at a deadline or a limit and tells an observer how it
/// ended.
///
/// The deadline has a task of its own, since a server that waits for a slow
/// caller does not poll a body. A reader of a body that is always ready can keep
/// that task from running, so the deadline is also looked at with each frame.
pub struct Watched<O: Observer> {
    shared: Arc<Mutex<Shared<O>>>,
    deadline: Instant,
    timer: AbortHandle,
}

/// What the reader of a body and its timer share.
struct Shared<O: Observer> {
    /// None once the body was cut.
    inner: Option<Body>,
    observer: Option<O>,
    /// Bytes that may still be passed on.
    remaining_bytes: u64,
    /// Reader that waits for a frame.
    reader: Option<Waker>,
    /// Set once the last frame was passed on; nothing is cut then.
    ended: bool,
}

impl<O: Observer> Watched<O> {
    /// Wraps `inner`; it is cut 0.2 s after `deadline`, and before the frame
    /// that takes it beyond `limit` bytes.
    pub fn wrap(inner: Body, deadline: Instant, limit: u64, observer: O) -> Body {
        let deadline = deadline + DEADLINE_GRACE;
        if inner.is_end_stream() {
            observer.on_end(true);
            return inner;
        }
        let shared = Arc::new(Mutex::new(Shared {
            inner: Some(inner),
            observer: Some(observer),
            remaining_bytes: limit,
            reader: None,
            ended: false,
        }));
        let timed = Arc::clone(&shared);
        let timer = tokio::spawn(async move {
            tokio::time::sleep_until(deadline.into()).await;
            let (body, reader) = {
                let mut shared = lock(&timed);
                (shared.abort(), shared.reader.take())
            };
            drop(body);
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

impl<O: Observer> Shared<O> {
    /// Takes the body away, which closes its connection or stream once it is
    /// dropped.
    fn abort(&mut self) -> Option<Body> {
        if self.ended {
            return None;
        }
        self.end(false);
        self.inner.take()
    }

    fn end(&mut self, complete: bool) {
        self.ended |= complete;
        if let Some(observer) = self.observer.take() {
            observer.on_end(complete);
        }
    }
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<O: Observer> http_body::Body for Watched<O> {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let mut shared = lock(&self.shared);
        if Instant::now() >= self.deadline {
            shared.abort();
        }
        let Some(inner) = &mut shared.inner else {
            return Poll::Ready(Some(Err("the deadline passed within the body".into())));
        };
        let polled = Pin::new(&mut *inner).poll_frame(cx);
        let last = inner.is_end_stream();
        match polled {
            Poll::Ready(Some(Ok(frame))) => {
                let bytes = frame.data_ref().map_or(0, |bytes| bytes.len() as u64);
                let Some(remaining_bytes) = shared.remaining_bytes.checked_sub(bytes) else {
                    shared.abort();
                    return Poll::Ready(Some(Err("the answer is larger than the limit".into())));
                };
                shared.remaining_bytes = remaining_bytes;
                if last {
                    self.timer.abort();
                    shared.end(true);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(error))) => {
                if let Some(observer) = &mut shared.observer {
                    observer.on_error(&error);
                }
                shared.end(false);
                Poll::Ready(Some(Err(error)))
            }
            Poll::Ready(None) => {
                self.timer.abort();
                shared.end(true);
                Poll::Ready(None)
            }
            Poll::Pending => {
                shared.reader = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        let shared = lock(&self.shared);
        shared.inner.as_ref().is_some_and(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let shared = lock(&self.shared);
        shared
            .inner
            .as_ref()
            .map_or_else(SizeHint::default, Body::size_hint)
    }
}

impl<O: Observer> Drop for Watched<O> {
    fn drop(&mut self) {
        self.timer.abort();
        // The timer's task can outlive this by a moment; nothing waits for it.
        let body = lock(&self.shared).abort();
        drop(body);
    }
}
