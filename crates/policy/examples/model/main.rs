//! Discrete-event model of the decision logic. It measures neither sockets nor
//! processes. Prints JSON lines with the fields `scenario`, `policy`, `seed`,
//! `figure`, `value` and `unit`.
//!
//! Run with `cargo run --release -p savorylane-policy --example model`, with
//! names of scenarios and policies as arguments for a selection.

mod scenario;
mod slow;
mod world;

use savorylane_policy::route::Policy;

use scenario::{Result, Scenario};
use world::World;

const POLICIES: [(Policy, &str); 4] = [
    (Policy::Random, "random"),
    (Policy::RoundRobin, "round-robin"),
    (Policy::LeastOutstanding, "least-outstanding"),
    (Policy::Savorylane, "savorylane"),
];

fn quantile(sorted: &[u64], quantile: f64) -> f64 {
    let index = ((sorted.len() as f64 - 1.0) * quantile).max(0.0) as usize;
    sorted.get(index).copied().unwrap_or(0) as f64 / 1_000.0
}

fn line(scenario: &str, policy: &str, seed: u64, figure: &str, value: f64, unit: &str) {
    let value = (value * 1_000.0).round() / 1_000.0;
    println!(
        "{}",
        serde_json::json!({
            "scenario": scenario, "policy": policy, "seed": seed,
            "figure": figure, "value": value, "unit": unit,
        })
    );
}

fn print(scenario: &str, policy: &str, seed: u64, mut result: Result) {
    result.short_us.sort_unstable();
    result.refused_us.sort_unstable();
    let line = |figure: &str, value: f64, unit: &str| {
        line(scenario, policy, seed, figure, value, unit);
    };
    for (figure, at) in [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)] {
        line(figure, quantile(&result.short_us, at), "ms");
    }
    let mut all = result.by_slowed.concat();
    all.sort_unstable();
    line("p99-all", quantile(&all, 0.99), "ms");
    for (slowed, times) in result.by_slowed.iter_mut().enumerate() {
        times.sort_unstable();
        line(&format!("p99-slowed-{slowed}"), quantile(times, 0.99), "ms");
    }
    line("refusal-p99", quantile(&result.refused_us, 0.99), "ms");
    line("answered", result.answered_share(), "share");
    line("failed", result.failed as f64, "requests");
    line("hedged", result.hedged_share(), "share");
    line("retried", result.retried_share(), "share");
    line("goodput", result.goodput, "share of capacity");
    line(
        "goodput-shed-last",
        result.answered_first,
        "share of offered",
    );
    line(
        "goodput-shed-first",
        result.answered_second,
        "share of offered",
    );
    line("long", result.long as f64, "answers");
    line("recovery", result.recovery, "s");
}

/// Returns whether the arguments select `name` of `all`; without any name of
/// `all`, everything is selected.
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
                let result = World::new(scenario, policy, seed).run();
                print(scenario.name, name, seed, result);
            }
        }
    }
}
