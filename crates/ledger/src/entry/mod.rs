//! What an entry does with keyed work that it could not hand to the holder.

use std::time::Duration;

use savorylane_wire::Verdict;

/// What the entry knows about the holder's receipt of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Delivery {
    /// The holder certainly did not receive and will not receive the request:
    /// the connection was refused, or the stream was refused unprocessed.
    Never,
    /// The holder may have received the request.
    Unknown,
}

/// Next step of the entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fallback {
    /// Route the request like unkeyed work that must not be repeated.
    RunElsewhere,
    /// Answer the caller.
    Refuse(Verdict),
}

/// Decides about keyed work that has no answer from the holder.
///
/// Attempt 1 arrives once, so when the holder did not receive it, no daemon
/// has a copy and it may run anywhere. A later attempt then finds no record at
/// the holder and does not run.
pub fn fallback(attempt: Option<u32>, delivery: Delivery) -> Fallback {
    match (attempt, delivery) {
        (Some(1), Delivery::Never) => Fallback::RunElsewhere,
        _ => Fallback::Refuse(Verdict::MayHaveRun),
    }
}

/// Returns a time of the holder's clock that is not later than the entry's
/// receipt of a request at `received`.
///
/// `clock` is what the holder answered, and `answered` when its answer reached
/// the entry, by the entry's clock. The holder read its clock before the answer
/// arrived, so the whole time from the receipt to the arrival is taken off.
/// Counting from the question instead would make a request look younger than it
/// is by the time that the question took.
pub fn receipt_timestamp(clock: Duration, answered: Duration, received: Duration) -> Duration {
    clock.saturating_sub(answered.saturating_sub(received))
}
