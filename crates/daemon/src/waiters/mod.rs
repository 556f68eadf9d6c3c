//! Tasks that wait until their request is started or refused.

use std::collections::HashMap;

use savorylane_policy::gate::{Action, Reason};
use tokio::sync::oneshot;

/// Decision on a waiting request.
pub type Outcome = Result<(), Reason>;

/// Waiting tasks by the id of their request.
#[derive(Debug, Default)]
pub struct Waiters(HashMap<u64, oneshot::Sender<Outcome>>);

impl Waiters {
    /// Adds the task of the request `id`, and returns the receiver of the
    /// decision.
    pub fn add(&mut self, id: u64) -> oneshot::Receiver<Outcome> {
        let (sender, receiver) = oneshot::channel();
        self.0.insert(id, sender);
        receiver
    }

    /// Removes the task of the request `id`.
    pub fn remove(&mut self, id: u64) {
        self.0.remove(&id);
    }

    /// Sends a decision to the waiting task. Returns the id of the request if
    /// no task waits for it, so that the caller can release what it was
    /// granted.
    pub fn notify(&mut self, action: Action) -> Option<u64> {
        let (id, outcome) = match action {
            Action::Start(id) => (id, Ok(())),
            Action::Refuse(id, reason) => (id, Err(reason)),
        };
        let Some(sender) = self.0.remove(&id) else {
            return Some(id);
        };
        // A task that has just ended releases its grant when it is dropped.
        let _ = sender.send(outcome);
        None
    }
}
