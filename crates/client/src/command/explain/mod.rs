//! `explain`: shows the log lines of one request from the log files of the
//! hosts.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};

use serde_json::{Map, Value};
use snafu::ResultExt;

use crate::fault::{Fault, FileSnafu};
use crate::file;
use crate::report::{self, Output};

/// Fields that the column `INPUTS` omits: those with a column of their own, and
/// those that describe the writer of the line rather than the request.
const NON_INPUT_FIELDS: [&str; 9] = [
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

/// Log lines of one request.
#[derive(Default)]
struct Trace {
    /// Lines of the request and of the calls that were made while it ran.
    lines: Vec<Map<String, Value>>,
    /// Number of lines that are truncated or not valid JSON.
    unreadable: u64,
}

/// Prints the log lines of the request `id`, and of the calls that were made
/// while it ran, sorted by time.
///
/// The files are streamed, so that only these lines are held in memory.
///
/// # Errors
///
/// Returns [`Fault::File`] if a file cannot be read or the result cannot be
/// written, and [`Fault::NotFound`] if no file has a line of the request.
pub(super) fn run(output: Output, id: &str, files: &[PathBuf]) -> Result<(), Fault> {
    let mut trace = Trace::default();
    for path in files {
        let name = path.display().to_string();
        collect_lines(path, id, &mut trace).context(FileSnafu { file: name })?;
    }
    if trace.lines.is_empty() {
        return Err(Fault::NotFound {
            id: id.to_owned(),
            unreadable: trace.unreadable,
        });
    }
    trace
        .lines
        .sort_by(|a, b| string_field(a, "at").cmp(string_field(b, "at")));
    let text = match output {
        Output::Json => trace.lines.iter().map(report::to_json_line).collect(),
        Output::Human => format_trace(id, &trace),
    };
    file::write(Path::new("-"), text.as_bytes())
}

fn collect_lines(path: &Path, id: &str, trace: &mut Trace) -> io::Result<()> {
    let reader: Box<dyn io::Read> = match path.as_os_str() == "-" {
        true => Box::new(io::stdin()),
        false => Box::new(File::open(path)?),
    };
    // The id of a call starts with the id of the request that made it, followed
    // by a dot.
    let call_prefix = format!("{id}.");
    let mut lines = BufReader::new(reader);
    let mut bytes = Vec::new();
    loop {
        bytes.clear();
        if lines.read_until(b'\n', &mut bytes)? == 0 {
            return Ok(());
        }
        // Log collectors may prefix the line with a time and a name.
        let Some(start) = bytes.iter().position(|byte| *byte == b'{') else {
            continue;
        };
        let Ok(line) = serde_json::from_slice::<Map<String, Value>>(&bytes[start..]) else {
            trace.unreadable += 1;
            continue;
        };
        let line_id = string_field(&line, "id");
        if line_id == id || line_id.starts_with(&call_prefix) {
            trace.lines.push(line);
        }
    }
}

fn string_field<'a>(line: &'a Map<String, Value>, field: &str) -> &'a str {
    line.get(field).and_then(Value::as_str).unwrap_or_default()
}

fn format_trace(id: &str, trace: &Trace) -> String {
    let mut rows =
        vec![["AT", "HOST", "ID", "EVENT", "OUTCOME", "REASON", "INPUTS"].map(String::from)];
    rows.extend(trace.lines.iter().map(|line| {
        let inputs: Vec<String> = line
            .iter()
            .filter(|(name, value)| {
                !NON_INPUT_FIELDS.contains(&name.as_str()) && value.as_str() != Some("")
            })
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        [
            string_field(line, "at").to_owned(),
            string_field(line, "host").to_owned(),
            string_field(line, "id").to_owned(),
            string_field(line, "event").to_owned(),
            string_field(line, "outcome").to_owned(),
            string_field(line, "text").to_owned(),
            inputs.join(" "),
        ]
    }));
    report::format_table(&rows) + &format_missing(id, trace)
}

/// Returns notes about expected lines of the request itself that are missing,
/// and about lines that could not be parsed.
///
/// Expected are the line `end` of the entry and, for each attempt, a line
/// `gate` or `reserve` of the host to which the attempt was sent, unless the
/// cause of the attempt's outcome is `away`.
fn format_missing(id: &str, trace: &Trace) -> String {
    let lines_of = |event: &'static str| {
        let lines = trace.lines.iter();
        lines.filter(move |line| {
            string_field(line, "id") == id && string_field(line, "event") == event
        })
    };
    let mut notes = String::new();
    if lines_of("end").next().is_none() {
        notes += "missing: the line `end` of the host at which the request entered; the caller disconnected, the line was dropped or the log file of that host is not given\n";
    }
    for attempt in lines_of("attempt") {
        let (to, instance) = (
            string_field(attempt, "to"),
            string_field(attempt, "instance"),
        );
        let mut gate_lines = lines_of("gate").chain(lines_of("reserve"));
        let has_gate_line = gate_lines.any(|line| string_field(line, "host") == to);
        if !has_gate_line && string_field(attempt, "cause") != "away" {
            notes += &format!(
                "missing: the line of the gatekeeper at {to} ({instance}) for an attempt; the line was dropped or the log file of {to} is not given\n"
            );
        }
    }
    if trace.unreadable > 0 {
        notes += &format!("lines that could not be parsed: {}\n", trace.unreadable);
    }
    notes
}
