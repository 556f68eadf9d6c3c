//! What a connection and its requests are recorded with: the intake of callers,
//! or the quota of other peers.

use std::net::IpAddr;
use std::sync::Arc;

use http::{Request, Response, StatusCode};
use savorylane_policy::intake::MIN_RECEIVE_BYTES;
use savorylane_policy::quota::Peer;

use super::{Callers, Limits};
use crate::body::{Body, Unsent};
use crate::call::Refusal;
use crate::intake;
use crate::quota::{self, Quota};

/// Who connects to a server.
pub(super) enum Peers {
    /// Callers.
    Callers(Callers),
    /// Other hosts, operators or a platform.
    Others(Arc<Quota>),
}

impl Peers {
    /// Records a new connection from `address`. Returns `None` if it must be
    /// refused.
    pub(super) fn open(&self, address: IpAddr) -> Option<Guard> {
        match self {
            Self::Callers(callers) => callers.intake.open(address).map(Guard::Caller),
            Self::Others(quota) => quota.open(address).map(Guard::Other),
        }
    }

    /// Returns the maximum number of bytes that the operating system receives for
    /// a connection that was not accepted yet; `None` if it decides itself.
    pub(super) fn first_receive_bytes(&self) -> Option<usize> {
        match self {
            Self::Callers(_) => Some(MIN_RECEIVE_BYTES as usize),
            Self::Others(quota) => quota.receive_bytes(),
        }
    }

    /// Closes a connection, because the process cannot open another descriptor.
    pub(super) fn close_one(&self) {
        match self {
            Self::Callers(callers) => callers.intake.close_longest(),
            Self::Others(quota) => quota.close_idle(),
        }
    }
}

/// An open connection; recorded as closed when dropped.
pub(super) enum Guard {
    Caller(intake::Connection),
    Other(quota::Connection),
}

impl Guard {
    /// Waits until the connection must be closed to make room for others.
    /// Returns whether it is idle, so that only the rest of an answer may still
    /// have to be sent.
    pub(super) async fn closed(&self) -> bool {
        match self {
            Self::Caller(connection) => connection.closed().await,
            Self::Other(connection) => connection.closed().await,
        }
    }

    /// Returns the limits of the connection, given those of the listener.
    pub(super) fn limits(&self, limits: Limits) -> Limits {
        match self {
            Self::Caller(connection) => limits.for_caller(connection.max_streams()),
            Self::Other(connection) => match connection.peer() {
                Peer::Stranger => limits.for_stranger(),
                Peer::Host => limits,
            },
        }
    }

    /// Returns the maximum number of bytes that the operating system receives
    /// before they are read; `None` if it decides itself.
    pub(super) fn receive_bytes(&self) -> Option<usize> {
        match self {
            Self::Caller(connection) => Some(connection.receive_bytes()),
            Self::Other(connection) => connection.receive_bytes(),
        }
    }

    /// Returns what is told whether the caller reads its answers, if the peer is
    /// a caller.
    pub(super) fn reader(&self) -> Option<intake::Flow> {
        match self {
            Self::Caller(connection) => Some(connection.flow().clone()),
            Self::Other(_) => None,
        }
    }

    /// Returns what the requests on the connection are recorded with.
    pub(super) fn flow(&self) -> Flow {
        match self {
            Self::Caller(connection) => Flow::Caller(connection.flow().clone()),
            Self::Other(connection) => Flow::Other(connection.flow().clone()),
        }
    }
}

/// The requests on one connection.
#[derive(Clone)]
pub(super) enum Flow {
    Caller(intake::Flow),
    Other(quota::Flow),
}

impl Flow {
    /// Records the head of a request.
    pub(super) fn begin(&self, mut request: Request<Body>) -> Admission {
        match self {
            Self::Caller(flow) => match flow.begin(request) {
                Ok((request, exchange)) => Admission::Admitted(request, Exchange::Caller(exchange)),
                Err(refusal) => Admission::Refused(refusal.to_response()),
            },
            Self::Other(flow) => match flow.begin(&request) {
                Some(exchange) => {
                    request.extensions_mut().insert(exchange.peer());
                    Admission::Admitted(request, Exchange::Other(exchange))
                }
                None => Admission::Refused(refuse()),
            },
        }
    }
}

/// Whether a request is served.
pub(super) enum Admission {
    /// The request is served, and recorded.
    Admitted(Request<Body>, Exchange),
    /// There is no memory for the request; it gets this answer.
    Refused(Response<Body>),
}

fn refuse() -> Response<Body> {
    let reason = "this listener has no memory for the request";
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason).to_response()
}

/// A request without a complete answer; recorded as answered when dropped.
pub(super) enum Exchange {
    Caller(intake::Exchange),
    Other(quota::Exchange),
}

impl Exchange {
    /// Moves the exchange into the body of its answer.
    pub(super) fn answer(self, answer: Response<Body>, unsent: &Unsent) -> Response<Body> {
        match self {
            Self::Caller(exchange) => exchange.answer(answer, unsent),
            Self::Other(exchange) => exchange.answer(answer, unsent),
        }
    }
}
