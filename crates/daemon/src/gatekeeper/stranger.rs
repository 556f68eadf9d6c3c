//! Requests of peers that are no hosts of the deployment: the gate learns when
//! such a request waits for its peer, and may give its slot to others.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::Response;
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt;

use crate::body::{Body, Error};
use crate::kernel;

/// A stranger's request that holds a slot.
#[derive(Clone)]
pub(super) struct Turn {
    context: Arc<kernel::Context>,
    id: u64,
}

impl Turn {
    pub(super) fn new(context: &Arc<kernel::Context>, id: u64) -> Self {
        let context = Arc::clone(context);
        Self { context, id }
    }

    /// Returns the body of the request, whose peer is waited for while it has
    /// nothing to read.
    pub(super) fn receive(self, body: Body) -> Body {
        let received = Received {
            inner: body,
            turn: self,
        };
        received.boxed_unsync()
    }

    /// Returns the answer, whose peer is waited for while it does not read.
    pub(super) fn answer(self, answer: Response<Body>) -> Response<Body> {
        answer.map(|body| match body.is_end_stream() {
            true => body,
            false => {
                self.stall();
                let unread = Unread {
                    inner: body,
                    turn: self,
                };
                unread.boxed_unsync()
            }
        })
    }

    fn stall(&self) {
        let gatekeeper = &self.context.gatekeeper;
        gatekeeper.lock().gate.stall(gatekeeper.now(), self.id);
        // The end of the stall may be the next timer.
        gatekeeper.changed.notify_one();
    }

    fn resume(&self) {
        let gatekeeper = &self.context.gatekeeper;
        gatekeeper.lock().gate.resume(gatekeeper.now(), self.id);
    }
}

/// Body of a request that holds a slot.
struct Received {
    inner: Body,
    turn: Turn,
}

impl http_body::Body for Received {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        match polled {
            Poll::Pending => self.turn.stall(),
            Poll::Ready(_) => self.turn.resume(),
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

/// Body of an answer that its peer has not read completely.
struct Unread {
    inner: Body,
    turn: Turn,
}

impl http_body::Body for Unread {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        match polled {
            Poll::Pending => self.turn.resume(),
            Poll::Ready(_) => self.turn.stall(),
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
