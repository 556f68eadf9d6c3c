//! Reads and writes files; the path `-` stands for a standard stream.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::Path;

use savorylane_intent::{Document, bound, document};
use snafu::ResultExt;

use crate::fault::{Fault, FileSnafu, RefusedSnafu};

/// Reads and validates the document at `path`; `-` is standard input.
///
/// # Errors
///
/// Returns [`Fault::File`] if the document cannot be read and
/// [`Fault::Refused`] if it is invalid.
pub(crate) fn read_document(path: &Path) -> Result<Document, Fault> {
    let file = display_name(path, "standard input");
    let mut bytes = Vec::new();
    // Reads one byte more than is accepted, so that an oversized input is
    // refused without being read to its end.
    let limit = bound::MAX_DOCUMENT_BYTES as u64 + 1;
    let result = match is_standard_stream(path) {
        true => io::stdin().take(limit).read_to_end(&mut bytes),
        false => File::open(path).and_then(|file| file.take(limit).read_to_end(&mut bytes)),
    };
    result.context(FileSnafu { file: &file })?;
    document::validate(&bytes).context(RefusedSnafu { file })
}

/// Writes `bytes` to the file at `path`; `-` is standard output.
///
/// The bytes are written to a temporary file, which is then renamed, so that a
/// reader never sees a partial file.
///
/// # Errors
///
/// Returns [`Fault::File`] if the bytes cannot be written.
pub(crate) fn write(path: &Path, bytes: &[u8]) -> Result<(), Fault> {
    let file = display_name(path, "standard output");
    let result = match is_standard_stream(path) {
        true => io::stdout().write_all(bytes),
        false => replace_file(path, bytes),
    };
    result.context(FileSnafu { file })
}

fn replace_file(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let Some(name) = path.file_name() else {
        return Err(io::Error::from(io::ErrorKind::IsADirectory));
    };
    let mut partial = std::ffi::OsString::from(".");
    partial.push(name);
    partial.push(".partial");
    let partial = path.with_file_name(partial);
    let result = fs::write(&partial, bytes).and_then(|()| fs::rename(&partial, path));
    if result.is_err() {
        // An error of the removal is ignored, so that the error of the write or
        // the rename is reported.
        let _ = fs::remove_file(&partial);
    }
    result
}

fn is_standard_stream(path: &Path) -> bool {
    path.as_os_str() == "-"
}

fn display_name(path: &Path, stream: &str) -> String {
    match is_standard_stream(path) {
        true => stream.into(),
        false => path.display().to_string(),
    }
}
