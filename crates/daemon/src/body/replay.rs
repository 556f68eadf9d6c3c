//! A caller's body that several attempts can send.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt;

use super::{Body, Error, lock};

/// Bytes of a request body that are kept for another attempt. A gatekeeper
/// refuses after less; an upstream that refuses may have read all of a body.
const MAX_BUFFERED_BYTES: usize = 320 << 10;

/// What was wrong with a caller's body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// It is larger than the limit.
    Oversized,
    /// It is malformed or ended early.
    Broken,
}

/// A caller's body that several attempts can send, as long as no more than
/// the kept bytes were read.
#[derive(Clone)]
pub struct Replay {
    shared: Arc<Mutex<Shared>>,
}

struct Shared {
    source: Body,
    buffered: Vec<Bytes>,
    buffered_bytes: usize,
    read_bytes: u64,
    limit: u64,
    ended: bool,
    discarded: bool,
    /// Set once the answer has ended; the rest of the body may then be missing.
    answered: bool,
    /// Number of attempts; only the latest one reads on from the caller.
    attempts: u64,
    fault: Option<Fault>,
}

impl Replay {
    /// Takes a caller's body of at most `limit` bytes.
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
            })),
        }
    }

    /// Says whether another attempt can send the whole body.
    pub fn is_repeatable(&self) -> bool {
        let shared = self.lock();
        !shared.discarded && shared.fault.is_none()
    }

    /// Says whether nothing remains to be read from the caller.
    pub fn is_buffered(&self) -> bool {
        let shared = self.lock();
        shared.ended && !shared.discarded
    }

    /// Reads the whole body if it is known to be small enough to be kept, so
    /// that no attempt depends on the caller's connection.
    ///
    /// # Errors
    ///
    /// Returns how the body was cut.
    pub async fn buffer_if_small(&self) -> Result<(), Error> {
        let small = {
            let shared = self.lock();
            let rest = shared.source.size_hint().exact();
            rest.is_some_and(|rest| rest <= MAX_BUFFERED_BYTES as u64)
        };
        if !small {
            return Ok(());
        }
        let mut attempt = self.next_attempt();
        while let Some(frame) = attempt.frame().await {
            frame?;
        }
        Ok(())
    }

    /// Reads a body of unknown size until it has more than `max_bytes` bytes or ends,
    /// so that a small one is known to be small.
    ///
    /// # Errors
    ///
    /// Returns how the body was cut.
    pub async fn read_ahead(&self, max_bytes: usize) -> Result<(), Error> {
        let mut attempt = self.next_attempt();
        let mut read = 0;
        while attempt.size_hint().exact().is_none() && read <= max_bytes {
            let Some(frame) = attempt.frame().await else {
                break;
            };
            read += frame?.data_ref().map_or(0, Bytes::len);
        }
        Ok(())
    }

    /// Takes the end of the answer. The server then drops what it has not read
    /// of the body, and the library reports that as the body's end. An upstream
    /// that answered early and reads on must not take it for one.
    pub fn mark_answered(&self) {
        self.lock().answered = true;
    }

    /// Returns what was wrong with the part that was read.
    pub fn fault(&self) -> Option<Fault> {
        self.lock().fault
    }

    /// Returns the body of one attempt. Earlier attempts that have not read the
    /// whole body fail from now on: an upstream that answered early may still be
    /// reading one, and would take frames that the new attempt needs.
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
        }
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        lock(&self.shared)
    }
}

struct Attempt {
    replay: Replay,
    number: u64,
    next_frame: usize,
}

impl Attempt {
    /// Says whether the attempt lacks bytes that it can no longer get.
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
            // Trailers of a request are not passed on.
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            shared.ended = shared.source.is_end_stream();
            shared.read_bytes += bytes.len() as u64;
            if shared.read_bytes > shared.limit {
                shared.fault = Some(Fault::Oversized);
                return Poll::Ready(Some(Err("the body is larger than the limit".into())));
            }
            if shared.buffered_bytes + bytes.len() <= MAX_BUFFERED_BYTES && !shared.discarded {
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
