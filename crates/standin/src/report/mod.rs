//! Figures of a run, written as JSON lines for tools and as a table for people.

use std::fmt;
use std::io::{self, Write};

use serde::Serialize;

/// Attributes that all figures of a run share.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Run {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the deployment.
    pub deployment: String,
    /// Routing policy.
    pub policy: String,
    /// Number of upstream hosts.
    pub hosts: usize,
    /// Seed of the run.
    pub seed: u64,
}

/// One measured figure.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figure {
    /// The run that produced the figure.
    #[serde(flatten)]
    pub run: Run,
    /// Class that the figure applies to, if any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// Name of the figure.
    pub figure: String,
    /// Measured value.
    pub value: f64,
    /// Unit of the value.
    pub unit: &'static str,
}

/// The figures of one run, in order.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The run.
    pub run: Run,
    /// Figures added so far.
    pub figures: Vec<Figure>,
}

impl Report {
    /// Returns a report without figures.
    pub fn new(run: Run) -> Self {
        Self {
            run,
            figures: Vec::new(),
        }
    }

    /// Adds a figure.
    pub fn add(&mut self, class: Option<&str>, figure: &str, value: f64, unit: &'static str) {
        self.figures.push(Figure {
            run: self.run.clone(),
            class: class.map(str::to_owned),
            figure: figure.to_owned(),
            value,
            unit,
        });
    }

    /// Writes one line of JSON per figure to `out`.
    ///
    /// # Errors
    ///
    /// Returns the error of writing.
    pub fn write(&self, mut out: impl Write) -> io::Result<()> {
        for figure in &self.figures {
            serde_json::to_writer(&mut out, figure)?;
            out.write_all(b"\n")?;
        }
        out.flush()
    }

    /// Writes the JSON lines to standard output and the table to standard
    /// error.
    ///
    /// # Errors
    ///
    /// Returns the error of writing.
    pub fn print(&self) -> io::Result<()> {
        write!(io::stderr().lock(), "{self}")?;
        self.write(io::stdout().lock())
    }
}

/// Formats the figures as a table.
impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Run {
            scenario,
            deployment,
            policy,
            hosts,
            seed,
        } = &self.run;
        writeln!(
            f,
            "{scenario}: {deployment}, {policy}, {hosts} hosts, seed {seed}"
        )?;
        for figure in &self.figures {
            let class = figure.class.as_deref().unwrap_or("-");
            let Figure {
                figure,
                value,
                unit,
                ..
            } = figure;
            writeln!(f, "  {class:<16} {figure:<28} {value:>14.3} {unit}")?;
        }
        Ok(())
    }
}
