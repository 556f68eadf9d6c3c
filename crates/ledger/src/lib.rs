//! At-most-once execution of work with idempotency keys, and containment of
//! requests that may crash upstreams. Performs no I/O.
//!
//! The *entry* of a request is the daemon that receives it from the caller.
//! The entry forwards work with an idempotency key to the *holder* of the key:
//! the member of a [`ring`] that records the key in its [`Table`], and that may
//! run the key only while a majority of the ring grants it a [`Lease`].
//!
//! Work with one idempotency key runs at most once over all attempts, under
//! these assumptions:
//!
//! - A caller numbers either all attempts of a key or none, and uses each
//!   number once.
//! - Every attempt of a key without attempt numbers reaches an entry within
//!   [`Settings::horizon`] of the first, unless the key contains the time of
//!   its creation.
//! - The clocks of two daemons diverge by at most
//!   [`Settings::max_undetected_pause`] over [`Settings::lease_duration`].

pub mod dedup;
pub mod entry;
pub mod ring;
pub mod settings;
pub mod suspect;

pub use dedup::Table;
pub use ring::Lease;
pub use settings::Settings;
