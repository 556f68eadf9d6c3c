//! Stand-ins for the systems around the daemons, for tests and examples only.
//!
//! Every server binds port 0 of 127.0.0.1, so that the kernel chooses the port,
//! returns a handle while it runs in the background, and stops when its
//! cancellation token is cancelled.

pub mod deployment;
pub mod fleet;
pub mod link;
pub mod load;
mod net;
pub mod platform;
pub mod report;
pub mod resources;
pub mod upstream;
