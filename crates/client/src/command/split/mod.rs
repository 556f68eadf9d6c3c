//! `split`: writes a document as platform values.

use std::path::Path;

use savorylane_intent::{Hash, Manifest, Version};
use serde::Serialize;
use snafu::ResultExt;

use crate::fault::{Fault, FileSnafu};
use crate::file;
use crate::report::{self, Output};

/// Key of the platform value that holds the manifest.
const MANIFEST_KEY: &str = "intent";

#[derive(Serialize)]
struct Summary {
    version: Version,
    /// Values in the order in which they must be published.
    values: Vec<Value>,
}

#[derive(Serialize)]
struct Value {
    key: String,
    /// Name of the file in the output folder.
    file: String,
    bytes: usize,
    hash: Hash,
}

/// Splits the document at `path` into platform values, writes them to the
/// folder `out`, and prints a summary.
///
/// The manifest is the last value: if the values are published in this order,
/// it never names a part that the platform lacks.
///
/// # Errors
///
/// Returns [`Fault::Refused`] for an invalid document, and [`Fault::File`] if
/// the document cannot be read, or if the folder, a value or the summary cannot
/// be written.
pub(crate) fn run(output: Output, path: &Path, out: &Path) -> Result<(), Fault> {
    let document = file::read_document(path)?;
    let (manifest, mut values) = Manifest::split(&document);
    values.push((MANIFEST_KEY.into(), manifest.to_json()));
    std::fs::create_dir_all(out).context(FileSnafu {
        file: out.display().to_string(),
    })?;
    let mut summary = Summary {
        version: manifest.version(),
        values: Vec::with_capacity(values.len()),
    };
    for (key, value) in values {
        let name = key.replace('/', "%2F");
        file::write(&out.join(&name), &value)?;
        summary.values.push(Value {
            key,
            file: name,
            bytes: value.len(),
            hash: Hash::of(&value),
        });
    }
    let text = match output {
        Output::Json => report::to_json_line(&summary),
        Output::Human => {
            let mut rows = vec![["KEY", "FILE", "BYTES"].map(String::from)];
            for value in summary.values {
                rows.push([value.key, value.file, value.bytes.to_string()]);
            }
            format!(
                "version {}\n{}",
                summary.version,
                report::format_table(&rows)
            )
        }
    };
    file::write(Path::new("-"), text.as_bytes())
}
