//! Edges of the daemon. Each edge connects the daemon to one kind of external
//! system and registers with the kernel as a plug-in.

pub mod caller;
pub mod control;
pub mod data;
pub mod health;
pub mod keyed_store;
pub mod operator;
pub mod platform;
pub mod ready;
pub mod rpc;
pub mod server;
pub mod upstream;
