//! Drains request bodies that are still arriving when the answer is complete.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt;

use crate::body::{self, Body, Error};

/// Time for which the rest of a body is read. The connection of a caller that
/// sends for longer is closed.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Body whose unread rest is read and discarded after it is dropped.
///
/// The operating system resets a connection that is closed with unread bytes,
/// and the reset can reach the caller before an early answer does.
pub(super) struct Drained {
    inner: Body,
    /// Set once the body was read to its end.
    ended: Arc<AtomicBool>,
}

impl Drained {
    /// Wraps the body of an HTTP/1.1 request. Sets `ended` once the body was
    /// read to its end.
    pub(super) fn wrap(inner: Body, ended: Arc<AtomicBool>) -> Body {
        ended.store(inner.is_end_stream(), Ordering::Relaxed);
        Self { inner, ended }.boxed_unsync()
    }
}

impl http_body::Body for Drained {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        if matches!(&polled, Poll::Ready(None | Some(Err(_)))) || self.inner.is_end_stream() {
            self.ended.store(true, Ordering::Relaxed);
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

impl Drop for Drained {
    fn drop(&mut self) {
        if self.ended.load(Ordering::Relaxed) || self.inner.is_end_stream() {
            return;
        }
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        let mut rest = std::mem::replace(&mut self.inner, body::empty());
        let read = async move { while let Some(Ok(_)) = rest.frame().await {} };
        runtime.spawn(tokio::time::timeout(DRAIN_TIMEOUT, read));
    }
}
