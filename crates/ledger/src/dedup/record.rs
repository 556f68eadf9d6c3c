//! Record of one idempotency key.

use std::sync::Arc;
use std::time::Duration;

use super::Answer;

/// Attempts and state of one key.
#[derive(Debug)]
pub(super) struct Record {
    pub(super) attempts: Attempts,
    pub(super) state: State,
    /// Time of the last outcome; zero before the first.
    pub(super) outcome_at: Duration,
}

impl Record {
    /// Creates the record of a key that starts to run.
    pub(super) fn new(attempts: Attempts) -> Self {
        Self {
            attempts,
            state: State::Running,
            outcome_at: Duration::ZERO,
        }
    }
}

/// Attempts of a key that the holder has seen.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Attempts {
    /// The caller does not number the attempts.
    Unnumbered,
    /// The holder has seen all attempts from 1 to this number.
    SeenThrough(u32),
}

/// State of a key.
#[derive(Debug, Eq, PartialEq)]
pub(super) enum State {
    /// An attempt is running.
    Running,
    /// No attempt ran, and no attempt that an entry received until `at` will
    /// run.
    NotRun {
        /// Time of the latest `not-run` answer.
        at: Duration,
    },
    /// An attempt may have run. This state is final.
    MayHaveRun,
    /// An attempt ran. Holds its answer unless that was too large to store.
    Ran(Option<Arc<Answer>>),
}
