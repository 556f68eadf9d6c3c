//! `audit`: shows the audit trail of a daemon.

use std::path::Path;

use savorylane_wire::operator::Entry;
use serde_json::Value;

use crate::fault::Fault;
use crate::file;
use crate::remote::Remote;
use crate::report::{self, Output};

/// Fetches up to `max_entries` audit entries that follow the sequence number
/// `after`, and prints them, oldest first and one per line.
///
/// # Errors
///
/// Returns [`Fault::Unreachable`] or [`Fault::Answer`] if the call fails, and
/// [`Fault::File`] if the result cannot be written.
pub(super) fn run(
    output: Output,
    remote: &Remote,
    after: u64,
    max_entries: u64,
) -> Result<(), Fault> {
    let entries = remote.audit(after, max_entries)?;
    let text = match output {
        Output::Json => entries.iter().map(report::to_json_line).collect(),
        Output::Human => {
            let mut rows = vec![["SEQUENCE", "AT", "KIND", "DETAILS"].map(String::from)];
            rows.extend(entries.iter().map(format_entry));
            report::format_table(&rows)
        }
    };
    file::write(Path::new("-"), text.as_bytes())
}

fn format_entry(entry: &Entry) -> [String; 4] {
    let kind = entry.event.get("kind").and_then(Value::as_str);
    let members = entry.event.as_object().into_iter().flatten();
    // Values are printed as JSON, so that a line break within a value cannot
    // look like another entry.
    let details: Vec<String> = members
        .filter(|(name, _)| *name != "kind")
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    [
        entry.sequence.to_string(),
        entry.at.clone(),
        kind.unwrap_or("-").into(),
        details.join(" "),
    ]
}
