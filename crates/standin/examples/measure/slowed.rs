//! Tail latency while 2 upstreams of each service are slow for short periods.

use std::ops::Range;
use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use savorylane_intent::document::Work;
use savorylane_standin::fleet::{Failure, Fleet};
use savorylane_standin::upstream;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::options::Options;
use crate::phase;

const POLICIES: [&str; 4] = ["savorylane", "least-outstanding", "round-robin", "random"];
/// Load as a share of the capacity of all upstreams at full speed.
const LOAD_SHARE: f64 = 0.7;
/// Target latency of short work: 12 service times at the default scale. The
/// 100 ms of the deployments are less than two service times.
const TARGET_MS: u32 = 750;
/// Factor on the service times of a slow upstream.
const SLOW_FACTOR: f64 = 10.0;
/// Length of a slow period of an upstream.
const SLOW_PERIOD_S: Range<f64> = 0.5..5.0;
/// Time between two slow periods of an upstream, as in the model of the crate
/// `policy`. Both upstreams are slow at the same time in about 1 of 20 seconds,
/// during which the load takes all of the remaining capacity.
const PAUSE_S: Range<f64> = 4.0..16.0;
/// Time between two slow periods with `--together`, where both upstreams are
/// always slow at the same time. The load then equals the remaining capacity
/// for most of the time.
const PAUSE_TOGETHER_S: Range<f64> = 1.0..1.01;

pub(crate) async fn run(options: &Options) -> Result<(), Failure> {
    for policy in options.policies(&POLICIES) {
        measure(options, &policy).await?;
    }
    Ok(())
}

async fn measure(options: &Options, policy: &str) -> Result<(), Failure> {
    let mut deployment = options.deployment(15.0);
    for class in &mut deployment.document.classes {
        if class.work == Work::Short {
            class.target.latency_ms = TARGET_MS;
        }
    }
    let flags = vec![format!("--policy={policy}")];
    let fleet = options
        .start_fleet(deployment, options.hosts.unwrap_or(18), flags)
        .await?;
    let mut report = options.new_report(&fleet, policy);
    let seed = options.seed * 1000;
    let entries = fleet.entries(|_| true);
    let start = |number, seconds: f64| {
        let classes = phase::short_classes(&fleet, LOAD_SHARE);
        phase::start(
            seed + number,
            options.phase_duration(seconds),
            classes,
            entries.clone(),
            true,
        )
    };
    // During the first seconds, daemons open connections and collect samples
    // for their estimates.
    start(0, 4.0).await?;
    eprintln!("phase without slowed upstreams");
    let reference = start(1, 12.0).await?;
    eprintln!("phase with slowed upstreams");
    let cancel = CancellationToken::new();
    let slowing = spawn_slowing(&fleet, options.seed, options.together, &cancel);
    let slowed = start(2, 30.0).await?;
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

/// Slows two upstreams of each service for repeated short periods until
/// cancelled.
fn spawn_slowing(
    fleet: &Fleet,
    seed: u64,
    together: bool,
    cancel: &CancellationToken,
) -> impl Future<Output = ()> + use<> {
    let mut tasks = Vec::new();
    for (stream, service) in fleet.document.services.iter().enumerate() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(stream as u64);
        let members = fleet.members.iter();
        let members = members.filter(|member| member.placement.service == service.name);
        let mut upstreams: Vec<upstream::Handle> =
            members.map(|member| member.upstream.clone()).collect();
        upstreams.shuffle(&mut rng);
        upstreams.truncate(2);
        let groups: Vec<Vec<_>> = match together {
            true => vec![upstreams],
            false => upstreams
                .into_iter()
                .map(|upstream| vec![upstream])
                .collect(),
        };
        let pause = if together { PAUSE_TOGETHER_S } else { PAUSE_S };
        for group in groups {
            let rng = ChaCha8Rng::seed_from_u64(rng.random());
            tasks.push(tokio::spawn(slow_repeatedly(
                group,
                pause.clone(),
                rng,
                cancel.clone(),
            )));
        }
    }
    async { drop(futures::future::join_all(tasks).await) }
}

/// Slows all `upstreams` at the same time, for repeated short periods, until
/// cancelled.
async fn slow_repeatedly(
    upstreams: Vec<upstream::Handle>,
    pause: Range<f64>,
    mut rng: ChaCha8Rng,
    cancel: CancellationToken,
) {
    // The first pause is shorter, as if it had begun before the run.
    let mut wait = pause.end * rng.random::<f64>();
    loop {
        for (factor, seconds) in [(1.0, wait), (SLOW_FACTOR, rng.random_range(SLOW_PERIOD_S))] {
            for upstream in &upstreams {
                upstream.update_mode(|mode| mode.slow_factor = factor);
            }
            tokio::select! {
                () = sleep(Duration::from_secs_f64(seconds)) => (),
                () = cancel.cancelled() => return,
            }
        }
        wait = rng.random_range(pause.clone());
    }
}
