//! Tests of documents, deltas, transfers, adoption and snapshots.

mod limits;
mod lists;
mod properties;
mod registry;
mod sample;
