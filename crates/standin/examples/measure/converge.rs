//! Time and traffic until a change is in force on all hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use savorylane_standin::fleet::{self, Failure, Fleet};
use tokio::time::{Instant, sleep};

use crate::options::Options;
use crate::process;

/// Number of changes whose convergence is measured; a third in a quick run.
const CHANGES: u32 = 20;
/// Pause after a change is in force on all hosts, before the next change.
const PAUSE: Duration = Duration::from_millis(700);
/// Distribution policies and their daemon flags.
const POLICIES: [(&str, &[&str]); 2] = [("savorylane", &[]), ("watch-all", &["--readers=all"])];

pub(crate) async fn run(options: &Options) -> Result<(), Failure> {
    let sizes = options
        .hosts
        .map_or(vec![18, 36, 72, 144], |hosts| vec![hosts]);
    for (policy, flags) in POLICIES {
        if options.policy.as_ref().is_some_and(|other| other != policy) {
            continue;
        }
        for hosts in &sizes {
            measure(options, policy, flags, *hosts).await?;
        }
    }
    Ok(())
}

async fn measure(
    options: &Options,
    policy: &str,
    flags: &[&str],
    hosts: usize,
) -> Result<(), Failure> {
    let memory = process::memory_mb();
    let flags = flags.iter().map(|flag| (*flag).to_owned()).collect();
    let mut fleet = options
        .start_fleet(options.deployment(1.0), hosts, flags)
        .await?;
    let mut report = options.new_report(&fleet, policy);
    sleep(options.phase_duration(6.0)).await;

    let idle = Sample::read(&fleet);
    sleep(options.phase_duration(10.0)).await;
    let idle = Sample::read(&fleet).since(&idle);
    let changing = Sample::read(&fleet);
    let changes = if options.quick { CHANGES / 3 } else { CHANGES };
    let (mut slowest, mut all) = (Vec::new(), Vec::new());
    for change in 0..changes {
        let (version, published) = fleet.change_target(0, 80 + change);
        let reached = fleet.wait_until_in_force(version, 0).await?;
        let times = reached
            .iter()
            .map(|at| at.duration_since(published).as_secs_f64());
        let times: Vec<f64> = times.collect();
        slowest.push(times.iter().copied().fold(0.0, f64::max));
        all.extend(times);
        sleep(PAUSE).await;
    }
    let changing = Sample::read(&fleet).since(&changing);
    slowest.sort_by(f64::total_cmp);
    all.sort_by(f64::total_cmp);
    let quantile =
        |times: &[f64], share: f64| times[((times.len() - 1) as f64 * share).round() as usize];
    report.add(None, "host_p50", quantile(&all, 0.5), "s");
    let shares = [
        ("converge_p50", 0.5),
        ("converge_p99", 0.99),
        ("converge_max", 1.0),
    ];
    for (name, share) in shares {
        report.add(None, name, quantile(&slowest, share), "s");
    }
    let count = hosts as f64;
    for (prefix, sample) in [("", &idle), ("changing_", &changing)] {
        let seconds = sample.seconds;
        let figure = |figure: &str| format!("{prefix}{figure}");
        report.add(
            None,
            &figure("platform_calls_per_second"),
            sample.calls / seconds,
            "calls",
        );
        let control_rate = sample.control_bytes / count / seconds;
        report.add(
            None,
            &figure("control_bytes_per_host_second"),
            control_rate,
            "bytes",
        );
        report.add(
            None,
            &figure("cpu_share"),
            sample.cpu_s / count / seconds,
            "of_1",
        );
    }
    report.add(
        None,
        "platform_standing_calls",
        fleet.platform.counters().in_progress as f64,
        "calls",
    );
    for ((a, b), bytes) in &changing.region_bytes {
        let idle_bytes = idle.region_bytes.get(&(*a, *b)).copied().unwrap_or(0.0);
        let bytes = bytes - idle_bytes / idle.seconds * changing.seconds;
        let link = format!("{a}-{b}");
        let bytes = bytes / f64::from(changes);
        report.add(Some(&link), "region_link_bytes_per_change", bytes, "bytes");
    }
    let memory = (process::memory_mb() - memory) / count;
    report.add(None, "resident_bytes", memory * 1e6, "bytes");
    report.print()?;
    fleet.abort();
    // Waits for the tasks of this fleet to end before the next fleet starts.
    sleep(Duration::from_millis(500)).await;
    Ok(())
}

/// Traffic and processor time since the start, or between two samples.
struct Sample {
    at: Instant,
    seconds: f64,
    calls: f64,
    /// Bytes on the links to the control ports and to the platform.
    control_bytes: f64,
    cpu_s: f64,
    /// Bytes by pair of regions.
    region_bytes: BTreeMap<(&'static str, &'static str), f64>,
}

impl Sample {
    fn read(fleet: &Fleet) -> Self {
        let centres = &fleet.plan.deployment.data_centres;
        let regions: BTreeMap<_, _> = centres
            .iter()
            .enumerate()
            .map(|(n, centre)| (fleet::network(n), centre.region))
            .collect();
        let mut region_bytes = BTreeMap::new();
        let mut control_bytes = 0.0;
        let mut add = |a: &'static str, b: &'static str, bytes: f64| {
            if a != b {
                *region_bytes.entry((a.min(b), a.max(b))).or_default() += bytes;
            }
        };
        for (centre, uplink) in centres.iter().zip(&fleet.platform_links) {
            let traffic = uplink.counters();
            let bytes = (traffic.forward + traffic.backward) as f64;
            control_bytes += bytes;
            add(centre.region, centres[0].region, bytes);
        }
        for member in &fleet.members {
            for (network, bytes) in member.control.traffic() {
                let bytes = bytes as f64;
                control_bytes += bytes;
                // Traffic of other networks is left out: its region is
                // unknown.
                if let Some(region) = regions.get(&network) {
                    add(region, member.placement.data_centre.region, bytes);
                }
            }
        }
        let platform = fleet.platform.counters();
        Self {
            at: Instant::now(),
            seconds: 0.0,
            calls: platform.calls() as f64,
            control_bytes,
            cpu_s: process::cpu_time().as_secs_f64(),
            region_bytes,
        }
    }

    fn since(&self, earlier: &Self) -> Self {
        let region_bytes = self.region_bytes.iter().map(|(pair, bytes)| {
            let before = earlier.region_bytes.get(pair).copied().unwrap_or(0.0);
            (*pair, bytes - before)
        });
        Self {
            at: self.at,
            seconds: self.at.duration_since(earlier.at).as_secs_f64(),
            calls: self.calls - earlier.calls,
            control_bytes: self.control_bytes - earlier.control_bytes,
            cpu_s: self.cpu_s - earlier.cpu_s,
            region_bytes: region_bytes.collect(),
        }
    }
}
