//! `explain`: shows one request's life from the logs of the hosts.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

use serde_json::{Map, Value};
use snafu::ResultExt;

use crate::fault::{Fault, FileSnafu};
use crate::file;
use crate::report::{self, Output};

/// Fields that have a column or are the same on every line.
const SHOWN: [&str; 9] = [
    "at",
    "data_centre",
    "event",
    "host",
    "id",
    "level",
    "module",
    "outcome",
    "text",
];

/// What the files hold.
#[derive(Default)]
struct Found {
    /// Lines of the request and its calls.
    lines: Vec<Map<String, Value>>,
    /// Lines that are cut or not JSON.
    unreadable: u64,
}

/// Prints the lines of the request `id`, and of the calls made while it ran,
/// in the order of their times. The files are streamed, so that only the lines
/// of the request are kept.
///
/// # Errors
///
/// Returns [`Fault::File`] for a file that cannot be read, and
/// [`Fault::Unknown`] if no file has a line of the request.
pub(super) fn run(output: Output, id: &str, files: &[PathBuf]) -> Result<(), Fault> {
    let mut found = Found::default();
    for path in files {
        let name = path.display().to_string();
        read(path, id, &mut found).context(FileSnafu { file: name })?;
    }
    if found.lines.is_empty() {
        return Err(Fault::Unknown {
            id: id.to_owned(),
            unreadable: found.unreadable,
        });
    }
    found.lines.sort_by(|a, b| text(a, "at").cmp(text(b, "at")));
    let text = match output {
        Output::Json => found.lines.iter().map(report::json).collect(),
        Output::Human => describe(id, &found),
    };
    file::write(Path::new("-"), text.as_bytes())
}

fn read(path: &Path, id: &str, found: &mut Found) -> io::Result<()> {
    let reader: Box<dyn io::Read> = match path.as_os_str() == "-" {
        true => Box::new(io::stdin()),
        false => Box::new(File::open(path)?),
    };
    let calls = format!("{id}.");
    let mut lines = BufReader::new(reader);
    let mut bytes = Vec::new();
    loop {
        bytes.clear();
        if lines.read_until(b'\n', &mut bytes)? == 0 {
            return Ok(());
        }
        // Collectors put a time and a name in front of the line.
        let Some(start) = bytes.iter().position(|byte| *byte == b'{') else {
            continue;
        };
        let Ok(line) = serde_json::from_slice::<Map<String, Value>>(&bytes[start..]) else {
            found.unreadable += 1;
            continue;
        };
        let own = text(&line, "id");
        if own == id || own.starts_with(&calls) {
            found.lines.push(line);
        }
    }
}

fn text<'a>(line: &'a Map<String, Value>, field: &str) -> &'a str {
    line.get(field).and_then(Value::as_str).unwrap_or_default()
}

fn describe(id: &str, found: &Found) -> String {
    let mut rows =
        vec![["AT", "HOST", "ID", "EVENT", "OUTCOME", "REASON", "INPUTS"].map(String::from)];
    rows.extend(found.lines.iter().map(|line| {
        let inputs: Vec<String> = line
            .iter()
            .filter(|(name, value)| !SHOWN.contains(&name.as_str()) && value.as_str() != Some(""))
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        [
            text(line, "at").to_owned(),
            text(line, "host").to_owned(),
            text(line, "id").to_owned(),
            text(line, "event").to_owned(),
            text(line, "outcome").to_owned(),
            text(line, "text").to_owned(),
            inputs.join(" "),
        ]
    }));
    report::table(&rows) + &missing(id, found)
}

/// Says which lines of the request itself are not there.
fn missing(id: &str, found: &Found) -> String {
    let own = |event: &'static str| {
        let lines = found.lines.iter();
        lines.filter(move |line| text(line, "id") == id && text(line, "event") == event)
    };
    let mut notes = String::new();
    if own("end").next().is_none() {
        notes += "missing: the end of the request at its entry; the caller went away, the line was left out or the entry's file is not given\n";
    }
    for attempt in own("attempt") {
        let (to, instance) = (text(attempt, "to"), text(attempt, "instance"));
        let mut decided = own("gate").chain(own("reserve"));
        let gated = decided.any(|line| text(line, "host") == to);
        if !gated && text(attempt, "cause") != "away" {
            notes += &format!(
                "missing: the gatekeeper's line for the attempt at {to} ({instance}); the line was left out or the file of {to} is not given\n"
            );
        }
    }
    if found.unreadable > 0 {
        notes += &format!("{} lines could not be read\n", found.unreadable);
    }
    notes
}
