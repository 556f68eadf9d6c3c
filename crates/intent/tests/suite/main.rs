//! Tests of documents, host lists, deltas, transfers, adoption, snapshots and
//! the registry.

mod limits;
mod lists;
mod properties;
mod registry;
mod sample;
