//! At-most-once execution of keyed work and suspect requests, without I/O.
//!
//! Work with one idempotency key runs at most once over all attempts, under
//! three assumptions: a caller marks all attempts of a key or none, and uses
//! each mark once; every attempt of an unmarked key reaches an entry within
//! [`Settings::horizon`] of the first, unless the key carries its time; and
//! the clocks of two daemons run at the same rate within
//! [`Settings::pause`] over [`Settings::evidence`].

pub mod dedup;
pub mod entry;
pub mod ring;
pub mod settings;
pub mod suspect;

pub use dedup::Table;
pub use ring::Lease;
pub use settings::Settings;
