//! Cost of a view by number of hosts, printed as JSON lines. Run with
//! `cargo test --release -p savorylane-membership --test measure -- --ignored --nocapture`.

mod fleet;

use std::fs;

use fleet::{Counts, Fleet, host_list, ms};
use savorylane_intent::{Hash, Version};

/// Estimated overhead of a message beyond its content: HTTP/1.1 head and
/// JSON-RPC envelope. The traffic of a real daemon may differ.
const ENVELOPE_BYTES: u64 = 190;

/// Returns the resident memory of this process, with pages of 4096 bytes.
fn resident_bytes() -> u64 {
    let pages = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = pages
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse::<u64>().ok());
    pages.unwrap_or(0) * 4096
}

/// Runs the fleet for `seconds` and prints the cost of that phase.
fn report_phase(fleet: &mut Fleet, phase: &str, seconds: u64) {
    fleet.counts = Counts::default();
    fleet.run_until(fleet.now + ms(1_000 * seconds));
    let counts = &fleet.counts;
    let host_seconds = fleet.live().len() as u64 * seconds;
    let per = |total: u64| total as f64 / host_seconds as f64;
    // Every byte is sent by one host and received by another one, so the total
    // of both is twice the bytes sent.
    let content = per(counts.bytes);
    let sent = content + per(counts.messages * ENVELOPE_BYTES);
    println!(
        "{}",
        serde_json::json!({
            "hosts": fleet.views.len(),
            "phase": phase,
            "seconds": seconds,
            "messages_sent_per_host_s": per(counts.messages),
            "content_sent_b_per_host_s": content.round(),
            "sent_b_per_host_s": sent.round(),
            "sent_and_received_b_per_host_s": (2.0 * sent).round(),
            "largest_message_b": counts.largest,
            "actions_per_tick": counts.actions as f64 / counts.ticks as f64,
            "us_per_tick": counts.tick_time.as_secs_f64() * 1e6 / counts.ticks as f64,
            "us_per_host_s_all_calls":
                (counts.tick_time + counts.call_time).as_secs_f64() * 1e6 / host_seconds as f64,
            "peak_begun_per_host_100_ms": fleet.peak_messages(ms(0)),
            "unroutable_pairs": fleet.unroutable_pairs().len(),
        })
    );
}

/// Runs the fleet until `host` is unroutable for all viewers, for at most 60 s,
/// and prints how long that took in its data centre and everywhere.
fn report_unroutable_times(fleet: &mut Fleet, event: &str, host: usize) {
    let started = fleet.now;
    let (mut local, mut all) = (None, None);
    while all.is_none() && fleet.now < started + ms(60_000) {
        fleet.run_until(fleet.now + ms(50));
        let elapsed_ms = (fleet.now - started).as_millis() as u64;
        let routable_at = fleet.live().into_iter();
        let routable_at: Vec<usize> = routable_at.filter(|&v| fleet.routable(v, host)).collect();
        let centre = &fleet.list.hosts[host].data_centre;
        if !routable_at
            .iter()
            .any(|&v| fleet.list.hosts[v].data_centre == *centre)
        {
            local = local.or(Some(elapsed_ms));
        }
        if routable_at.is_empty() {
            all = Some(elapsed_ms);
        }
    }
    let (hosts, local_ms, all_ms) = (fleet.views.len(), local, all);
    println!(
        "{}",
        serde_json::json!({
            "hosts": hosts,
            "event": event,
            "unroutable_in_data_centre_ms": local_ms,
            "unroutable_everywhere_ms": all_ms,
        })
    );
}

/// Prints the cost of a view, to compare with the budget at the design size
/// (6 KB/s, 1.7% of a core, 200 bytes per host). Nothing is asserted.
#[test]
#[ignore = "measures for about a minute and asserts nothing"]
fn cost_by_number_of_hosts() {
    for (centres, per_centre) in [(3, 6), (6, 18), (5, 220)] {
        let list = host_list(centres, per_centre);
        let size = list.hosts.len() as u64;
        let before = resident_bytes();
        let mut fleet = Fleet::new(1, list);
        fleet.record_actions = false;
        fleet.measure_bytes = true;
        let hash = Hash([7; 32]);
        let version = Version {
            number: 1_234,
            hash,
        };
        for index in 0..fleet.views.len() {
            let actions = fleet.views[index].on_version(fleet.now, version, true);
            fleet.perform(index, actions);
        }
        report_phase(&mut fleet, "first 10 s of a herd start", 10);
        report_phase(&mut fleet, "next 20 s of a herd start", 20);
        fleet.run_until(ms(200_000));
        report_phase(&mut fleet, "calm", 30);
        fleet.counts = Counts::default();
        let state = resident_bytes().saturating_sub(before) / (size * size);
        println!(
            "{}",
            serde_json::json!({"hosts": size, "resident_b_per_host_and_view": state})
        );
        let leaver = fleet.views.len() / 2;
        let actions = fleet.views[leaver].leave(fleet.now);
        fleet.perform(leaver, actions);
        report_unroutable_times(&mut fleet, "leave", leaver);
        let dead = fleet.views.len() / 2 + 1;
        fleet.dead[dead] = true;
        report_unroutable_times(&mut fleet, "crash", dead);
        let step = (fleet.views.len() / 50).max(1);
        for leaver in (0..fleet.views.len()).step_by(step) {
            let actions = fleet.views[leaver].leave(fleet.now);
            fleet.perform(leaver, actions);
        }
        report_phase(&mut fleet, "50 hosts leave at once", 10);
    }
}
