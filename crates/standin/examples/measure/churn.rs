//! Service while hosts leave and join.

use std::time::Duration;

use savorylane_intent::document::Work;
use savorylane_intent::hosts::State;
use savorylane_standin::deployment::LONG_MEDIAN;
use savorylane_standin::fleet::{Failure, Member};
use savorylane_standin::load::{End, Rate};
use tokio::time::{Instant, sleep, sleep_until};

use crate::options::Options;
use crate::phase;

/// Time between the replacements of two hosts.
const REPLACEMENT_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which the host list marks a leaving host as leaving.
const LIST_LAG: Duration = Duration::from_secs(1);
/// A new request that reaches an upstream later than this after the upstream
/// began to drain is a late assignment.
const LATE_AFTER: Duration = Duration::from_secs(3);
/// Load of short work as a share of the capacity.
const LOAD_SHARE: f64 = 0.4;

pub(crate) async fn run(options: &Options) -> Result<(), Failure> {
    let policy = options.policies(&["savorylane"]).remove(0);
    let flags = vec![format!("--policy={policy}"), "--drain-limit-s=20".into()];
    let deployment = options.deployment(5.0);
    let hosts = options.hosts.unwrap_or(18);
    let mut fleet = options.start_fleet(deployment, hosts, flags).await?;
    let mut report = options.new_report(&fleet, &policy);
    // Callers use only entries that stay, because the load generator does not
    // switch to another entry.
    let staying_hosts = fleet.document.services.len() * 2;
    let entries: Vec<_> = fleet
        .entries(|_| true)
        .into_iter()
        .take(staying_hosts)
        .collect();
    let mut classes = phase::short_classes(&fleet, LOAD_SHARE);
    let long = fleet
        .document
        .classes
        .iter()
        .find(|class| class.work == Work::Long);
    let long = long.ok_or("the document has no long class")?;
    let slots = (hosts / fleet.document.services.len() * fleet.plan.deployment.slots) as f64;
    let uploads = 0.2 * slots
        / fleet
            .plan
            .deployment
            .mean_service_time(LONG_MEDIAN)
            .as_secs_f64();
    classes.push(
        fleet
            .plan
            .deployment
            .class_load(&long.name, Rate::constant(uploads)),
    );
    let seed = options.seed * 1000;
    let warm_up = classes.clone();
    phase::start(
        seed,
        options.phase_duration(5.0),
        warm_up,
        entries.clone(),
        !options.unmarked,
    )
    .await?;
    let duration = options.phase_duration(60.0);
    let start = Instant::now();
    let load = phase::start(seed + 1, duration, classes, entries, !options.unmarked);
    let mut shutdowns = Vec::new();
    let mut changes = 0;
    while start.elapsed() + REPLACEMENT_INTERVAL < duration {
        sleep_until(start + REPLACEMENT_INTERVAL * (changes + 1)).await;
        let old = fleet.members[staying_hosts].placement.clone();
        let mut new = old.clone();
        let round = hosts + changes as usize;
        new.name = format!("{}-{}-{round}", new.service, new.data_centre.name);
        eprintln!("host {} leaves, host {} joins", old.name, new.name);
        fleet.start_host(new, round).await?;
        let member = fleet
            .remove_member(&old.name)
            .ok_or("the leaving host is not a member of the fleet")?;
        // The new host is listed immediately; the leaving host is still listed
        // as live.
        fleet.extra_hosts.clear();
        fleet.extra_hosts.push(member.host.clone());
        fleet.publish_hosts();
        member.upstream.drain();
        shutdowns.push(tokio::spawn(shut_down(member)));
        sleep(LIST_LAG).await;
        for host in &mut fleet.extra_hosts {
            host.state = State::Leaving;
        }
        fleet.publish_hosts();
        changes += 1;
    }
    let results = load.await?;
    let mut cut_daemons = 0;
    for shutdown in shutdowns {
        cut_daemons += usize::from(!shutdown.await?.is_empty());
    }
    let counts = fleet.record.counts();
    let late = counts
        .late
        .iter()
        .filter(|late| late.after > LATE_AFTER)
        .count();
    let latest = counts
        .late
        .iter()
        .map(|late| late.after)
        .max()
        .unwrap_or_default();
    let cut = results.outcomes.iter();
    let cut = cut.filter(|outcome| !matches!(outcome.end, End::Done | End::Refused));
    report.add(None, "changes", f64::from(changes), "hosts");
    report.add(None, "requests_cut", cut.count() as f64, "requests");
    report.add(None, "late_assignments", late as f64, "requests");
    report.add(
        None,
        "assigned_while_leaving",
        counts.late.len() as f64,
        "requests",
    );
    report.add(None, "latest_assignment", latest.as_secs_f64(), "s");
    report.add(None, "daemons_that_cut", cut_daemons as f64, "daemons");
    for class in &results.classes {
        report.add(Some(&class.class), "p50", class.latency_ms(0.5), "ms");
        report.add(Some(&class.class), "p99", class.latency_ms(0.99), "ms");
    }
    phase::add_ends(&mut report, "", &results);
    phase::add_attempts(&mut report, &fleet);
    report.print()?;
    fleet.abort();
    Ok(())
}

/// Shuts down the daemon of `member`. The links to its ports end with the
/// fleet.
async fn shut_down(member: Member) -> Vec<&'static str> {
    member.daemon.shutdown().await
}
