//! One phase of load and its figures.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use savorylane_intent::document::Work;
use savorylane_standin::fleet::Fleet;
use savorylane_standin::load::{self, Class, End, Plan, Rate, Resend, Results};
use savorylane_standin::report::Report;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Number of callers. Each has one HTTP/2 connection to each entry.
const CALLERS: u8 = 16;

/// Starts load at all `entries`. Request ids contain `seed`, which therefore
/// identifies the phase. `send_attempt_number` sets whether keyed requests
/// carry their attempt number.
pub(crate) fn start(
    seed: u64,
    duration: Duration,
    classes: Vec<Class>,
    entries: Vec<SocketAddr>,
    send_attempt_number: bool,
) -> JoinHandle<Results> {
    let plan = Plan {
        seed,
        duration,
        max_requests: usize::MAX,
        classes,
        entries,
        http2: true,
        callers: CALLERS,
        home_region: None,
        resend: Resend {
            max_attempts: 1,
            delay: Duration::ZERO,
            send_attempt_number,
        },
    };
    load::spawn(plan, &CancellationToken::new())
}

/// Returns the load of all short classes, each at `share` of the capacity of
/// its service.
pub(crate) fn short_classes(fleet: &Fleet, share: f64) -> Vec<Class> {
    let classes = fleet.document.classes.iter();
    let short = classes.filter(|class| class.work == Work::Short);
    short
        .map(|class| {
            let rate = share * fleet.capacity(&class.service);
            let deployment = &fleet.plan.deployment;
            let mut class = deployment.class_load(&class.name, Rate::constant(rate));
            // A slowed host must be able to answer within the timeout.
            class.timeout = class.timeout.mul_f64((deployment.scale / 3.0).max(1.0));
            class
        })
        .collect()
}

/// Returns the latencies of the done requests of the classes that `filter`
/// selects, in microseconds.
pub(crate) fn latency(results: &Results, filter: impl Fn(&str) -> bool) -> Histogram<u64> {
    let mut sum: Option<Histogram<u64>> = None;
    for class in results.classes.iter().filter(|class| filter(&class.class)) {
        match &mut sum {
            Some(sum) => sum.add(&class.latency).expect("the bounds are equal"),
            None => sum = Some(class.latency.clone()),
        }
    }
    sum.expect("the filter selects a class of the plan")
}

/// Returns the given quantile of `latency` in milliseconds.
pub(crate) fn quantile(latency: &Histogram<u64>, quantile: f64) -> f64 {
    latency.value_at_quantile(quantile) as f64 / 1e3
}

/// Prints the most frequent reasons why requests did not succeed.
fn print_reasons(results: &Results) {
    let mut reasons = BTreeMap::<_, u64>::new();
    for outcome in results.outcomes.iter().filter(|o| o.end != End::Done) {
        let class = &results.classes[outcome.class].class;
        let end = format!("{:?}", outcome.end);
        *reasons.entry((class, end, &outcome.reason)).or_default() += 1;
    }
    let mut reasons: Vec<_> = reasons.into_iter().collect();
    reasons.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    for ((class, end, reason), count) in reasons.into_iter().take(12) {
        eprintln!("  {count} {class} {end} {reason}");
    }
}

/// Adds the number of requests of each class by how they ended. The latencies
/// of done requests alone do not show how many requests they leave out.
pub(crate) fn add_ends(report: &mut Report, prefix: &str, results: &Results) {
    print_reasons(results);
    for class in &results.classes {
        let ends = [
            ("offered", class.offered),
            ("done", class.done),
            ("refused", class.refused),
            ("failed", class.failed),
            ("wrong", class.wrong),
            ("cut", class.cut),
            ("timeout", class.timeout),
        ];
        let reported = ends
            .iter()
            .filter(|(name, count)| *count > 0 || *name == "done");
        for (name, count) in reported {
            let name = format!("{prefix}{name}");
            report.add(Some(&class.class), &name, *count as f64, "requests");
        }
    }
}

/// Adds the retries and hedges that the daemons counted since their start.
pub(crate) fn add_attempts(report: &mut Report, fleet: &Fleet) {
    for kind in ["retry", "hedge"] {
        let count = fleet.metric("savorylane_attempts", kind);
        report.add(None, &format!("attempts_{kind}"), count, "requests");
    }
}
