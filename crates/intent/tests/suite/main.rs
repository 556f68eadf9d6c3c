//! Tests of documents, host lists, deltas, transfers, adoption, snapshots,
//! homes and the registry.

mod homes;
mod limits;
mod lists;
mod properties;
mod registry;
mod sample;
