//! Decisions on the request path: which host serves a request, whether the
//! upstream admits, queues or sheds it, whether it is retried or hedged, when
//! its large body may be sent, and what callers may hold of an entry.
//!
//! The crate does no I/O and reads no clock. Points in time are `Duration`s
//! since an arbitrary start that the process chooses.

pub mod gate;
pub mod intake;
pub mod retry;
pub mod route;
pub mod transfer;
