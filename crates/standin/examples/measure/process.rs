//! Resource usage of the process, read from procfs.

use std::fs;
use std::time::Duration;

/// Clock ticks per second in procfs; fixed on Linux.
const TICKS_PER_SECOND: f64 = 100.0;
/// Page size on x86-64.
const PAGE_BYTES: f64 = 4096.0;

/// Returns the processor time used by all threads so far.
pub(crate) fn cpu_time() -> Duration {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The command name is in parentheses and may contain spaces.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index)?.parse::<f64>().ok();
    let ticks = ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0);
    Duration::from_secs_f64(ticks / TICKS_PER_SECOND)
}

/// Returns the resident memory in megabytes.
pub(crate) fn memory_mb() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<f64>().ok())
        .unwrap_or(0.0)
        * PAGE_BYTES
        / 1e6
}
