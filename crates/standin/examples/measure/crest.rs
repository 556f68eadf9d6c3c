//! Service while demand rises to five times the capacity.

use std::time::Duration;

use hdrhistogram::Histogram;
use savorylane_intent::document::Class;
use savorylane_standin::fleet::Failure;
use savorylane_standin::load::{End, Outcome, Rate, Results};

use crate::options::Options;
use crate::phase;

/// Demand during the crest as a multiple of the capacity.
const PEAK_FACTOR: f64 = 5.0;
/// Target latency of the class. At the default scale, the 100 ms of the
/// deployments are 2.5 service times, which the load after the crest misses
/// even without a crest.
const TARGET_MS: u32 = 500;
/// Time during which the demand rises from the capacity to the peak.
const RISE_TIME: Duration = Duration::from_secs(2);
/// Load after the crest as a share of the capacity. At full capacity, no target
/// can be met.
const LOAD_AFTER_CREST: f64 = 0.7;
/// Resolution of the recovery time, until targets are met again.
const WINDOW: Duration = Duration::from_millis(500);

pub(crate) async fn run(options: &Options) -> Result<(), Failure> {
    let policy = options.policies(&["savorylane"]).remove(0);
    let flags = vec![format!("--policy={policy}")];
    let mut deployment = options.deployment(10.0);
    deployment.document.classes[0].target.latency_ms = TARGET_MS;
    let fleet = options
        .start_fleet(deployment, options.hosts.unwrap_or(18), flags)
        .await?;
    let mut report = options.new_report(&fleet, &policy);
    let class = fleet.document.classes[0].clone();
    let capacity = fleet.capacity(&class.service);
    let seed = options.seed * 1000;
    let load = |rate| vec![fleet.plan.deployment.class_load(&class.name, rate)];
    let entries = fleet.entries(|_| true);
    let warm_up = load(Rate::constant(LOAD_AFTER_CREST * capacity));
    phase::start(
        seed,
        options.phase_duration(5.0),
        warm_up,
        entries.clone(),
        true,
    )
    .await?;

    let rise_start = options.phase_duration(6.0);
    let crest_start = rise_start + RISE_TIME;
    let crest_end = crest_start + options.phase_duration(20.0);
    let end = crest_end + options.phase_duration(15.0);
    let rate = Rate(vec![
        (Duration::ZERO, capacity),
        (rise_start, capacity),
        (crest_start, PEAK_FACTOR * capacity),
        (crest_end, PEAK_FACTOR * capacity),
        (
            crest_end + Duration::from_millis(1),
            LOAD_AFTER_CREST * capacity,
        ),
    ]);
    eprintln!("{capacity:.0} requests per second, then {PEAK_FACTOR} times as many");
    let results = phase::start(seed + 1, end, load(rate), entries, true).await?;
    let counts = fleet.record.counts();
    let during_crest =
        |outcome: &&Outcome| outcome.start >= crest_start && outcome.start < crest_end;
    let crest_s = (crest_end - crest_start).as_secs_f64();
    let done = |outcome: &&Outcome| outcome.end == End::Done;
    let done_requests = results
        .outcomes
        .iter()
        .filter(during_crest)
        .filter(done)
        .count();
    report.add(None, "capacity", capacity, "per_s");
    report.add(
        None,
        "goodput_share",
        done_requests as f64 / crest_s / capacity,
        "of_1",
    );
    let in_time = results.outcomes.iter().filter(during_crest).filter(done);
    let in_time = in_time
        .filter(|outcome| meets_target(&class, outcome))
        .count();
    report.add(
        None,
        "in_time_share",
        in_time as f64 / crest_s / capacity,
        "of_1",
    );
    let mut latency = Histogram::<u64>::new(3)?;
    for outcome in results.outcomes.iter().filter(during_crest).filter(done) {
        latency.record(outcome.latency.as_micros() as u64)?;
    }
    report.add(None, "crest_p99", phase::quantile(&latency, 0.99), "ms");
    let refusal = &results.classes[0].refusal_latency;
    for (name, quantile) in [
        ("refusal_p50", 0.5),
        ("refusal_p99", 0.99),
        ("refusal_max", 1.0),
    ] {
        report.add(None, name, phase::quantile(refusal, quantile), "ms");
    }
    let refused = results
        .outcomes
        .iter()
        .filter(|outcome| outcome.end == End::Refused);
    let false_refusals = refused.filter(|outcome| counts.runs.contains_key(&outcome.key));
    report.add(
        None,
        "false_refusals",
        false_refusals.count() as f64,
        "requests",
    );
    report.add(
        None,
        "recovery",
        recovery(&class, &results, crest_end, end),
        "s",
    );
    let completed = counts.completed;
    report.add(None, "upstream_runs", counts.started as f64, "runs");
    report.add(None, "upstream_completed", completed as f64, "runs");
    phase::add_ends(&mut report, "", &results);
    phase::add_attempts(&mut report, &fleet);
    report.print()?;
    fleet.abort();
    Ok(())
}

fn meets_target(class: &Class, outcome: &Outcome) -> bool {
    outcome.end == End::Done
        && outcome.latency <= Duration::from_millis(class.target.latency_ms.into())
}

/// Returns the seconds from `crest_end` until the start of the first window
/// from which on every window meets the target.
fn recovery(class: &Class, results: &Results, crest_end: Duration, end: Duration) -> f64 {
    let mut recovered = Duration::ZERO;
    let mut window = crest_end;
    while window + WINDOW <= end {
        let started = results.outcomes.iter();
        let started = started.filter(|o| o.start >= window && o.start < window + WINDOW);
        let (mut met, mut all) = (0, 0);
        for outcome in started {
            all += 1;
            met += u32::from(meets_target(class, outcome));
        }
        if f64::from(met) < class.target.quantile * f64::from(all) {
            recovered = window + WINDOW - crest_end;
        }
        window += WINDOW;
    }
    recovered.as_secs_f64()
}
