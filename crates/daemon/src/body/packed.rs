//! Joins small frames of a body.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use tokio::time::{Instant, Sleep};

use super::{Body, Error};

/// Bytes that are joined to one frame, at most: the default size of an HTTP/2
/// frame.
const FRAME_BYTES: usize = 16_384;
/// Frames with fewer bytes are small.
const SMALL_BYTES: usize = 1_024;
/// Time in which one more small frame may be passed on. Bytes wait that long
/// for others, so that an ordinary stream of events is not held up.
const SMALL_INTERVAL: Duration = Duration::from_millis(50);
/// Time by which small frames may come early: sixteen are passed on at once.
const SMALL_BURST: Duration = Duration::from_millis(800);

/// Body of HTTP/1.1 whose runs of small chunks are joined. Each chunk would
/// become a frame of HTTP/2 otherwise, and a peer closes a connection, with all
/// requests on it, on which too many small frames wait to be read.
pub struct Packed {
    inner: Body,
    joined: BytesMut,
    /// What ended a run of chunks: trailers, an error or the end of the body.
    next: Option<Option<Result<Frame<Bytes>, Error>>>,
    /// When the next small frame would be due if all came evenly.
    due: Instant,
    hold: Option<Pin<Box<Sleep>>>,
}

impl Packed {
    /// Wraps a body that is read from HTTP/1.1.
    pub fn wrap(inner: Body) -> Body {
        Self {
            inner,
            joined: BytesMut::new(),
            next: None,
            due: Instant::now(),
            hold: None,
        }
        .boxed_unsync()
    }

    /// Says whether the bytes that were joined wait for more.
    fn holds(&mut self, cx: &mut Context<'_>) -> bool {
        if self.joined.is_empty() {
            return true;
        }
        if self.joined.len() >= SMALL_BYTES || Instant::now() + SMALL_BURST > self.due {
            return false;
        }
        let until = self.due - SMALL_BURST;
        let hold = self
            .hold
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(until)));
        hold.as_mut().poll(cx).is_pending()
    }

    fn emit(&mut self) -> Frame<Bytes> {
        self.hold = None;
        if self.joined.len() < SMALL_BYTES {
            self.due = self.due.max(Instant::now()) + SMALL_INTERVAL;
        }
        Frame::data(self.joined.split().freeze())
    }
}

impl http_body::Body for Packed {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
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
