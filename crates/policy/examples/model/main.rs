//! Discrete-event simulation of the decision logic, without sockets and
//! processes. Prints JSON lines with the fields `scenario`, `policy`, `seed`,
//! `figure`, `value` and `unit`.
//!
//! Run with `cargo run --release -p savorylane-policy --example model`. Names
//! of scenarios and policies as arguments select what is run.

mod scenario;
mod slow;
mod world;

use savorylane_policy::route::Policy;

use scenario::{Scenario, Summary};
use world::World;

const POLICIES: [(Policy, &str); 4] = [
    (Policy::Random, "random"),
    (Policy::RoundRobin, "round-robin"),
    (Policy::LeastOutstanding, "least-outstanding"),
    (Policy::Savorylane, "savorylane"),
];

/// Returns a quantile, in milliseconds, of sorted times in microseconds.
fn quantile(sorted: &[u64], quantile: f64) -> f64 {
    let index = ((sorted.len() as f64 - 1.0) * quantile).max(0.0) as usize;
    sorted.get(index).copied().unwrap_or(0) as f64 / 1_000.0
}

fn print_line(scenario: &str, policy: &str, seed: u64, figure: &str, value: f64, unit: &str) {
    let value = (value * 1_000.0).round() / 1_000.0;
    println!(
        "{}",
        serde_json::json!({
            "scenario": scenario, "policy": policy, "seed": seed,
            "figure": figure, "value": value, "unit": unit,
        })
    );
}

fn print_summary(scenario: &str, policy: &str, seed: u64, mut summary: Summary) {
    summary.short_us.sort_unstable();
    summary.refused_us.sort_unstable();
    let line = |figure: &str, value: f64, unit: &str| {
        print_line(scenario, policy, seed, figure, value, unit);
    };
    for (figure, at) in [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)] {
        line(figure, quantile(&summary.short_us, at), "ms");
    }
    let mut all = summary.all_us_by_slowed.concat();
    all.sort_unstable();
    line("p99-all", quantile(&all, 0.99), "ms");
    for (slowed, times) in summary.all_us_by_slowed.iter_mut().enumerate() {
        times.sort_unstable();
        line(&format!("p99-slowed-{slowed}"), quantile(times, 0.99), "ms");
    }
    line("refusal-p99", quantile(&summary.refused_us, 0.99), "ms");
    line("answered", summary.answered_share(), "share");
    line("failed", summary.failed as f64, "requests");
    line("hedged", summary.hedged_share(), "share");
    line("retried", summary.retried_share(), "share");
    line("goodput", summary.goodput, "share of capacity");
    line(
        "goodput-shed-last",
        summary.goodput_shed_last,
        "share of offered",
    );
    line(
        "goodput-shed-first",
        summary.goodput_shed_first,
        "share of offered",
    );
    line("long", summary.long_answered as f64, "answers");
    line("recovery", summary.recovery_s, "s");
}

/// Returns whether the arguments select `name`. If they contain none of the
/// names in `all`, everything is selected.
fn selected(arguments: &[String], name: &str, all: &[&str]) -> bool {
    let named = |argument: &String| all.contains(&argument.as_str());
    !arguments.iter().any(named) || arguments.iter().any(|argument| argument == name)
}

fn main() {
    let arguments = std::env::args().skip(1).collect::<Vec<_>>();
    let scenarios = Scenario::all();
    let scenario_names = scenarios.iter().map(|one| one.name).collect::<Vec<_>>();
    let policy_names = POLICIES.map(|(_, name)| name);
    for scenario in &scenarios {
        if !selected(&arguments, scenario.name, &scenario_names) {
            continue;
        }
        for (policy, name) in POLICIES {
            if !selected(&arguments, name, &policy_names) {
                continue;
            }
            for seed in 1..=3 {
                let summary = World::new(scenario, policy, seed).run();
                print_summary(scenario.name, name, seed, summary);
            }
        }
    }
}
