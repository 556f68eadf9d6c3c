//! Edges of the daemon. Each meets one kind of outside system and registers
//! itself with the kernel.

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
