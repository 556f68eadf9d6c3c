//! Errors that end a run, and their exit codes.

use std::net::SocketAddr;
use std::process::ExitCode;

use savorylane_intent::bound;
use snafu::Snafu;

use crate::report::Output;

/// Exit code for a missing or invalid setting.
pub(crate) const EXIT_BAD_SETTING: u8 = 2;

/// Exit code for a daemon that cannot be reached.
const EXIT_UNREACHABLE: u8 = 3;

/// Exit code for a daemon that answers with an error.
const EXIT_REMOTE_ERROR: u8 = 4;

/// Exit code for all other errors.
const EXIT_FAILURE: u8 = 1;

/// Error that ends a run.
///
/// Messages name the setting, file, class or daemon, the value that was found
/// and, where it can be stated, what is expected.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Fault {
    /// The value of a setting is not accepted.
    #[snafu(display("{flag}: found {value}; {accepted}"))]
    Setting {
        /// Flag of the setting.
        flag: String,
        /// The refused value, quoted.
        value: String,
        /// Clause that states which values are accepted.
        accepted: String,
    },
    /// A required setting is missing.
    #[snafu(display("{flag}: missing value; {accepted}"))]
    Missing {
        /// Flag of the setting, or the command that lacks all its flags.
        flag: String,
        /// Clause that states how to set the value.
        accepted: String,
    },
    /// A file or stream cannot be read or written.
    #[snafu(display("{file}: {source}"))]
    File {
        /// Path of the file, or name of the stream.
        file: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The log files contain no line of a request.
    #[snafu(display(
        "request `{id}`: not found in any of the log files; lines that could not be parsed: {unreadable}"
    ))]
    NotFound {
        /// Id of the request.
        id: String,
        /// Number of lines that are truncated or not valid JSON.
        unreadable: u64,
    },
    /// A document or a class is refused.
    #[snafu(display("{file}: {source}"))]
    Refused {
        /// Path of the file, or a description of the refused content.
        file: String,
        /// Reason for the refusal.
        source: savorylane_intent::Fault,
    },
    /// An edit cannot be applied to the document.
    #[snafu(display("class `{class}`: {reason}"))]
    Edit {
        /// Name of the class.
        class: String,
        /// Why the edit cannot be applied and, where useful, what is expected.
        reason: String,
    },
    /// A daemon cannot be reached.
    #[snafu(display("daemon at {operator}: cannot be reached: {reason}"))]
    Unreachable {
        /// Address of the daemon's operator port.
        operator: SocketAddr,
        /// Error of the operating system or of the RPC library.
        reason: String,
    },
    /// A daemon answers with an error.
    #[snafu(display("daemon at {operator}: answered with an error: {reason}"))]
    Answer {
        /// Address of the daemon's operator port.
        operator: SocketAddr,
        /// Message of the error.
        reason: String,
    },
    /// The state that a command waits for was not reached.
    #[snafu(display("{reason}"))]
    Unmet {
        /// What was found instead.
        reason: String,
    },
    /// The async runtime cannot be created.
    #[snafu(display("cannot start the async runtime: {source}"))]
    Runtime {
        /// Error of the operating system.
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

    /// Prints the error to standard error and returns its exit code.
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
