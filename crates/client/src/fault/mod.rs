//! Reasons for which a run fails.

use std::net::SocketAddr;
use std::process::ExitCode;

use savorylane_intent::bound;
use snafu::Snafu;

use crate::report::Output;

/// Exit code for a bad setting.
pub(crate) const EXIT_BAD_SETTING: u8 = 2;

/// Exit code for a daemon that cannot be reached.
const EXIT_UNREACHABLE: u8 = 3;

/// Exit code for a daemon that answers with an error.
const EXIT_REMOTE_ERROR: u8 = 4;

/// Exit code for all other faults.
const EXIT_FAILURE: u8 = 1;

/// Reason for which a run fails.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Fault {
    /// A setting has a value that is not accepted.
    #[snafu(display("{flag}: found {value}; {accepted}"))]
    Setting {
        /// Flag of the setting.
        flag: String,
        /// The refused value, quoted.
        value: String,
        /// What is accepted.
        accepted: String,
    },
    /// A setting is missing.
    #[snafu(display("{flag}: no value given; {accepted}"))]
    Missing {
        /// Flag of the setting.
        flag: String,
        /// What is accepted.
        accepted: String,
    },
    /// A file or stream cannot be read or written.
    #[snafu(display("{file}: {source}"))]
    File {
        /// Name of the file or stream.
        file: String,
        /// Error of the system.
        source: std::io::Error,
    },
    /// No log file has a line of a request.
    #[snafu(display(
        "request `{id}`: not found in any of the log files; lines that could not be parsed: {unreadable}"
    ))]
    NotFound {
        /// Id of the request.
        id: String,
        /// Lines that are cut or not JSON.
        unreadable: u64,
    },
    /// A document is refused.
    #[snafu(display("{file}: {source}"))]
    Refused {
        /// Name of the file or stream.
        file: String,
        /// Reason.
        source: savorylane_intent::Fault,
    },
    /// The edit does not fit the document.
    #[snafu(display("class `{class}`: {reason}"))]
    Edit {
        /// Name of the class.
        class: String,
        /// What does not fit, and what is accepted.
        reason: String,
    },
    /// A daemon cannot be reached.
    #[snafu(display("daemon at {operator}: cannot be reached: {reason}"))]
    Unreachable {
        /// Address of its operator port.
        operator: SocketAddr,
        /// Error of the system or the library.
        reason: String,
    },
    /// A daemon answers with an error.
    #[snafu(display("daemon at {operator}: answered with an error: {reason}"))]
    Answer {
        /// Address of its operator port.
        operator: SocketAddr,
        /// The error.
        reason: String,
    },
    /// A condition was not reached.
    #[snafu(display("{reason}"))]
    Unmet {
        /// What is missing.
        reason: String,
    },
    /// The client itself cannot run.
    #[snafu(display("cannot start the async runtime: {source}"))]
    Runtime {
        /// Error of the system.
        source: std::io::Error,
    },
}

impl Fault {
    /// Returns a [`Fault::Setting`].
    pub(crate) fn setting(flag: &str, value: &str, accepted: &str) -> Self {
        Self::Setting {
            flag: flag.into(),
            value: bound::quote(value),
            accepted: accepted.into(),
        }
    }

    /// Returns a [`Fault::Missing`].
    pub(crate) fn missing(flag: &str, accepted: &str) -> Self {
        Self::Missing {
            flag: flag.into(),
            accepted: accepted.into(),
        }
    }

    /// Returns a [`Fault::Edit`].
    pub(crate) fn edit(class: &str, reason: impl Into<String>) -> Self {
        Self::Edit {
            class: class.into(),
            reason: reason.into(),
        }
    }

    /// Prints the fault to standard error and returns the exit code.
    pub(crate) fn report(&self, output: Output) -> ExitCode {
        match output {
            Output::Human => eprintln!("Error: {self}"),
            Output::Json => eprintln!("{}", serde_json::json!({ "error": self.to_string() })),
        }
        match self {
            Self::Missing { .. } | Self::Setting { .. } => ExitCode::from(EXIT_BAD_SETTING),
            Self::Unreachable { .. } => ExitCode::from(EXIT_UNREACHABLE),
            Self::Answer { .. } => ExitCode::from(EXIT_REMOTE_ERROR),
            Self::Edit { .. }
            | Self::File { .. }
            | Self::Refused { .. }
            | Self::Runtime { .. }
            | Self::NotFound { .. }
            | Self::Unmet { .. } => ExitCode::from(EXIT_FAILURE),
        }
    }
}
