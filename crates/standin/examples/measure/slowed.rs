//! Tail latency while 2 of the upstreams of each service are slowed at a time.

use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use savorylane_standin::fleet::{Failure, Fleet};
use savorylane_standin::upstream;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::options::Options;
use crate::phase;

const POLICIES: [&str; 4] = ["savorylane", "least-outstanding", "round-robin", "random"];
/// Share of the capacity of all upstreams at full speed.
const LOAD: f64 = 0.7;
const FACTOR: f64 = 10.0;
/// Time between two moments.
const PAUSE: Duration = Duration::from_secs(1);

pub(crate) async fn run(options: &Options) -> Result<(), Failure> {
    for policy in options.policies(&POLICIES) {
        measure(options, &policy).await?;
    }
    Ok(())
}

async fn measure(options: &Options, policy: &str) -> Result<(), Failure> {
    let deployment = options.deployment(5.0);
    let flags = vec![format!("--policy={policy}")];
    let fleet = options
        .fleet(deployment, options.hosts.unwrap_or(18), flags)
        .await?;
    let mut report = options.report(&fleet, policy);
    let seed = options.seed * 1000;
    let entries = fleet.entries(|_| true);
    let start = |number, seconds: f64| {
        let classes = phase::short(&fleet, LOAD);
        phase::start(
            seed + number,
            options.time(seconds),
            classes,
            entries.clone(),
        )
    };
    // The first seconds open connections and fill the estimates.
    start(0, 5.0).await?;
    eprintln!("undisturbed");
    let reference = start(1, 15.0).await?;
    eprintln!("slowed");
    let cancel = CancellationToken::new();
    let slowing = slow(&fleet, options.seed, &cancel);
    let slowed = start(2, 24.0).await?;
    cancel.cancel();
    slowing.await;
    let names = slowed
        .classes
        .iter()
        .map(|class| Some(class.class.as_str()));
    for class in names.chain([None]) {
        let pick = |name: &str| class.is_none_or(|class| class == name);
        let latency = phase::latency(&slowed, pick);
        let undisturbed = phase::quantile(&phase::latency(&reference, pick), 0.99);
        for (name, quantile) in [("p50", 0.5), ("p99", 0.99), ("p99_9", 0.999)] {
            report.add(class, name, phase::quantile(&latency, quantile), "ms");
        }
        report.add(class, "p99_reference", undisturbed, "ms");
    }
    phase::add_ends(&mut report, "reference_", &reference);
    phase::add_ends(&mut report, "", &slowed);
    phase::add_attempts(&mut report, &fleet);
    report.print()?;
    fleet.abort();
    Ok(())
}

/// Slows two upstreams of each service at a time until cancelled.
fn slow(fleet: &Fleet, seed: u64, cancel: &CancellationToken) -> impl Future<Output = ()> + use<> {
    let mut tasks = Vec::new();
    for (stream, service) in fleet.document.services.iter().enumerate() {
        let members = fleet.members.iter();
        let members = members.filter(|member| member.place.service == service.name);
        let mut upstreams: Vec<upstream::Handle> =
            members.map(|member| member.upstream.clone()).collect();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(stream as u64);
        let cancel = cancel.clone();
        tasks.push(tokio::spawn(async move {
            while !cancel.is_cancelled() {
                upstreams.shuffle(&mut rng);
                for upstream in upstreams.iter().take(2) {
                    upstream.mode(|mode| mode.slow = FACTOR);
                }
                let moment = Duration::from_secs_f64(rng.random_range(0.5..5.0));
                tokio::select! {
                    () = sleep(moment) => (),
                    () = cancel.cancelled() => (),
                }
                for upstream in upstreams.iter().take(2) {
                    upstream.mode(|mode| mode.slow = 1.0);
                }
                sleep(PAUSE).await;
            }
        }));
    }
    async { drop(futures::future::join_all(tasks).await) }
}
