//! Tests of documents, host lists, deltas, transfers, adoption, snapshots,
//! evacuations, homes and the registry.

mod eras;
mod evacuation;
mod homes;
mod limits;
mod lists;
mod properties;
mod registry;
mod sample;
