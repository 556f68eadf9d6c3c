//! Latency of short work while uploads run.

use savorylane_intent::document::Work;
use savorylane_standin::deployment::LONG_MEDIAN;
use savorylane_standin::fleet::Failure;
use savorylane_standin::load::Rate;

use crate::options::Options;
use crate::phase;

/// Load of short work as a share of the capacity: half of the third of the
/// slots that uploads may never occupy.
const SHORT_SHARE: f64 = 1.0 / 6.0;

pub(crate) async fn run(options: &Options) -> Result<(), Failure> {
    let policy = options.policies(&["savorylane"]).remove(0);
    let deployment = options.deployment(5.0);
    let flags = vec![format!("--policy={policy}")];
    let fleet = options
        .start_fleet(deployment, options.hosts.unwrap_or(18), flags)
        .await?;
    let mut report = options.new_report(&fleet, &policy);
    let deployment = &fleet.plan.deployment;
    let long = fleet
        .document
        .classes
        .iter()
        .find(|class| class.work == Work::Long);
    let long = long.ok_or("the document has no long class")?;
    let hosts = fleet
        .members
        .iter()
        .filter(|member| member.placement.service == long.service);
    // The gate reserves a third of the slots for short work.
    let slots = deployment.slots - (deployment.slots / 3).max(1);
    let capacity =
        (hosts.count() * slots) as f64 / deployment.mean_service_time(LONG_MEDIAN).as_secs_f64();
    report.add(Some(&long.name), "capacity", capacity, "per_s");
    let seed = options.seed * 1000;
    phase::start(
        seed,
        options.phase_duration(5.0),
        phase::short_classes(&fleet, SHORT_SHARE),
        fleet.entries(|_| true),
        true,
    )
    .await?;
    for (number, factor) in [0.0, 1.0, 2.0, 4.0].into_iter().enumerate() {
        eprintln!("uploads at {factor} times their capacity");
        let mut classes = phase::short_classes(&fleet, SHORT_SHARE);
        if factor > 0.0 {
            classes.push(deployment.class_load(&long.name, Rate::constant(factor * capacity)));
        }
        let duration = options.phase_duration(24.0);
        let entries = fleet.entries(|_| true);
        let results =
            phase::start(seed + 1 + number as u64, duration, classes, entries, true).await?;
        for class in &results.classes {
            for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
                let name = format!("{name}_at_{factor}");
                report.add(Some(&class.class), &name, class.latency_ms(quantile), "ms");
            }
            if class.class == long.name {
                // Uploads may end after the last arrival of the phase, so the
                // rate is relative to the time until the last request ended.
                let goodput = class.done as f64 / results.elapsed.as_secs_f64();
                report.add(
                    Some(&class.class),
                    &format!("goodput_at_{factor}"),
                    goodput,
                    "per_s",
                );
            }
        }
        phase::add_ends(&mut report, &format!("at_{factor}_"), &results);
    }
    phase::add_attempts(&mut report, &fleet);
    report.print()?;
    fleet.abort();
    Ok(())
}
