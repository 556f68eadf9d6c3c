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

/// Time between two status requests. Versions spread within a second, so a
/// shorter interval would show little more.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of hosts that an error or a progress line names.
const MAX_LISTED_HOSTS: usize = 20;

#[derive(Serialize)]
struct Reached {
    /// Lowest version in force on a live host.
    least: Option<Version>,
    /// Number of live hosts.
    hosts: usize,
}

impl Requirement {
    /// Returns whether `version` is the required version or a greater one.
    fn is_met_by(&self, version: Option<Version>) -> bool {
        let Some(version) = version else {
            return false;
        };
        if version.number != self.number {
            return version.number > self.number;
        }
        // Versions with the same number are ordered by the bytes of their
        // hashes, which is the order of the hexadecimal texts. The required
        // version cannot replace a version with a greater hash, so a greater
        // hash also ends the wait.
        let digits: String = version.hash.0.iter().map(|b| format!("{b:02x}")).collect();
        digits[..self.hash.len()] >= *self.hash
    }
}

/// Polls the status of the daemon until the required version is in force on all
/// live hosts. Changes of the progress are printed to standard error.
///
/// The first status request must succeed. Later ones may fail, since the daemon
/// can be replaced during the wait.
///
/// # Errors
///
/// - [`Fault::Unmet`] if hosts lag after `limit`; the message names them;
/// - [`Fault::Unreachable`] or [`Fault::Answer`] if the first request fails, or
///   the one after which `limit` has passed;
/// - [`Fault::File`] if the result cannot be written.
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

/// Returns the names of the hosts that must have the required version, with
/// their versions in force.
///
/// - Hosts in the state `leaving` or `gone` do not count, since they accept no
///   new work.
/// - Hosts in the state `suspect` or `unknown` count, since they may still
///   serve requests.
/// - The host of the called daemon counts in any state, and even if it is not
///   listed.
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
