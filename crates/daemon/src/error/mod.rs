//! Errors that prevent the start of a daemon.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

/// Reason why a daemon could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// An address could not be bound.
    #[snafu(display("--{port}: cannot listen on {address}: {source}"))]
    Bind {
        /// Flag of the address, without the dashes.
        port: &'static str,
        /// The requested address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}
