//! Time and traffic until a change is in force on all hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use savorylane_standin::fleet::{self, Failure, Fleet};
use tokio::time::{Instant, sleep};

use crate::options::Options;
use crate::process;

const CHANGES: u32 = 20;
/// Time between a change in force everywhere and the next.
const GAP: Duration = Duration::from_millis(700);
/// Policies of distribution and their flags.
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
    let mut fleet = options.fleet(options.deployment(1.0), hosts, flags).await?;
    let mut report = options.report(&fleet, policy);
    sleep(options.time(6.0)).await;

    let quiet = Sample::take(&fleet);
    sleep(options.time(10.0)).await;
    let quiet = Sample::take(&fleet).since(&quiet);
    let changing = Sample::take(&fleet);
    let changes = if options.quick { CHANGES / 3 } else { CHANGES };
    let (mut last, mut all) = (Vec::new(), Vec::new());
    for change in 0..changes {
        let (version, published) = fleet.change_target(0, 80 + change);
        let reached = fleet.settle(version, 0).await?;
        let times = reached
            .iter()
            .map(|at| at.duration_since(published).as_secs_f64());
        let times: Vec<f64> = times.collect();
        last.push(times.iter().copied().fold(0.0, f64::max));
        all.extend(times);
        sleep(GAP).await;
    }
    let changing = Sample::take(&fleet).since(&changing);
    last.sort_by(f64::total_cmp);
    all.sort_by(f64::total_cmp);
    let at = |times: &[f64], share: f64| times[((times.len() - 1) as f64 * share).round() as usize];
    report.add(None, "host_p50", at(&all, 0.5), "s");
    let shares = [
        ("converge_p50", 0.5),
        ("converge_p99", 0.99),
        ("converge_max", 1.0),
    ];
    for (name, share) in shares {
        report.add(None, name, at(&last, share), "s");
    }
    let count = hosts as f64;
    for (prefix, sample) in [("", &quiet), ("changing_", &changing)] {
        let seconds = sample.seconds;
        let figure = |figure: &str| format!("{prefix}{figure}");
        report.add(
            None,
            &figure("platform_calls_per_second"),
            sample.calls / seconds,
            "calls",
        );
        let control = sample.control / count / seconds;
        report.add(
            None,
            &figure("control_bytes_per_host_second"),
            control,
            "bytes",
        );
        report.add(
            None,
            &figure("cpu_share"),
            sample.processor / count / seconds,
            "of_1",
        );
    }
    report.add(
        None,
        "platform_standing_calls",
        fleet.platform.counters().in_progress as f64,
        "calls",
    );
    for ((a, b), bytes) in &changing.links {
        let idle = quiet.links.get(&(*a, *b)).copied().unwrap_or(0.0);
        let bytes = bytes - idle / quiet.seconds * changing.seconds;
        let link = format!("{a}-{b}");
        let bytes = bytes / f64::from(changes);
        report.add(Some(&link), "region_link_bytes_per_change", bytes, "bytes");
    }
    let memory = (process::memory_mb() - memory) / count;
    report.add(None, "resident_bytes", memory * 1e6, "bytes");
    report.print()?;
    fleet.abort();
    // Lets the tasks of this fleet end before the next one starts.
    sleep(Duration::from_millis(500)).await;
    Ok(())
}

/// Traffic and use of the process so far, or between two moments.
struct Sample {
    at: Instant,
    seconds: f64,
    calls: f64,
    /// Bytes at the control ports and to the platform.
    control: f64,
    processor: f64,
    /// Bytes by pair of regions.
    links: BTreeMap<(&'static str, &'static str), f64>,
}

impl Sample {
    fn take(fleet: &Fleet) -> Self {
        let centres = &fleet.plan.deployment.data_centres;
        let regions: BTreeMap<_, _> = centres
            .iter()
            .enumerate()
            .map(|(n, centre)| (fleet::network(n), centre.region))
            .collect();
        let mut links = BTreeMap::new();
        let mut control = 0.0;
        let mut add = |a: &'static str, b: &'static str, bytes: f64| {
            if a != b {
                *links.entry((a.min(b), a.max(b))).or_default() += bytes;
            }
        };
        for (centre, uplink) in centres.iter().zip(&fleet.uplinks) {
            let traffic = uplink.counters();
            let bytes = (traffic.forward + traffic.backward) as f64;
            control += bytes;
            add(centre.region, centres[0].region, bytes);
        }
        for member in &fleet.members {
            for (network, bytes) in member.control.traffic() {
                let bytes = bytes as f64;
                control += bytes;
                // Unknown sources are left out: their region is not known.
                if let Some(region) = regions.get(&network) {
                    add(region, member.place.data_centre.region, bytes);
                }
            }
        }
        let platform = fleet.platform.counters();
        Self {
            at: Instant::now(),
            seconds: 0.0,
            calls: platform.calls() as f64,
            control,
            processor: process::processor().as_secs_f64(),
            links,
        }
    }

    fn since(&self, earlier: &Self) -> Self {
        let links = self.links.iter().map(|(pair, bytes)| {
            let before = earlier.links.get(pair).copied().unwrap_or(0.0);
            (*pair, bytes - before)
        });
        Self {
            at: self.at,
            seconds: self.at.duration_since(earlier.at).as_secs_f64(),
            calls: self.calls - earlier.calls,
            control: self.control - earlier.control,
            processor: self.processor - earlier.processor,
            links: links.collect(),
        }
    }
}
