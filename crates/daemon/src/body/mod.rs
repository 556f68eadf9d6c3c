//! Streamed bodies of requests and answers.

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
use tokio_util::sync::CancellationToken;

mod packed;
mod replay;
mod stall;
mod unsent;

pub use packed::Packed;
pub use replay::{Fault, Replay};
pub use stall::Stall;
pub use unsent::Unsent;

/// Why a body ended early. The connection or stream is then reset, so that a
/// truncated body is never taken for a complete one.
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

/// Reads up to `max_bytes` bytes of a body. Returns the bytes, whether the body
/// ended with them, and a body that still yields them.
///
/// # Errors
///
/// Returns why the body ended early.
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

/// Body of which the first frames were read ahead.
struct Peeked {
    first: VecDeque<Bytes>,
    rest: Body,
    /// Whether `rest` has no more frames.
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

/// Time after the deadline within which a body may still end, so that an answer
/// whose head arrived in time is delivered completely rather than truncated.
const DEADLINE_GRACE: Duration = Duration::from_millis(200);

/// Observer of the end of a body.
pub trait Observer: Send + 'static {
    /// Called before [`Observer::on_end`] if the source of the body failed.
    fn on_error(&mut self, _error: &Error) {}

    /// Called exactly once. `complete` states whether the last frame was passed
    /// on.
    fn on_end(self, complete: bool);
}

/// Body that is truncated at a deadline or a size limit, and that reports to an
/// observer how it ended.
///
/// The deadline is enforced in two places:
/// - by a task, because a server that waits for a slow caller does not poll the
///   body,
/// - with each frame, because the reader of a body that is always ready can
///   keep the task from running.
pub struct Watched<O: Observer> {
    shared: Arc<Mutex<Shared<O>>>,
    deadline: Instant,
    timer: AbortHandle,
}

/// State that the reader of a body and the task of its deadline share.
struct Shared<O: Observer> {
    /// `None` after the body was truncated.
    inner: Option<Body>,
    /// `None` after the end was reported.
    observer: Option<O>,
    /// Number of bytes that may still be passed on.
    remaining_bytes: u64,
    /// Waker of the reader that waits for a frame.
    reader: Option<Waker>,
    /// Whether the last frame was passed on. The body is then not truncated.
    ended: bool,
}

impl<O: Observer> Watched<O> {
    /// Wraps `inner`, which is truncated 0.2 s after `deadline`, and before the
    /// frame that exceeds `limit` bytes in total.
    pub fn wrap(inner: Body, deadline: Instant, limit: u64, observer: O) -> Body {
        Self::wrap_until(inner, deadline, &CancellationToken::new(), limit, observer)
    }

    /// Wraps `inner` as [`Watched::wrap`] does. The body is also truncated when
    /// `cancel` is cancelled.
    pub fn wrap_until(
        inner: Body,
        deadline: Instant,
        cancel: &CancellationToken,
        limit: u64,
        observer: O,
    ) -> Body {
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
        let cancel = cancel.clone();
        let timer = tokio::spawn(async move {
            let passed = tokio::time::sleep_until(deadline.into());
            let _ = cancel.run_until_cancelled(passed).await;
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
    /// Truncates the body unless it has ended. The caller drops the returned
    /// body outside the lock, which closes its connection or stream.
    fn abort(&mut self) -> Option<Body> {
        if self.ended {
            return None;
        }
        self.end(false);
        self.inner.take()
    }

    /// Reports the end to the observer, once.
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
            return Poll::Ready(Some(Err("the body was cut before its end".into())));
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
        // The task of the deadline can outlive this body by a moment and still
        // hold the shared state, so the inner body is dropped here.
        let body = lock(&self.shared).abort();
        drop(body);
    }
}
