//! Replays a caller's body in several attempts.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt;

use super::{Body, Error, lock};
use crate::intake::Lease;

/// Maximum number of bytes of a request body that are buffered for another
/// attempt. A gatekeeper refuses after reading less, but an upstream may refuse
/// after reading the whole body.
const MAX_BUFFERED_BYTES: usize = 320 << 10;

/// What was wrong with a caller's body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The body is larger than the limit.
    Oversized,
    /// The body is malformed or ended early.
    Broken,
}

/// A caller's body that several attempts can send as long as all bytes read so
/// far are buffered.
///
/// Only the latest attempt reads from the caller. The buffer is discarded when
/// the body exceeds it.
#[derive(Clone)]
pub struct Replay {
    shared: Arc<Mutex<Shared>>,
}

/// State that the attempts share.
struct Shared {
    source: Body,
    buffered: Vec<Bytes>,
    buffered_bytes: usize,
    read_bytes: u64,
    limit: u64,
    /// Whether the caller's body was read to its end.
    ended: bool,
    /// Whether the buffer was discarded because the body exceeds it.
    discarded: bool,
    /// Whether the answer has ended; the rest of the body may then be missing.
    answered: bool,
    /// Number of attempts so far; only the latest one reads from the caller.
    attempts: u64,
    fault: Option<Fault>,
    /// Memory for the buffer; without a lease, only its maximum size limits it.
    lease: Option<Lease>,
}

impl Replay {
    /// Wraps a caller's body, which may have at most `limit` bytes.
    pub fn new<Source>(source: Source, limit: u64) -> Self
    where
        Source: http_body::Body<Data = Bytes> + Send + 'static,
        Source::Error: Into<Error>,
    {
        let source = source.map_err(Into::into).boxed_unsync();
        let ended = source.is_end_stream();
        Self {
            shared: Arc::new(Mutex::new(Shared {
                source,
                buffered: Vec::new(),
                buffered_bytes: 0,
                read_bytes: 0,
                limit,
                ended,
                discarded: false,
                answered: false,
                attempts: 0,
                fault: None,
                lease: None,
            })),
        }
    }

    /// Holds the memory of the body as long as the body is used.
    pub fn hold(&self, lease: Lease) {
        self.lock().lease = Some(lease);
    }

    /// Returns whether the caller's body has arrived completely.
    pub fn has_arrived(&self) -> bool {
        self.lock().ended
    }

    /// Returns the number of bytes that remain to be read; `None` if it is not
    /// known.
    pub fn remaining_size(&self) -> Option<u64> {
        self.lock().source.size_hint().exact()
    }

    /// Returns whether another attempt can send the whole body.
    pub fn is_repeatable(&self) -> bool {
        let shared = self.lock();
        !shared.discarded && shared.fault.is_none()
    }

    /// Returns whether the whole body is buffered, so that nothing remains to
    /// be read from the caller.
    pub fn is_buffered(&self) -> bool {
        let shared = self.lock();
        shared.ended && !shared.discarded
    }

    /// Reads the whole body into the buffer if it is known to fit and there is
    /// memory for it, so that no attempt depends on the caller's connection.
    ///
    /// # Errors
    ///
    /// Returns why the body ended early.
    pub async fn buffer_if_small(&self) -> Result<(), Error> {
        let small = {
            let mut shared = self.lock();
            let rest = shared.source.size_hint().exact();
            let fits = |rest: &u64| *rest <= MAX_BUFFERED_BYTES as u64;
            let rest = rest.filter(fits);
            rest.is_some_and(|rest| shared.take_memory(rest as usize))
        };
        if !small {
            return Ok(());
        }
        let mut attempt = self.next_attempt();
        attempt.must_buffer = true;
        while let Some(frame) = attempt.frame().await {
            frame?;
        }
        Ok(())
    }

    /// Reads a body of unknown size until it ends or exceeds `max_bytes`, so
    /// that the size of a small body becomes known.
    ///
    /// # Errors
    ///
    /// Returns why the body ended early.
    pub async fn read_ahead(&self, max_bytes: usize) -> Result<(), Error> {
        let mut attempt = self.next_attempt();
        attempt.must_buffer = true;
        let mut read = 0;
        while attempt.size_hint().exact().is_none() && read <= max_bytes {
            let Some(frame) = attempt.frame().await else {
                break;
            };
            read += frame?.data_ref().map_or(0, Bytes::len);
        }
        Ok(())
    }

    /// Records that the answer has ended. The HTTP server then drops the unread
    /// rest of the body, and its library reports that as the end of the body.
    /// An upstream that answered early and still reads must not take this for
    /// the real end.
    pub fn mark_answered(&self) {
        self.lock().answered = true;
    }

    /// Returns what was wrong with the part of the body that was read.
    pub fn fault(&self) -> Option<Fault> {
        self.lock().fault
    }

    /// Starts an attempt and returns its body. Bodies of earlier attempts that
    /// have not read everything fail from now on, except for what is buffered:
    /// an upstream that answered early may still be reading such a body, and
    /// would take frames that the new attempt needs.
    pub fn attempt_body(&self) -> Body {
        self.next_attempt().boxed_unsync()
    }

    fn next_attempt(&self) -> Attempt {
        let mut shared = self.lock();
        shared.attempts += 1;
        Attempt {
            replay: self.clone(),
            number: shared.attempts,
            next_frame: 0,
            must_buffer: false,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        lock(&self.shared)
    }
}

/// Body of one attempt.
struct Attempt {
    replay: Replay,
    number: u64,
    /// Index of the next frame in the buffer.
    next_frame: usize,
    /// Whether frames are buffered without taking memory for them: it was taken
    /// before, or the frames are few. A frame that is read ahead and not
    /// buffered would be lost.
    must_buffer: bool,
}

impl Shared {
    /// Takes memory for the buffer. Returns `false` if there is none.
    fn take_memory(&mut self, bytes: usize) -> bool {
        match &mut self.lease {
            Some(lease) => lease.take(bytes as u64),
            None => true,
        }
    }
}

impl Attempt {
    /// Returns whether a later attempt reads the rest of the body, so that this
    /// one cannot be completed.
    fn is_superseded(&self, shared: &Shared) -> bool {
        self.number != shared.attempts && (shared.discarded || !shared.ended)
    }
}

impl http_body::Body for Attempt {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let replay = self.replay.clone();
        let mut shared = replay.lock();
        if let Some(bytes) = shared.buffered.get(self.next_frame) {
            self.next_frame += 1;
            return Poll::Ready(Some(Ok(Frame::data(bytes.clone()))));
        }
        if self.is_superseded(&shared) {
            return Poll::Ready(Some(Err("another attempt reads the body".into())));
        }
        if shared.ended {
            return Poll::Ready(None);
        }
        loop {
            if shared.answered {
                shared.fault = Some(Fault::Broken);
                return Poll::Ready(Some(Err("the answer ended before the body".into())));
            }
            let frame = match Pin::new(&mut shared.source).poll_frame(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => {
                    shared.ended = true;
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(error))) => {
                    shared.fault = Some(Fault::Broken);
                    return Poll::Ready(Some(Err(error)));
                }
                Poll::Ready(Some(Ok(frame))) => frame,
            };
            // Trailers of a request are not forwarded.
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            shared.ended = shared.source.is_end_stream();
            shared.read_bytes += bytes.len() as u64;
            if shared.read_bytes > shared.limit {
                shared.fault = Some(Fault::Oversized);
                return Poll::Ready(Some(Err("the body is larger than the limit".into())));
            }
            let fits = shared.buffered_bytes + bytes.len() <= MAX_BUFFERED_BYTES;
            if fits && !shared.discarded && (self.must_buffer || shared.take_memory(bytes.len())) {
                shared.buffered_bytes += bytes.len();
                shared.buffered.push(bytes.clone());
            } else {
                shared.discarded = true;
                shared.buffered.clear();
            }
            self.next_frame += 1;
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
    }

    fn is_end_stream(&self) -> bool {
        let shared = self.replay.lock();
        shared.ended && self.next_frame >= shared.buffered.len() && !self.is_superseded(&shared)
    }

    fn size_hint(&self) -> SizeHint {
        let shared = self.replay.lock();
        let buffered: u64 = shared
            .buffered
            .iter()
            .skip(self.next_frame)
            .map(|b| b.len() as u64)
            .sum();
        if shared.ended {
            return SizeHint::with_exact(buffered);
        }
        match shared.source.size_hint().exact() {
            Some(rest) => SizeHint::with_exact(rest + buffered),
            None => SizeHint::default(),
        }
    }
}
