//! Errors that end a daemon.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

/// Why a daemon could not start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// An address could not be bound.
    #[snafu(display("--{port} {address}: cannot listen there: {source}"))]
    Bind {
        /// Flag that names the port.
        port: &'static str,
        /// Address that was asked for.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
}
