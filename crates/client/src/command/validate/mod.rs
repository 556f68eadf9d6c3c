//! `validate`: validates a document and shows its version.

use std::path::Path;

use serde::Serialize;

use crate::fault::Fault;
use crate::file;
use crate::report::{self, Output};

#[derive(Serialize)]
struct Summary {
    deployment: String,
    number: u64,
    hash: String,
    services: usize,
    classes: usize,
    /// Size of the document in canonical form.
    bytes: usize,
}

/// Validates the document at `path` and prints a summary of it.
///
/// # Errors
///
/// Returns [`Fault::Refused`] for an invalid document, and [`Fault::File`] if
/// the document cannot be read or the summary cannot be written.
pub(crate) fn run(output: Output, path: &Path) -> Result<(), Fault> {
    let document = file::read_document(path)?;
    let version = document.version();
    let summary = Summary {
        number: version.number,
        hash: version.hash.to_string(),
        services: document.services.len(),
        classes: document.classes.len(),
        bytes: document.canonical().len(),
        deployment: document.deployment,
    };
    let text = match output {
        Output::Json => report::to_json_line(&summary),
        Output::Human => report::format_table(&[
            ["deployment".into(), summary.deployment],
            ["number".into(), summary.number.to_string()],
            ["hash".into(), summary.hash],
            ["services".into(), summary.services.to_string()],
            ["classes".into(), summary.classes.to_string()],
            ["bytes".into(), summary.bytes.to_string()],
        ]),
    };
    file::write(Path::new("-"), text.as_bytes())
}
