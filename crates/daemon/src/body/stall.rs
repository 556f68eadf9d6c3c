//! Bodies that report when the daemon waits for their peer.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt;

use super::{Body, Error};

/// Told whether the peer is waited for, at each change.
type Report = Box<dyn Fn(bool) + Send>;

/// What the peer does with a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Role {
    /// The peer sends the body, and is waited for while there is nothing to
    /// read.
    Sender,
    /// The peer reads the body, and is waited for while there is something to
    /// read.
    Reader,
}

/// Body that reports when its peer is waited for.
pub struct Stall {
    inner: Body,
    role: Role,
    is_waiting: bool,
    report: Report,
}

impl Stall {
    /// Wraps a body that a peer sends.
    pub fn of_sender(inner: Body, report: impl Fn(bool) + Send + 'static) -> Body {
        Self::wrap(inner, Role::Sender, report)
    }

    /// Wraps a body that a peer reads.
    pub fn of_reader(inner: Body, report: impl Fn(bool) + Send + 'static) -> Body {
        Self::wrap(inner, Role::Reader, report)
    }

    fn wrap(inner: Body, role: Role, report: impl Fn(bool) + Send + 'static) -> Body {
        if inner.is_end_stream() {
            return inner;
        }
        let mut stall = Self {
            inner,
            role,
            is_waiting: false,
            report: Box::new(report),
        };
        stall.set_waiting(role == Role::Reader);
        stall.boxed_unsync()
    }

    fn set_waiting(&mut self, is_waiting: bool) {
        if self.is_waiting != is_waiting {
            self.is_waiting = is_waiting;
            (self.report)(is_waiting);
        }
    }
}

impl http_body::Body for Stall {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        let is_waiting = match (self.role, &polled) {
            (Role::Sender, polled) => polled.is_pending(),
            (Role::Reader, Poll::Ready(Some(Ok(_)))) => !self.inner.is_end_stream(),
            (Role::Reader, _) => false,
        };
        self.set_waiting(is_waiting);
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for Stall {
    fn drop(&mut self) {
        self.set_waiting(false);
    }
}
