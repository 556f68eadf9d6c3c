//! Answers that the HTTP library has taken and not yet written.

use std::fmt;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;

use super::{Body, Error};

/// What an answer holds; released when dropped.
type Guard = Box<dyn Send>;

/// Guards of the answers on one connection that were passed to the HTTP library
/// completely, and not yet written to the connection.
#[derive(Clone, Default)]
pub struct Unsent(Arc<Mutex<Vec<Guard>>>);

impl Unsent {
    /// Returns `body` with a guard that is dropped once the body was dropped and
    /// everything was written.
    pub fn guard(&self, body: Body, guard: impl Send + 'static) -> Body {
        let guarded = Guarded {
            inner: body,
            guard: Some(Box::new(guard)),
            unsent: self.clone(),
        };
        guarded.boxed_unsync()
    }

    /// Records that everything was written.
    pub fn flushed(&self) {
        let sent = std::mem::take(&mut *self.lock());
        // The guards take locks of their own, so they are dropped outside this
        // one.
        drop(sent);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Guard>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for Unsent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Unsent")
    }
}

/// Body of an answer with its guard.
struct Guarded {
    inner: Body,
    guard: Option<Guard>,
    unsent: Unsent,
}

impl Drop for Guarded {
    fn drop(&mut self) {
        let guard = self.guard.take();
        self.unsent.lock().extend(guard);
    }
}

impl http_body::Body for Guarded {
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
