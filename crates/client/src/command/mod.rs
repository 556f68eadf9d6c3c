//! Commands of the client, one module each.

mod diff;
mod split;
mod target;
mod validate;

use crate::fault::Fault;
use crate::settings::{Command, Settings};

/// Runs the command of `settings`.
///
/// # Errors
///
/// Returns the first [`Fault`].
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
    }
}
