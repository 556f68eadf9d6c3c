//! Record of one key.

use std::sync::Arc;
use std::time::Duration;

use super::Answer;

/// What is remembered of a key.
#[derive(Debug)]
pub(super) struct Record {
    pub(super) attempts: Attempts,
    pub(super) state: State,
    /// Time of the last outcome.
    pub(super) outcome_at: Duration,
}

impl Record {
    pub(super) fn new(attempts: Attempts) -> Self {
        Self {
            attempts,
            state: State::Running,
            outcome_at: Duration::ZERO,
        }
    }
}

/// Attempts of a key that were seen.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Attempts {
    /// The attempts are unmarked.
    Unnumbered,
    /// All attempts from 1 to this one were seen.
    SeenThrough(u32),
}

/// Outcome of a key.
#[derive(Debug, Eq, PartialEq)]
pub(super) enum State {
    /// An attempt is running.
    Running,
    /// No attempt ran, and none that an entry received until `at` will.
    NotRun {
        /// Time of the latest `not-run`.
        at: Duration,
    },
    /// An attempt may have run; permanent.
    MayHaveRun,
    /// An attempt ran; its answer unless it was too large.
    Ran(Option<Arc<Answer>>),
}
