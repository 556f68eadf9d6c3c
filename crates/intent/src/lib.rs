//! Intent of the operators: documents, their validation and order, host lists
//! and the snapshots that requests are routed by.
//!
//! The crate does no I/O. Validation depends on nothing but the document, so
//! that every daemon accepts or refuses the same versions.

pub mod adopt;
pub mod bound;
pub mod delta;
pub mod document;
pub mod fault;
pub mod hosts;
pub mod manifest;
pub mod registry;
pub mod snapshot;
pub mod transfer;
pub mod version;

pub use delta::Delta;
pub use document::Document;
pub use fault::Fault;
pub use manifest::Manifest;
pub use snapshot::Snapshot;
pub use version::{Hash, Version};
