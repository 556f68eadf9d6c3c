//! `diff`: shows the changes from one document to another.

use std::path::Path;

use crate::fault::Fault;
use crate::file;
use crate::report::{Changes, Output};

/// Prints the changes from the document at `old` to the document at `new`.
///
/// # Errors
///
/// Returns [`Fault::Refused`] for an invalid document, and [`Fault::File`] if a
/// document cannot be read or the result cannot be written.
pub(crate) fn run(output: Output, old: &Path, new: &Path) -> Result<(), Fault> {
    let changes = Changes::between(&file::read_document(old)?, &file::read_document(new)?);
    file::write(Path::new("-"), changes.format(output).as_bytes())
}
