//! Bodies of answers with what they hold.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};

use super::Exchange;
use crate::body::{Body, Error, Unsent};

/// Body of an answer, whose exchange becomes unsent when the body is dropped.
pub(super) struct Answer {
    inner: Body,
    exchange: Option<Exchange>,
    unsent: Unsent,
}

impl Answer {
    pub(super) fn new(inner: Body, exchange: Exchange, unsent: Unsent) -> Self {
        Self {
            inner,
            exchange: Some(exchange),
            unsent,
        }
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        if let Some(exchange) = self.exchange.take() {
            self.unsent.push(exchange);
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
