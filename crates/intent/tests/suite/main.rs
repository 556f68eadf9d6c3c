//! Tests of documents, deltas, transfers, adoption and snapshots.

mod limits;
mod properties;
mod registry;
mod sample;
