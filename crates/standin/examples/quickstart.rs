//! Runs two data centres with simulated platform, upstreams and callers:
//! publishes a document, serves requests, changes a target and drains a host.
//!
//! Exits with 0 only if every request got its whole answer, no request reached
//! the draining upstream late, and no key ran more than once.

use std::process::ExitCode;
use std::time::Duration;

use savorylane_standin::deployment;
use savorylane_standin::fleet::{self, Failure, Fleet};
use savorylane_standin::load::{self, End, Plan, Rate, Resend, Results};
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Time during which requests are started.
const DURATION: Duration = Duration::from_secs(12);

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(failure) => {
            eprintln!("quickstart: {failure}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<bool, Failure> {
    let mut deployment = deployment::testata();
    deployment.data_centres.truncate(2);
    println!("Starting 12 hosts in mi-a and bg-b: one daemon and one upstream each.");
    let mut fleet = fleet::spawn(fleet::Plan {
        deployment,
        hosts: 12,
        seed: 1,
        link_latency: true,
        flags: Vec::new(),
    })
    .await?;
    println!("Document 1 and the host list are in force on all hosts.");

    let cancel = CancellationToken::new();
    let load = start_load(&fleet, &cancel);
    println!("Callers send browse, confirm (keyed) and upload requests to all entries for 12 s.");
    sleep(Duration::from_secs(4)).await;

    let (version, published) = fleet.change_target(0, 80);
    let reached = fleet.wait_until_in_force(version, 0).await?;
    let last = reached.into_iter().max().unwrap_or(published);
    let took = last.duration_since(published).as_millis();
    println!("Target of browse changed to 80 ms: in force on the last host after {took} ms.");
    sleep(Duration::from_secs(2)).await;

    let leaving = fleet.members[2].placement.name.clone();
    fleet.drain(&leaving);
    println!("Host {leaving} drains: it finishes its running requests and receives no new ones.");

    let results = load.await?;
    let runs = fleet.record.counts();
    let late = runs
        .late
        .iter()
        .filter(|late| late.after > Duration::from_secs(3));
    let late = late.count();
    println!("\nclass     requests  whole answers  p50 ms  p99 ms");
    for class in &results.classes {
        println!(
            "{:<8}  {:>8}  {:>13}  {:>6.1}  {:>6.1}",
            class.class,
            class.offered,
            class.done,
            class.latency_ms(0.5),
            class.latency_ms(0.99),
        );
    }
    let failed = results
        .outcomes
        .iter()
        .filter(|outcome| outcome.end != End::Done);
    for outcome in failed.take(20) {
        let class = &results.classes[outcome.class].class;
        let (start, took) = (outcome.start.as_secs_f64(), outcome.latency.as_secs_f64());
        let (end, verdict) = (outcome.end, outcome.verdict);
        println!("{class} at {start:.3} s ended after {took:.3} s: {end:?}, {verdict:?}");
    }
    println!("\nTargets, as the operator ports report them:");
    for outcome in fleet.outcomes().await? {
        if outcome.requests == 0 {
            continue;
        }
        println!(
            "{:<8}  {:.4} within {} ms (target {}): {}",
            outcome.class,
            outcome.in_time_share(),
            outcome.target.latency_ms,
            outcome.target.quantile,
            if outcome.met() { "met" } else { "missed" },
        );
    }
    println!("\nRequests at the draining upstream later than 3 s: {late}");
    // A key that ran more than once stands for a duplicate order.
    let repeated = runs
        .runs
        .iter()
        .filter(|(key, runs)| key.starts_with("key-") && **runs > 1);
    let repeated = repeated.count();
    println!("Keys that ran more than once: {repeated}");
    let offered: u64 = results.classes.iter().map(|class| class.offered).sum();
    let done: u64 = results.classes.iter().map(|class| class.done).sum();
    println!("Whole answers: {done} of {offered}");
    let cut = fleet.shutdown(Duration::from_secs(5)).await;
    if !cut.is_empty() {
        println!(
            "Hosts whose daemons cut off requests or did not stop within 5 s: {}",
            cut.join(", ")
        );
    }
    Ok(done == offered && late == 0 && repeated == 0)
}

fn start_load(fleet: &Fleet, cancel: &CancellationToken) -> JoinHandle<Results> {
    let deployment = &fleet.plan.deployment;
    let classes = [("browse", 100.0), ("confirm", 40.0), ("upload", 4.0)]
        .map(|(class, rate)| deployment.class_load(class, Rate::constant(rate)));
    let plan = Plan {
        seed: 1,
        duration: DURATION,
        max_requests: usize::MAX,
        classes: classes.to_vec(),
        entries: fleet.entries(|_| true),
        http2: false,
        callers: 4,
        home_region: None,
        resend: Resend {
            max_attempts: 1,
            delay: Duration::ZERO,
            // A first attempt with its number runs immediately, also while
            // hosts leave and holders change. Keys without an attempt number
            // are then refused temporarily.
            send_attempt_number: true,
        },
    };
    load::spawn(plan, cancel)
}
