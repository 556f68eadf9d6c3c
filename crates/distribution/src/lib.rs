//! Distribution of configurations and host lists to all daemons, without I/O.
//!
//! One daemon of each data centre, its *reader*, reads the store. The other
//! daemons send long polls to the reader, which answers with a delta as soon as
//! there is a new version or host list.
//!
//! * [`Source`] selects the host that a daemon polls and decides whether the
//!   daemon reads the store itself.
//! * [`Age`] tracks how old the knowledge of a daemon is.
//! * [`pace`] limits how often a reader transfers a large value over a slow
//!   link.
//!
//! Points in time are `Duration`s since an arbitrary epoch of the process.

pub mod age;
pub mod pace;
pub mod source;

pub use age::Age;
pub use source::Source;
