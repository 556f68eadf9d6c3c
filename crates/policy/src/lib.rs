//! Decisions on the request path: which upstreams a request may use, which host
//! serves it, whether the upstream admits, queues or sheds it and whether that
//! upstream is cold, whether the request is retried or hedged, when its large
//! body may be sent, and what callers and other peers may hold.
//!
//! The crate does no I/O and reads no clock. Points in time are `Duration`s
//! since an arbitrary start that the process chooses.

pub mod cold;
pub mod eligibility;
pub mod gate;
pub mod intake;
pub mod patience;
pub mod quota;
pub mod retry;
pub mod route;
pub mod transfer;
