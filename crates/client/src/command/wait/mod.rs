//! `wait`: waits until all live hosts have a version in force.

use std::path::Path;
use std::time::{Duration, Instant};

use savorylane_intent::Version;
use savorylane_wire::operator::Status;
use serde::Serialize;

use crate::fault::Fault;
use crate::file;
use crate::remote::Remote;
use crate::report::{self, Output};
use crate::settings::Requirement;

/// Time between two questions. Versions spread within a second, so a shorter
/// time would show little more.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Hosts that an error or a progress line names at most.
const MAX_LISTED_HOSTS: usize = 20;

#[derive(Serialize)]
struct Reached {
    /// Least version in force on a live host.
    least: Option<Version>,
    hosts: usize,
}

impl Requirement {
    /// Says whether `version` is this version or a greater one.
    fn is_met_by(&self, version: Option<Version>) -> bool {
        let Some(version) = version else {
            return false;
        };
        if version.number != self.number {
            return version.number > self.number;
        }
        // Hashes are ordered by their bytes, which is the order of their
        // hexadecimal texts. A greater hash replaces the wanted one for good.
        let digits: String = version.hash.0.iter().map(|b| format!("{b:02x}")).collect();
        digits[..self.hash.len()] >= *self.hash
    }
}

/// Asks the daemon until the version is in force on all live hosts.
///
/// The first question must be answered. A later one may fail, since the
/// daemon can be replaced within the wait.
///
/// # Errors
///
/// Returns [`Fault::Unmet`] if the limit passes; it names the lagging hosts.
/// Returns [`Fault::Unreachable`] or [`Fault::Answer`] if the first or the
/// last question fails.
pub(super) fn run(
    output: Output,
    remote: &Remote,
    requirement: &Requirement,
    limit: Duration,
) -> Result<(), Fault> {
    let start = Instant::now();
    let mut is_first = true;
    let mut last_line = String::new();
    loop {
        let remaining = limit.saturating_sub(start.elapsed());
        let (line, fault) = match remote.status_within(remaining.max(POLL_INTERVAL)) {
            Ok(status) => {
                let hosts = live_hosts(&status);
                let lagging: Vec<&str> = hosts
                    .iter()
                    .filter(|(_, version)| !requirement.is_met_by(*version))
                    .map(|(name, _)| *name)
                    .collect();
                if lagging.is_empty() {
                    return print_result(output, &hosts);
                }
                let line = format_progress(requirement, hosts.len(), &lagging);
                let reason = format!("limit of {} s passed: {line}", limit.as_secs());
                (line, Fault::Unmet { reason })
            }
            Err(fault) if is_first => return Err(fault),
            Err(fault) => (fault.to_string(), fault),
        };
        is_first = false;
        if line != last_line {
            eprintln!("{line}");
            last_line = line;
        }
        if start.elapsed() >= limit {
            return Err(fault);
        }
        std::thread::sleep(POLL_INTERVAL.min(limit.saturating_sub(start.elapsed())));
    }
}

/// Returns the hosts that must have the version, with the one in force. A
/// host that leaves or is gone serves no new work. A suspected or unknown host
/// may serve, so it counts. The asked daemon counts even if it is not listed.
fn live_hosts(status: &Status) -> Vec<(&str, Option<Version>)> {
    let others = status.hosts.iter().filter(|host| {
        host.name != status.host && !matches!(host.state.as_str(), "gone" | "leaving")
    });
    let others = others.map(|host| (host.name.as_str(), host.version));
    std::iter::once((status.host.as_str(), status.version))
        .chain(others)
        .collect()
}

fn format_progress(requirement: &Requirement, hosts: usize, lagging: &[&str]) -> String {
    let mut names = lagging[..lagging.len().min(MAX_LISTED_HOSTS)].join(", ");
    if lagging.len() > MAX_LISTED_HOSTS {
        names += &format!(" and {} more", lagging.len() - MAX_LISTED_HOSTS);
    }
    let dash = if requirement.hash.is_empty() { "" } else { "-" };
    format!(
        "version {}{dash}{} is in force on {} of {hosts} hosts; lagging: {names}",
        requirement.number,
        requirement.hash,
        hosts - lagging.len(),
    )
}

fn print_result(output: Output, hosts: &[(&str, Option<Version>)]) -> Result<(), Fault> {
    let least = hosts.iter().filter_map(|(_, version)| *version).min();
    let text = match (output, least) {
        (Output::Human, Some(version)) => {
            format!(
                "version {version} or a later one is in force on {} hosts\n",
                hosts.len()
            )
        }
        _ => report::to_json_line(&Reached {
            least,
            hosts: hosts.len(),
        }),
    };
    file::write(Path::new("-"), text.as_bytes())
}
