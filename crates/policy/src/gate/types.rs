//! Inputs and outputs of a gate.

use std::time::Duration;

use savorylane_intent::document;

/// A request for a slot of the upstream.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Identifies the request within this gate.
    pub id: u64,
    /// Hash of the class name; each class has its own queue.
    pub class: u64,
    /// Whether the class is declared as short or long work.
    pub length: document::Work,
    /// Shed order of the class: under overload, higher values are refused
    /// first.
    pub shed_order: u8,
    /// Time after which the caller no longer waits for the answer.
    pub deadline: Duration,
    /// Time by which the request must be answered to meet the latency target
    /// of its class, which counts from the arrival at the entry. Bounds the
    /// wait in the queue.
    pub target: Duration,
    /// Hash of the caller's identity; the callers of a class share its queue
    /// fairly.
    pub caller: u64,
    /// Whether the request is suspected of crashing the upstream and must run
    /// while no other request does.
    pub exclusive: bool,
    /// Whether the request may wait in the late lane if it cannot be answered
    /// before its target.
    pub late: bool,
    /// Whether the request comes from a peer that is no host of the deployment.
    pub stranger: bool,
}

/// Reason for a refusal. A refused request did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The gate is closed because the upstream is unreachable or draining.
    Closed,
    /// The upstream is cold, and the rate that it tolerates is used up for
    /// longer than the request can wait.
    Cold,
    /// The deadline or target cannot be met, or the deadline passed while the
    /// request was queued.
    Deadline,
    /// The queue is full.
    Full,
    /// The host is leaving.
    Leaving,
    /// The request was displaced from the queue or the late lane under
    /// overload.
    Shed,
    /// Peers that are no hosts have as many requests as they may.
    Strangers,
}

/// Admission decision about an arriving request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request holds a slot and runs.
    Run,
    /// The request is queued;
    /// [`Gate::next_action`](super::Gate::next_action) later returns its start
    /// or its refusal.
    Wait,
    /// The request is refused and does not run.
    Refuse(Reason),
}

/// Outcome of a running or queued request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The upstream answered.
    Answered,
    /// The caller disconnected, the deadline passed, or the upstream gave no
    /// complete answer.
    Cancelled,
    /// The upstream crashed or cannot be connected to; closes the gate.
    UpstreamDown,
}

/// Next step for a queued request, by its id.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// The request now holds a slot and runs.
    Start(u64),
    /// The request is refused and leaves the queue.
    Refuse(u64, Reason),
}
