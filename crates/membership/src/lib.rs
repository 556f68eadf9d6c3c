//! Membership of the hosts: gossip, failure detection and reader election.
//!
//! The crate does no I/O and reads no clock. Each method of a [`View`] that
//! handles an event takes the current time, as a `Duration` since an arbitrary
//! epoch of the process, and returns the [`Action`]s to carry out.

pub mod action;
pub mod backoff;
pub mod changes;
pub mod record;
pub mod table;
pub mod view;

pub use action::{Action, Purpose, Token};
pub use record::Record;
pub use view::View;
