//! Operators' client of savorylane: edits, checks, compares and splits intent
//! documents, and asks daemons.
//!
//! The exit code is 0 for success, 1 for a refused document, a failed read or
//! write or a wait that passed its limit, 2 for a bad setting, 3 for a daemon
//! that cannot be reached and 4 for one that answers with an error.

mod arguments;
mod command;
mod fault;
mod file;
mod remote;
mod report;
mod settings;

use std::process::ExitCode;

use bpaf::{Args, ParseFailure};

/// Width of help texts and of errors in arguments, in columns.
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
