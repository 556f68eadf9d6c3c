//! How configuration and host lists reach every daemon, without I/O.
//!
//! One daemon of each data centre, its *reader*, reads the store. The others
//! poll it: a poll waits until there is news and is answered with the
//! difference. [`Source`] decides whom a daemon polls and whether it reads the
//! store itself, [`Age`] how old its knowledge is, and [`pace`] how often a
//! reader on a slow link reads a large value.
//!
//! Times are `Duration` since an arbitrary epoch of the process.

pub mod age;
pub mod pace;
pub mod source;

pub use age::Age;
pub use source::Source;
