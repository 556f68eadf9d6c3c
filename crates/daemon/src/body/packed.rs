//! Joins small frames of a body.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use tokio::time::Sleep;

use super::{Body, Cut};

/// Bytes that are joined to one frame, at most: the default size of an HTTP/2
/// frame.
const FRAME_BYTES: usize = 16_384;
/// Frames with fewer bytes are small.
const SMALL_BYTES: usize = 1_024;
/// Small frames in a row that are passed on at once, so that ordinary streams
/// are not held up.
const SMALL_MAX: u32 = 16;
/// Time for which a small frame after these waits for more bytes.
const HOLD: Duration = Duration::from_millis(5);

/// Body of HTTP/1.1 whose runs of small chunks are joined. Each chunk would
/// become a frame of HTTP/2 otherwise, and a peer closes a connection, with all
/// requests on it, on which too many small frames come.
pub(crate) struct Packed {
    inner: Body,
    joined: BytesMut,
    /// What ended a run of chunks: trailers, an error or the end of the body.
    next: Option<Option<Result<Frame<Bytes>, Cut>>>,
    /// Small frames in a row.
    small: u32,
    hold: Option<Pin<Box<Sleep>>>,
}

impl Packed {
    /// Wraps a body that is read from HTTP/1.1.
    pub(crate) fn wrap(inner: Body) -> Body {
        Self {
            inner,
            joined: BytesMut::new(),
            next: None,
            small: 0,
            hold: None,
        }
        .boxed_unsync()
    }

    /// Says whether the bytes that were joined wait for more.
    fn holds(&mut self, cx: &mut Context<'_>) -> bool {
        if self.joined.is_empty() {
            return true;
        }
        if self.small < SMALL_MAX || self.joined.len() >= SMALL_BYTES {
            return false;
        }
        let hold = self
            .hold
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(HOLD)));
        hold.as_mut().poll(cx).is_pending()
    }

    fn emit(&mut self) -> Frame<Bytes> {
        self.hold = None;
        self.small = match self.joined.len() < SMALL_BYTES {
            true => self.small.saturating_add(1),
            false => 0,
        };
        Frame::data(self.joined.split().freeze())
    }
}

impl http_body::Body for Packed {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        if let Some(next) = self.next.take() {
            return Poll::Ready(next);
        }
        loop {
            let frame = match Pin::new(&mut self.inner).poll_frame(cx) {
                Poll::Pending if self.holds(cx) => return Poll::Pending,
                Poll::Pending => break,
                Poll::Ready(frame) => frame,
            };
            let bytes = match frame {
                Some(Ok(frame)) if frame.is_data() => frame.into_data().unwrap_or_default(),
                end => {
                    if self.joined.is_empty() {
                        return Poll::Ready(end);
                    }
                    self.next = Some(end);
                    break;
                }
            };
            // A large frame, or the only one, is passed on without a copy.
            let last = self.inner.is_end_stream();
            if self.joined.is_empty() && (last || bytes.len() >= FRAME_BYTES) {
                self.small = 0;
                return Poll::Ready(Some(Ok(Frame::data(bytes))));
            }
            self.joined.extend_from_slice(&bytes);
            if last || self.joined.len() >= FRAME_BYTES {
                break;
            }
        }
        let frame = self.emit();
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.joined.is_empty() && self.next.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let joined = self.joined.len() as u64;
        match self.inner.size_hint().exact() {
            Some(rest) => SizeHint::with_exact(rest + joined),
            None => SizeHint::default(),
        }
    }
}
