//! Handling of work with an idempotency key at its entry: the fallback if the
//! holder does not answer, and the time of receipt by the holder's clock.

use std::time::Duration;

use savorylane_wire::Verdict;

/// Whether the holder received a request, as far as the entry can tell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Delivery {
    /// The holder did not and will not receive the request: the connection was
    /// refused, or the stream was refused unprocessed.
    Never,
    /// The holder may have received the request.
    Unknown,
}

/// Action of the entry for keyed work that the holder did not answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fallback {
    /// Route the request like work without a key that must not be repeated.
    RunElsewhere,
    /// Refuse the request with this verdict.
    Refuse(Verdict),
}

/// Returns the fallback for keyed work that the holder did not answer.
///
/// Attempt 1 reaches an entry only once. If the holder did not receive it, no
/// other daemon has a copy, and the entry may run it anywhere. A later attempt
/// then finds no record at the holder and does not run.
pub fn fallback(attempt: Option<u32>, delivery: Delivery) -> Fallback {
    match (attempt, delivery) {
        (Some(1), Delivery::Never) => Fallback::RunElsewhere,
        _ => Fallback::Refuse(Verdict::MayHaveRun),
    }
}

/// Returns a lower bound, by the holder's clock, of the time at which the entry
/// received a request.
///
/// `clock` is the holder's reading of its clock. By the entry's clock,
/// `answered` is the time at which that reading arrived, and `received` is the
/// time at which the entry received the request. The holder read its clock
/// before `answered`, so the whole time from `received` to `answered` is
/// subtracted. Subtracting only the time up to the question would make the
/// request look younger than it is by the latency of the question.
pub fn receipt_timestamp(clock: Duration, answered: Duration, received: Duration) -> Duration {
    clock.saturating_sub(answered.saturating_sub(received))
}
