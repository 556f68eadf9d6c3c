//! View of the hosts, failure detection and reader ranks, without I/O.
//!
//! A [`View`] takes events with the time (`Duration` since an arbitrary epoch
//! of the process) and returns [`Action`]s for the caller to carry out.

pub mod action;
pub mod backoff;
pub mod changes;
pub mod record;
pub mod table;
pub mod view;

pub use action::{Action, Purpose, Token};
pub use record::Record;
pub use view::View;
