//! Tasks that wait until they may go on or are refused.

use std::collections::HashMap;

use savorylane_policy::gate::{Action, Reason};
use tokio::sync::oneshot;

/// What a waiting task is told.
pub type Outcome = Result<(), Reason>;

/// Waiting tasks by the number of their request.
#[derive(Debug, Default)]
pub struct Waiters(HashMap<u64, oneshot::Sender<Outcome>>);

impl Waiters {
    /// Adds the task of a request, and returns what tells it.
    pub fn add(&mut self, id: u64) -> oneshot::Receiver<Outcome> {
        let (sender, receiver) = oneshot::channel();
        self.0.insert(id, sender);
        receiver
    }

    /// Forgets the task of a request.
    pub fn remove(&mut self, id: u64) {
        self.0.remove(&id);
    }

    /// Tells a task what was decided. Returns the number of its request if
    /// there is none, so that what it was given can be taken back.
    pub fn notify(&mut self, action: Action) -> Option<u64> {
        let (id, outcome) = match action {
            Action::Start(id) => (id, Ok(())),
            Action::Refuse(id, reason) => (id, Err(reason)),
        };
        let Some(sender) = self.0.remove(&id) else {
            return Some(id);
        };
        // A task that has just ended gives back what it has when it is dropped.
        let _ = sender.send(outcome);
        None
    }
}
