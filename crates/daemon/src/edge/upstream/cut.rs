//! Bodies of requests that break off on their way to the upstream.
//!
//! The library then closes the connection, and reports the same errors as for
//! an upstream that closed it.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use snafu::Snafu;

use crate::body::{Body, Error};

/// An answer that ended early because the body of its request did.
#[derive(Debug, Snafu)]
#[snafu(display("the request's body was cut: {source}"))]
pub(super) struct Cut {
    #[snafu(source(from(Error, |source| source)))]
    source: Error,
}

/// Whether the body of a request broke off.
#[derive(Clone, Debug, Default)]
pub(super) struct Monitor(Arc<AtomicBool>);

impl Monitor {
    /// Returns the body of a request, which records whether it breaks off.
    pub(super) fn watch(&self, body: Body) -> Body {
        let monitor = self.clone();
        Monitored {
            inner: body,
            monitor,
        }
        .boxed_unsync()
    }

    /// Returns whether the body broke off.
    pub(super) fn is_cut(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    /// Returns the error with which an answer ended early, as [`Cut`] if the
    /// body of the request broke off before.
    pub(super) fn classify(&self, error: Error) -> Error {
        match self.is_cut() {
            true => Cut { source: error }.into(),
            false => error,
        }
    }
}

/// Body of a request on its way to the upstream.
struct Monitored {
    inner: Body,
    monitor: Monitor,
}

impl http_body::Body for Monitored {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        if matches!(polled, Poll::Ready(Some(Err(_)))) {
            self.monitor.0.store(true, Ordering::Release);
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
