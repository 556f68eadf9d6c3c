//! Command line of the operators of savorylane. It edits, validates, compares
//! and splits intent documents, explains requests from log files, and calls the
//! operator ports of daemons.
//!
//! Exit codes:
//!
//! - 0: success;
//! - 1: a refused document or edit, a failed read or write, a request without
//!   log lines, a wait that exceeded its limit, or another failure;
//! - 2: a missing or invalid setting;
//! - 3: a daemon that cannot be reached;
//! - 4: a daemon that answers with an error.

mod arguments;
mod command;
mod fault;
mod file;
mod remote;
mod report;
mod settings;

use std::process::ExitCode;

use bpaf::{Args, ParseFailure};

/// Width at which help texts and errors about arguments are wrapped, in
/// columns.
const MAX_MESSAGE_COLUMNS: usize = 100;

fn main() -> ExitCode {
    let arguments = match arguments::arguments().run_inner(Args::current_args()) {
        Ok(arguments) => arguments,
        Err(failure) => {
            failure.print_message(MAX_MESSAGE_COLUMNS);
            return match failure {
                ParseFailure::Stderr(_) => ExitCode::from(fault::EXIT_BAD_SETTING),
                ParseFailure::Completion(_) | ParseFailure::Stdout(..) => ExitCode::SUCCESS,
            };
        }
    };
    let settings = match settings::check(arguments) {
        Ok(settings) => settings,
        Err(fault) => return fault.report(report::Output::Human),
    };
    match command::run(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => fault.report(settings.output),
    }
}
