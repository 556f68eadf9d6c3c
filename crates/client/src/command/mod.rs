//! Implementations of the commands, one module for each.

mod audit;
mod diff;
mod drain;
mod explain;
mod split;
mod status;
mod target;
mod validate;
mod wait;

use std::net::SocketAddr;

use crate::fault::Fault;
use crate::remote::Remote;
use crate::report::Output;
use crate::settings::{Action, Command, Settings};

/// Runs the command of `settings`.
///
/// # Errors
///
/// Returns the [`Fault`] of the command.
pub(crate) fn run(settings: &Settings) -> Result<(), Fault> {
    let output = settings.output;
    match &settings.command {
        Command::Target {
            input,
            out,
            class,
            edit,
        } => target::run(output, input, out, class, edit),
        Command::Validate { file } => validate::run(output, file),
        Command::Diff { old, new } => diff::run(output, old, new),
        Command::Split { file, out } => split::run(output, file, out),
        Command::Explain { id, files } => explain::run(output, id, files),
        Command::Remote { operator, action } => run_remote(output, *operator, action),
    }
}

fn run_remote(output: Output, operator: SocketAddr, action: &Action) -> Result<(), Fault> {
    let remote = Remote::open(operator)?;
    match action {
        Action::Status { scope } => status::run(output, &remote, *scope),
        Action::Wait { requirement, limit } => wait::run(output, &remote, requirement, *limit),
        Action::Audit { after, max_entries } => audit::run(output, &remote, *after, *max_entries),
        Action::Drain { limit } => drain::run(output, &remote, *limit),
    }
}
