//! Formats results as tables for people and as JSON for programs.

use savorylane_intent::document::Target;
use savorylane_intent::{Document, Version, delta};
use savorylane_wire::Load;
use serde::Serialize;

/// Format of results and errors.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Output {
    /// Text and tables.
    Human,
    /// JSON, with one value per line.
    Json,
}

/// Changes from one version of a document to another.
#[derive(Debug, Serialize)]
pub(crate) struct Changes {
    /// Version of the first document.
    pub(crate) from: Version,
    /// Version of the second document.
    pub(crate) to: Version,
    /// Whether a daemon with the version `from` in force adopts the version
    /// `to`, which is so if `to` is greater.
    pub(crate) adopted: bool,
    /// Changes of the deployment, the services and the classes.
    pub(crate) changes: Vec<delta::Change>,
}

impl Changes {
    /// Returns the changes from `old` to `new`.
    pub(crate) fn between(old: &Document, new: &Document) -> Self {
        let (from, to) = (old.version(), new.version());
        Self {
            from,
            to,
            adopted: from < to,
            changes: delta::changes(Some(old), new),
        }
    }

    /// Returns the changes in the format `output`, with a final line break.
    pub(crate) fn format(&self, output: Output) -> String {
        if output == Output::Json {
            return to_json_line(self);
        }
        let mut text = format!("version {} -> {}\n", self.from, self.to);
        if self.to < self.from {
            text += "daemons with the first version ignore the second, which is lower\n";
        }
        if self.changes.is_empty() {
            return text + "no changes\n";
        }
        let mut rows = vec![["CHANGE", "NAME", "FROM", "TO"].map(String::from)];
        rows.extend(self.changes.iter().map(format_change));
        text + &format_table(&rows)
    }
}

fn format_change(change: &delta::Change) -> [String; 4] {
    let cells =
        |change: &str, name: &str, from: &str, to: &str| [change, name, from, to].map(String::from);
    let target = Target::to_string;
    match change {
        delta::Change::Deployment { from, to } => cells("deployment changed", "", from, to),
        delta::Change::ServiceAdded { service } => cells("service added", service, "", ""),
        delta::Change::ServiceRemoved { service } => cells("service removed", service, "", ""),
        delta::Change::TargetSet { class, target: to } => {
            cells("target set", class, "", &target(to))
        }
        delta::Change::TargetChanged { class, from, to } => {
            cells("target changed", class, &target(from), &target(to))
        }
        delta::Change::TargetWithdrawn {
            class,
            target: from,
        } => cells("target withdrawn", class, &target(from), ""),
        delta::Change::ClassChanged {
            class,
            field,
            from,
            to,
        } => cells(&format!("{field} changed"), class, from, to),
    }
}

/// Returns the load of a host as text on one line, without a line break.
pub(crate) fn format_load(load: &Load) -> String {
    let leaving = if load.leaving { ", leaving" } else { "" };
    format!(
        "running {}, queued {}, limit {}, service time {} us{leaving}",
        load.running, load.queued, load.limit, load.service_us
    )
}

/// Returns `rows` as lines with aligned columns.
pub(crate) fn format_table<const COLUMNS: usize>(rows: &[[String; COLUMNS]]) -> String {
    let mut text = String::new();
    let widths: [usize; COLUMNS] = std::array::from_fn(|column| {
        let cells = rows.iter().map(|row| row[column].chars().count());
        cells.max().unwrap_or(0)
    });
    for row in rows {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(widths) {
            line += &format!("{cell:width$}  ");
        }
        text += line.trim_end();
        text.push('\n');
    }
    text
}

/// Returns `value` as one line of JSON, with a final line break.
///
/// # Panics
///
/// Panics if `value` cannot be written as JSON; all values of this crate can.
pub(crate) fn to_json_line(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("the value is expressible in JSON") + "\n"
}
