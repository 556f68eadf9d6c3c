//! `drain`: drains a host and waits until no work is left there.

use std::path::Path;
use std::time::{Duration, Instant};

use savorylane_wire::Load;
use savorylane_wire::operator::Status;

use crate::fault::Fault;
use crate::file;
use crate::remote::Remote;
use crate::report::{self, Output};

/// Time between two status requests.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Starts the drain of the daemon's host, and waits until no work is running or
/// queued there. Changes of the load are printed to standard error.
///
/// # Errors
///
/// - [`Fault::Unmet`] if work is left after `limit`, or if the daemon was
///   restarted, since its new run is not draining;
/// - [`Fault::Unreachable`] or [`Fault::Answer`] if a call fails, also because
///   the daemon ended before it was seen without work;
/// - [`Fault::File`] if the result cannot be written.
pub(super) fn run(output: Output, remote: &Remote, limit: Duration) -> Result<(), Fault> {
    let start = Instant::now();
    let mut status = remote.drain()?;
    let incarnation = status.incarnation;
    let mut last_load = None;
    loop {
        if status.incarnation != incarnation {
            let reason = format!(
                "{} was restarted during the drain; its new run {} is not draining",
                status.host, status.incarnation
            );
            return Err(Fault::Unmet { reason });
        }
        if is_drained(&status.load) {
            return print_result(output, &status);
        }
        if last_load != Some(status.load) {
            eprintln!("{}: {}", status.host, report::format_load(&status.load));
            last_load = Some(status.load);
        }
        let remaining = limit.saturating_sub(start.elapsed());
        if remaining.is_zero() {
            let load = report::format_load(&status.load);
            let reason = format!(
                "limit of {} s passed: {} has work left: {load}",
                limit.as_secs(),
                status.host
            );
            return Err(Fault::Unmet { reason });
        }
        std::thread::sleep(POLL_INTERVAL.min(remaining));
        status = remote.status()?;
    }
}

fn is_drained(load: &Load) -> bool {
    load.leaving && load.running == 0 && load.queued == 0
}

fn print_result(output: Output, status: &Status) -> Result<(), Fault> {
    let text = match output {
        Output::Json => report::to_json_line(&serde_json::json!({
            "host": status.host,
            "load": status.load,
        })),
        Output::Human => format!("{} is leaving and has no work left\n", status.host),
    };
    file::write(Path::new("-"), text.as_bytes())
}
