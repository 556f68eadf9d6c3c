//! Answers that the HTTP library has taken and not yet written.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Released when dropped.
type Guard = Box<dyn Send>;

/// Guards of the answers on one connection that were passed to the HTTP library
/// completely, and not yet written to the connection.
#[derive(Clone, Default)]
pub struct Unsent(Arc<Mutex<Vec<Guard>>>);

impl Unsent {
    /// Keeps `guard` until everything is written.
    pub fn push(&self, guard: impl Send + 'static) {
        self.lock().push(Box::new(guard));
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
