//! Service while demand rises to five times the capacity.

use std::time::Duration;

use hdrhistogram::Histogram;
use savorylane_intent::document::Class;
use savorylane_standin::fleet::Failure;
use savorylane_standin::load::{End, Outcome, Rate, Results};

use crate::options::Options;
use crate::phase;

const PEAK: f64 = 5.0;
/// Target of the class. At the default scale, the 100 ms of the deployments
/// are 2.5 service times, which the load after the crest misses without one.
const TARGET_MS: u32 = 500;
const RISE: Duration = Duration::from_secs(2);
/// Load after the crest: at the full capacity no target can be met.
const AFTER: f64 = 0.7;
/// Resolution of the time until targets are met again.
const WINDOW: Duration = Duration::from_millis(500);

pub(crate) async fn run(options: &Options) -> Result<(), Failure> {
    let policy = options.policies(&["savorylane"]).remove(0);
    let flags = vec![format!("--policy={policy}")];
    let mut deployment = options.deployment(10.0);
    deployment.document.classes[0].target.latency_ms = TARGET_MS;
    let fleet = options
        .fleet(deployment, options.hosts.unwrap_or(18), flags)
        .await?;
    let mut report = options.report(&fleet, &policy);
    let class = fleet.document.classes[0].clone();
    let capacity = fleet.capacity(&class.service);
    let seed = options.seed * 1000;
    let load = |rate| vec![fleet.plan.deployment.load(&class.name, rate)];
    let entries = fleet.entries(|_| true);
    let warm = load(Rate::constant(AFTER * capacity));
    phase::start(seed, options.time(5.0), warm, entries.clone(), true).await?;

    let rise = options.time(6.0);
    let top = rise + RISE;
    let fall = top + options.time(20.0);
    let end = fall + options.time(15.0);
    let rate = Rate(vec![
        (Duration::ZERO, capacity),
        (rise, capacity),
        (top, PEAK * capacity),
        (fall, PEAK * capacity),
        (fall + Duration::from_millis(1), AFTER * capacity),
    ]);
    eprintln!("{capacity:.0} requests a second, then {PEAK} times that");
    let results = phase::start(seed + 1, end, load(rate), entries, true).await?;
    let counts = fleet.record.counts();
    let within = |outcome: &&Outcome| outcome.start >= top && outcome.start < fall;
    let held = (fall - top).as_secs_f64();
    let done = |outcome: &&Outcome| outcome.end == End::Done;
    let good = results.outcomes.iter().filter(within).filter(done).count();
    report.add(None, "capacity", capacity, "per_s");
    report.add(None, "goodput_share", good as f64 / held / capacity, "of_1");
    let in_time = results.outcomes.iter().filter(within).filter(done);
    let in_time = in_time.filter(|outcome| in_target(&class, outcome)).count();
    report.add(
        None,
        "in_time_share",
        in_time as f64 / held / capacity,
        "of_1",
    );
    let mut latency = Histogram::<u64>::new(3)?;
    for outcome in results.outcomes.iter().filter(within).filter(done) {
        latency.record(outcome.latency.as_micros() as u64)?;
    }
    report.add(None, "crest_p99", phase::quantile(&latency, 0.99), "ms");
    let refusal = &results.classes[0].refusal;
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
    report.add(None, "recovery", recovery(&class, &results, fall, end), "s");
    let completed = counts.completed;
    report.add(None, "upstream_runs", counts.started as f64, "runs");
    report.add(None, "upstream_completed", completed as f64, "runs");
    phase::add_ends(&mut report, "", &results);
    phase::add_attempts(&mut report, &fleet);
    report.print()?;
    fleet.abort();
    Ok(())
}

fn in_target(class: &Class, outcome: &Outcome) -> bool {
    outcome.end == End::Done
        && outcome.latency <= Duration::from_millis(class.target.latency_ms.into())
}

/// Returns the seconds from `fall` until the first window from which on the
/// target is met in each window.
fn recovery(class: &Class, results: &Results, fall: Duration, end: Duration) -> f64 {
    let mut recovered = Duration::ZERO;
    let mut window = fall;
    while window + WINDOW <= end {
        let started = results.outcomes.iter();
        let started = started.filter(|o| o.start >= window && o.start < window + WINDOW);
        let (mut met, mut all) = (0, 0);
        for outcome in started {
            all += 1;
            met += u32::from(in_target(class, outcome));
        }
        if f64::from(met) < class.target.quantile * f64::from(all) {
            recovered = window + WINDOW - fall;
        }
        window += WINDOW;
    }
    recovered.as_secs_f64()
}
