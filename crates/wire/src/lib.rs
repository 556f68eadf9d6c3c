//! Wire types shared by daemons, callers and operators: header names, verdicts,
//! control messages and RPC interfaces. The crate holds data only.

pub mod control;
pub mod header;
pub mod hop;
pub mod incarnation;
pub mod load;
pub mod operator;
pub mod rpc;
pub mod verdict;

pub use hop::Hop;
pub use incarnation::Incarnation;
pub use load::Load;
pub use verdict::Verdict;
