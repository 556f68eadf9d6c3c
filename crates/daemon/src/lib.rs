//! The savorylane daemon: a kernel, and edges that register with it as
//! plug-ins.
//!
//! Decisions are made by the crates `intent`, `distribution`, `membership`,
//! `policy` and `ledger`, which do no I/O. This crate supplies them with time,
//! events and sockets.

pub mod audit;
pub mod body;
pub mod call;
pub mod config;
pub mod decisions;
pub mod dispatch;
pub mod distribution;
pub mod edge;
pub mod error;
pub mod gatekeeper;
pub mod holder;
pub mod intake;
pub mod keepalive;
pub mod kernel;
pub mod logs;
pub mod metrics;
pub mod peers;
pub mod quota;
pub mod reservation;
pub mod results;
pub mod settings;
pub mod summary;
pub mod suspects;
pub mod waiters;

pub use error::Error;
pub use kernel::{Handle, spawn};
