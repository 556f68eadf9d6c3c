//! What goes into a gate and what comes out.

use std::time::Duration;

use savorylane_intent::document;

/// A request that asks for a slot.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Identifies the request within this gate.
    pub id: u64,
    /// Hash of the class name; each class has its own queue.
    pub class: u64,
    /// Expected length.
    pub length: document::Work,
    /// Under overload, higher values are refused first.
    pub shed_order: u8,
    /// Moment after which the answer is of no use.
    pub deadline: Duration,
    /// Moment at which the target of the class is missed, by its arrival at
    /// the entry. Bounds the wait in the queue.
    pub target: Duration,
    /// Hash of the caller; callers share a queue fairly.
    pub caller: u64,
    /// Whether the request is suspect and must run with nothing beside it.
    pub exclusive: bool,
}

/// Why a request was refused. A refused request did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The upstream is away.
    Closed,
    /// The deadline cannot be met, or passed in the queue.
    Deadline,
    /// The queue is full.
    Full,
    /// The host leaves.
    Leaving,
    /// The request gave way to work that is shed later.
    Shed,
}

/// Answer to an arrival.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request has a slot.
    Run,
    /// The request waits; [`Gate::next_action`](super::Gate::next_action) says when it
    /// starts or is refused.
    Wait,
    /// The request does not run.
    Refuse(Reason),
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The upstream answered.
    Answered,
    /// The caller went away or the deadline passed.
    Cancelled,
    /// The upstream died; closes the gate.
    UpstreamDown,
}

/// What to do with a waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// The request has a slot now.
    Start(u64),
    /// The request is refused.
    Refuse(u64, Reason),
}
