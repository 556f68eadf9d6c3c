//! Decisions on the path of a request: which host serves it and when its
//! upstream has a free slot. The crate does no I/O and reads no clock; times
//! are `Duration`s since an arbitrary moment of the process.

pub mod gate;
pub mod retry;
pub mod route;
pub mod transfer;
