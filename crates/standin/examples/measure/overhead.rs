//! Latency and processor time that entry and gatekeeper add to a call.

use savorylane_standin::fleet::Failure;
use savorylane_standin::load::{Rate, Results};

use crate::options::Options;
use crate::phase;
use crate::process;

/// Request rate, far below the capacity.
const RATE_PER_SECOND: f64 = 300.0;

pub(crate) async fn run(options: &Options) -> Result<(), Failure> {
    let policy = options.policies(&["savorylane"]).remove(0);
    // Uses one data centre, because network latency is not overhead.
    let mut options = options.clone();
    options.flat = true;
    let deployment = options.deployment(1.0);
    let flags = vec![format!("--policy={policy}")];
    let fleet = options
        .start_fleet(deployment, options.hosts.unwrap_or(18), flags)
        .await?;
    let mut report = options.new_report(&fleet, &policy);
    let class = fleet.document.classes[0].clone();
    let is_measured = |service: &str| service == class.service;
    // Uses entries of other services, so that each call takes both hops.
    let entries = fleet.entries(|member| !is_measured(&member.placement.service));
    let members = fleet
        .members
        .iter()
        .filter(|member| is_measured(&member.placement.service));
    let upstreams: Vec<_> = members.map(|member| member.upstream.addr).collect();
    let seed = options.seed * 1000;
    let phase = |number, seconds: f64, rate, entries: &[_]| {
        let load = vec![
            fleet
                .plan
                .deployment
                .class_load(&class.name, Rate::constant(rate)),
        ];
        phase::start(
            seed + number,
            options.phase_duration(seconds),
            load,
            entries.to_vec(),
            true,
        )
    };
    phase(0, 5.0, RATE_PER_SECOND, &entries).await?;
    phase(1, 5.0, RATE_PER_SECOND, &upstreams).await?;
    let before = process::cpu_time();
    tokio::time::sleep(options.phase_duration(6.0)).await;
    let idle =
        (process::cpu_time() - before).as_secs_f64() / options.phase_duration(6.0).as_secs_f64();
    report.add(None, "idle_processor", idle, "cores");
    // Alternates both kinds, so that other load on the test machine affects
    // both equally.
    let mut runs: [Vec<(Results, f64)>; 2] = Default::default();
    for round in 0..4 {
        for (kind, entries) in [&upstreams, &entries].into_iter().enumerate() {
            eprintln!("{}", ["direct", "through the daemons"][kind]);
            let before = process::cpu_time();
            let results =
                phase(2 + 2 * round + kind as u64, 12.0, RATE_PER_SECOND, entries).await?;
            let cpu_s = (process::cpu_time() - before).as_secs_f64();
            let cpu_s = cpu_s - idle * results.elapsed.as_secs_f64();
            runs[kind].push((results, cpu_s));
        }
    }
    let mut quantiles = Vec::new();
    let mut cpu_us = Vec::new();
    for (kind, name) in ["direct", "through"].into_iter().enumerate() {
        let mut latency = runs[kind][0].0.classes[0].latency.clone();
        for (results, _) in &runs[kind][1..] {
            latency.add(&results.classes[0].latency)?;
        }
        let percentiles = [0.5, 0.99].map(|quantile| phase::quantile(&latency, quantile));
        report.add(None, &format!("{name}_p50"), percentiles[0], "ms");
        report.add(None, &format!("{name}_p99"), percentiles[1], "ms");
        quantiles.push(percentiles);
        let cpu_s: f64 = runs[kind].iter().map(|(_, cpu_s)| cpu_s).sum();
        cpu_us.push(cpu_s / latency.len() as f64 * 1e6);
        report.add(
            None,
            &format!("{name}_processor"),
            cpu_us[kind],
            "us_per_call",
        );
    }
    report.add(None, "added_p50", quantiles[1][0] - quantiles[0][0], "ms");
    report.add(None, "added_p99", quantiles[1][1] - quantiles[0][1], "ms");
    report.add(
        None,
        "added_processor",
        cpu_us[1] - cpu_us[0],
        "us_per_call",
    );
    for (round, (results, _)) in runs[1].iter().enumerate() {
        phase::add_ends(&mut report, &format!("round_{round}_"), results);
    }
    report.print()?;
    fleet.abort();
    Ok(())
}
