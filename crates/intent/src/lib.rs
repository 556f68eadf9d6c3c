//! Configuration that operators publish, and host lists of the platform.
//!
//! - [`document`]: services, classes of requests and their targets.
//! - [`version`]: versions of documents and their total order.
//! - [`manifest`]: the parts in which the platform stores a document.
//! - [`adopt`]: adoption of offered documents.
//! - [`delta`] and [`transfer`]: updates of documents between daemons.
//! - [`hosts`] and [`registry`]: host lists, and upstreams in a store.
//! - [`evacuation`]: data centres whose upstreams get no requests.
//! - [`revision`]: revisions of a store that comes back from an older copy.
//! - [`snapshot`]: the immutable view by which requests are routed.
//! - [`homes`]: homes of classes that no listed host serves.
//!
//! The crate does no I/O. The result of a validation depends only on the
//! document, so that all daemons accept or refuse the same versions.

pub mod adopt;
pub mod bound;
pub mod delta;
pub mod document;
pub mod evacuation;
pub mod fault;
pub mod homes;
pub mod hosts;
pub mod manifest;
pub mod registry;
pub mod revision;
pub mod snapshot;
pub mod transfer;
pub mod version;

pub use delta::Delta;
pub use document::Document;
pub use fault::Fault;
pub use manifest::Manifest;
pub use snapshot::Snapshot;
pub use version::{Hash, Version};
