//! Coalesces the small frames of a body.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use tokio::time::{Instant, Sleep};

use super::{Body, Error};

/// Maximum number of bytes that are coalesced into one frame: the default size
/// limit of an HTTP/2 frame.
const MAX_FRAME_BYTES: usize = 16_384;
/// Size below which a frame is small and its rate limited.
const SMALL_FRAME_BYTES: usize = 1_024;
/// Interval at which small frames may be passed on. Bytes wait at most this
/// long for more, so that an ordinary stream of events is not delayed.
const SMALL_FRAME_INTERVAL: Duration = Duration::from_millis(50);
/// Time by which small frames may be ahead of their rate: a burst of sixteen is
/// passed on without delay.
const SMALL_FRAME_BURST: Duration = Duration::from_millis(800);

/// HTTP/1.1 body whose runs of small chunks are coalesced. Otherwise each chunk
/// becomes an HTTP/2 frame, and a peer closes a connection, with all requests
/// on it, if too many small frames on it wait to be read.
pub struct Packed {
    inner: Body,
    /// Bytes of the frame that is being assembled.
    buffer: BytesMut,
    /// What ended a run of chunks and follows the buffered bytes: trailers, an
    /// error or the end of the body.
    pending: Option<Option<Result<Frame<Bytes>, Error>>>,
    /// When the next small frame is due at an even rate (the theoretical
    /// arrival time of the generic cell rate algorithm).
    next_due: Instant,
    /// Fires when the buffered bytes may be passed on as a small frame.
    delay: Option<Pin<Box<Sleep>>>,
}

impl Packed {
    /// Wraps a body that is received over HTTP/1.1.
    pub fn wrap(inner: Body) -> Body {
        Self {
            inner,
            buffer: BytesMut::new(),
            pending: None,
            next_due: Instant::now(),
            delay: None,
        }
        .boxed_unsync()
    }

    /// Returns whether the buffered bytes must wait for more, and registers the
    /// task to be woken when they may be passed on.
    fn must_wait(&mut self, cx: &mut Context<'_>) -> bool {
        if self.buffer.is_empty() {
            return true;
        }
        if self.buffer.len() >= SMALL_FRAME_BYTES
            || Instant::now() + SMALL_FRAME_BURST > self.next_due
        {
            return false;
        }
        let until = self.next_due - SMALL_FRAME_BURST;
        let delay = self
            .delay
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(until)));
        delay.as_mut().poll(cx).is_pending()
    }

    /// Takes the buffered bytes as a frame, and counts it if it is small.
    fn flush(&mut self) -> Frame<Bytes> {
        self.delay = None;
        if self.buffer.len() < SMALL_FRAME_BYTES {
            self.next_due = self.next_due.max(Instant::now()) + SMALL_FRAME_INTERVAL;
        }
        Frame::data(self.buffer.split().freeze())
    }
}

impl http_body::Body for Packed {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        if let Some(pending) = self.pending.take() {
            return Poll::Ready(pending);
        }
        loop {
            let frame = match Pin::new(&mut self.inner).poll_frame(cx) {
                Poll::Pending if self.must_wait(cx) => return Poll::Pending,
                Poll::Pending => break,
                Poll::Ready(frame) => frame,
            };
            let bytes = match frame {
                Some(Ok(frame)) if frame.is_data() => frame.into_data().unwrap_or_default(),
                end => {
                    if self.buffer.is_empty() {
                        return Poll::Ready(end);
                    }
                    self.pending = Some(end);
                    break;
                }
            };
            // A frame that is large or the last one is passed on without a
            // copy if nothing is buffered.
            let last = self.inner.is_end_stream();
            if self.buffer.is_empty() && (last || bytes.len() >= MAX_FRAME_BYTES) {
                return Poll::Ready(Some(Ok(Frame::data(bytes))));
            }
            self.buffer.extend_from_slice(&bytes);
            if last || self.buffer.len() >= MAX_FRAME_BYTES {
                break;
            }
        }
        let frame = self.flush();
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.buffer.is_empty() && self.pending.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let buffered = self.buffer.len() as u64;
        match self.inner.size_hint().exact() {
            Some(rest) => SizeHint::with_exact(rest + buffered),
            None => SizeHint::default(),
        }
    }
}
