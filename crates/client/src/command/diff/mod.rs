//! `diff`: shows the changes from one document to another.

use std::path::Path;

use crate::fault::Fault;
use crate::file;
use crate::report::{Changes, Output};

/// Prints the changes from the document of `old` to that of `new`.
///
/// # Errors
///
/// Returns [`Fault::Refused`] for an invalid document, or [`Fault::File`].
pub(crate) fn run(output: Output, old: &Path, new: &Path) -> Result<(), Fault> {
    let changes = Changes::between(&file::read(old)?, &file::read(new)?);
    file::write(Path::new("-"), changes.format(output).as_bytes())
}
