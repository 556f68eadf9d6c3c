//! Discrete-event model of the decision logic. It measures neither sockets nor
//! processes. Prints JSON lines with the fields `scenario`, `policy`, `seed`,
//! `figure`, `value` and `unit`.
//!
//! Run with `cargo run --release -p savorylane-policy --example model`, with
//! the names of scenarios as arguments for a selection.

mod scenario;
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

fn main() {
    let names = std::env::args().skip(1).collect::<Vec<_>>();
    for scenario in Scenario::all() {
        if !names.is_empty() && !names.iter().any(|name| name == scenario.name) {
            continue;
        }
        for (policy, name) in POLICIES {
            for seed in 1..=3 {
                let result = World::new(&scenario, policy, seed).run();
                print(scenario.name, name, seed, result);
            }
        }
    }
}
