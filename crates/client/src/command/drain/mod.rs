//! `drain`: makes a host leave and waits until it runs nothing.

use std::path::Path;
use std::time::{Duration, Instant};

use savorylane_wire::Load;
use savorylane_wire::operator::Status;

use crate::fault::Fault;
use crate::file;
use crate::remote::Remote;
use crate::report::{self, Output};

/// Time between two questions.
const INTERVAL: Duration = Duration::from_millis(200);

/// Asks the daemon to leave, then shows its load until nothing runs.
///
/// # Errors
///
/// Returns [`Fault::Unmet`] if work is left when the limit passes, or if
/// another run of the daemon answers, which does not drain. Returns
/// [`Fault::Unreachable`] or [`Fault::Answer`] of the daemon, also when it
/// ends before it was seen without work.
pub(super) fn run(output: Output, remote: &Remote, limit: Duration) -> Result<(), Fault> {
    let start = Instant::now();
    let mut status = remote.drain()?;
    let incarnation = status.incarnation;
    let mut shown = None;
    loop {
        if status.incarnation != incarnation {
            let reason = format!(
                "{} was restarted while it drained; run {} does not drain",
                status.host, status.incarnation
            );
            return Err(Fault::Unmet { reason });
        }
        if drained(&status.load) {
            return finish(output, &status);
        }
        if shown != Some(status.load) {
            eprintln!("{}: {}", status.host, report::load(&status.load));
            shown = Some(status.load);
        }
        let remaining = limit.saturating_sub(start.elapsed());
        if remaining.is_zero() {
            let load = report::load(&status.load);
            let reason = format!(
                "limit of {} s passed: {} has work left: {load}",
                limit.as_secs(),
                status.host
            );
            return Err(Fault::Unmet { reason });
        }
        std::thread::sleep(INTERVAL.min(remaining));
        status = remote.status()?;
    }
}

fn drained(load: &Load) -> bool {
    load.leaving && load.running == 0 && load.queued == 0
}

fn finish(output: Output, status: &Status) -> Result<(), Fault> {
    let text = match output {
        Output::Json => report::json(&serde_json::json!({
            "host": status.host,
            "load": status.load,
        })),
        Output::Human => format!("{} leaves and runs nothing\n", status.host),
    };
    file::write(Path::new("-"), text.as_bytes())
}
