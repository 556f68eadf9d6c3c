//! The stream from which the HTTP library reads a connection.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};
use tokio::io::AsyncWrite;

use super::Pipeline;

/// Connection whose reads pass through its [`Pipeline`].
pub(crate) struct Stream(Pipeline);

impl Stream {
    pub(super) fn new(pipeline: Pipeline) -> Self {
        Self(pipeline)
    }
}

impl Read for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        self.0.lock().poll_read(cx, cursor)
    }
}

impl Write for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.0.lock();
        let polled = Pin::new(&mut state.stream).poll_write(cx, bytes);
        state.set_blocked(polled.is_pending());
        polled
    }

    /// Called by the library once everything is written.
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.0.lock().stream).poll_flush(cx);
        if matches!(polled, Poll::Ready(Ok(()))) {
            self.0.unsent.flushed();
        }
        polled
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.lock().stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.0.lock();
        let polled = Pin::new(&mut state.stream).poll_write_vectored(cx, parts);
        state.set_blocked(polled.is_pending());
        polled
    }
}
