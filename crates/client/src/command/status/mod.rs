//! `status`: shows whether the targets are met, and the state of the hosts.

use std::path::Path;

use savorylane_intent::Version;
use savorylane_wire::operator::{Host, Outcome, Scope, Status, Summary};
use serde::Serialize;

use crate::fault::Fault;
use crate::file;
use crate::remote::Remote;
use crate::report::{self, Output};

#[derive(Serialize)]
struct Report<'a> {
    scope: Scope,
    window_s: u64,
    /// Number of daemons whose results are included.
    daemons: u64,
    /// Number of daemons that did not answer.
    missing: u64,
    classes: Vec<Class<'a>>,
    status: &'a Status,
    /// Greatest version in force at the daemon or at any host; `None` if no
    /// version is known.
    greatest: Option<Version>,
    /// Names of the hosts with a version below `greatest`.
    lagging: Vec<&'a str>,
}

#[derive(Serialize)]
struct Class<'a> {
    #[serde(flatten)]
    outcome: &'a Outcome,
    met: bool,
    in_time_share: f64,
    /// `in_time_share` minus the quantile of the target; negative if the target
    /// is missed.
    in_time_margin: f64,
    success_share: f64,
    /// `success_share` minus the success of the target; negative if the target
    /// is missed.
    success_margin: f64,
}

impl<'a> Class<'a> {
    fn new(outcome: &'a Outcome) -> Self {
        let (in_time, success) = (outcome.in_time_share(), outcome.success_share());
        Self {
            outcome,
            met: outcome.met(),
            in_time_share: in_time,
            in_time_margin: in_time - outcome.target.quantile,
            success_share: success,
            success_margin: success - outcome.target.success,
        }
    }

    fn to_row(&self) -> [String; 6] {
        let share = |share: f64, margin: f64| match self.outcome.requests {
            0 => "-".into(),
            _ => format!("{share:.6} ({margin:+.6})"),
        };
        let met = match (self.outcome.requests, self.met) {
            (0, _) => "no requests",
            (_, true) => "yes",
            (_, false) => "NO",
        };
        [
            self.outcome.class.clone(),
            self.outcome.target.to_string(),
            met.into(),
            share(self.in_time_share, self.in_time_margin),
            share(self.success_share, self.success_margin),
            self.outcome.requests.to_string(),
        ]
    }
}

/// Fetches the results of the classes over `scope` and the state of the hosts,
/// and prints them.
///
/// # Errors
///
/// Returns [`Fault::Unreachable`] or [`Fault::Answer`] if a call fails, and
/// [`Fault::File`] if the result cannot be written.
pub(super) fn run(output: Output, remote: &Remote, scope: Scope) -> Result<(), Fault> {
    let status = remote.status()?;
    let summary = remote.summary(scope)?;
    let text = match output {
        Output::Json => report::to_json_line(&build_report(&status, &summary, scope)),
        Output::Human => format_report(&build_report(&status, &summary, scope)),
    };
    file::write(Path::new("-"), text.as_bytes())
}

fn build_report<'a>(status: &'a Status, summary: &'a Summary, scope: Scope) -> Report<'a> {
    let versions = status.hosts.iter().filter_map(|host| host.version);
    let greatest = versions.chain(status.version).max();
    let lagging = status
        .hosts
        .iter()
        .filter(|host| is_lagging(host, greatest));
    Report {
        scope,
        window_s: summary.window_s,
        daemons: summary.daemons,
        missing: summary.missing,
        classes: summary.outcomes.iter().map(Class::new).collect(),
        status,
        greatest,
        lagging: lagging.map(|host| host.name.as_str()).collect(),
    }
}

/// Returns whether the version of `host` is below `greatest`. A host whose
/// version is unknown does not count as lagging; the state of the host shows
/// why.
fn is_lagging(host: &Host, greatest: Option<Version>) -> bool {
    host.version.is_some() && host.version < greatest
}

fn format_report(report: &Report<'_>) -> String {
    let status = report.status;
    let scope = match report.scope {
        Scope::Host => "host",
        Scope::DataCentre => "data centre",
        Scope::Fleet => "fleet",
    };
    let reader = match status.reader {
        true => ", reads the platform",
        false => "",
    };
    let mut text = format!(
        "daemon {}, version {}, host list {}{reader}\n\
         load: {}\n\n\
         targets over the last {} s, scope {scope}: {} daemons counted, {} did not answer\n",
        status.host,
        format_version(status.version),
        status.hosts_number,
        report::format_load(&status.load),
        report.window_s,
        report.daemons,
        report.missing,
    );
    let header = ["CLASS", "TARGET", "MET", "IN TIME", "SUCCESS", "REQUESTS"];
    let mut rows = vec![header.map(String::from)];
    rows.extend(report.classes.iter().map(Class::to_row));
    text += &report::format_table(&rows);
    text += &format!(
        "\nhosts: {}, of which {} lag behind version {}\n",
        status.hosts.len(),
        report.lagging.len(),
        format_version(report.greatest)
    );
    let header = ["HOST", "DATA CENTRE", "SERVICE", "STATE", "VERSION", ""];
    let mut rows = vec![header.map(String::from)];
    rows.extend(status.hosts.iter().map(|host| {
        let mark = match is_lagging(host, report.greatest) {
            true => "LAGS",
            false => "",
        };
        [
            host.name.clone(),
            host.data_centre.clone(),
            host.service.clone(),
            host.state.clone(),
            format_version(host.version),
            mark.into(),
        ]
    }));
    text + &report::format_table(&rows)
}

fn format_version(version: Option<Version>) -> String {
    version.map_or_else(|| "-".into(), |version| version.to_string())
}
