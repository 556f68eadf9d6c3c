//! Bodies whose progress the intake follows.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;

use super::{Flow, Pending};
use crate::body::{Body, Error};

/// Body of a request. The time for which the daemon waits for its bytes counts
/// against the caller.
pub(super) struct Tracked {
    inner: Body,
    flow: Flow,
    /// Whether the daemon waits for bytes.
    waiting: bool,
}

impl Tracked {
    pub(super) fn wrap(inner: Body, flow: Flow) -> Body {
        Self {
            inner,
            flow,
            waiting: false,
        }
        .boxed_unsync()
    }
}

impl http_body::Body for Tracked {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        let Flow { intake, id, .. } = &self.flow;
        match &polled {
            Poll::Pending if !self.waiting => {
                intake.lock().policy.wait(intake.now(), *id);
                self.waiting = true;
            }
            Poll::Pending => {}
            Poll::Ready(frame) => {
                let last = !matches!(frame, Some(Ok(_))) || self.inner.is_end_stream();
                if self.waiting || last {
                    intake.lock().policy.resume(intake.now(), *id, last);
                    self.waiting = false;
                }
            }
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Body of an answer, with which its request ends.
pub(super) struct Answer {
    inner: Body,
    _pending: Pending,
}

impl Answer {
    pub(super) fn new(inner: Body, pending: Pending) -> Self {
        Self {
            inner,
            _pending: pending,
        }
    }
}

impl http_body::Body for Answer {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
