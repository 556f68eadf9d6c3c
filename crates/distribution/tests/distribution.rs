//! Distribution of versions to fleets of 12 to 1,105 hosts, in virtual time and
//! under faults.

mod sim;

use std::time::Duration;

use sim::{Mode, Settings, Sim};

/// Time within which a version must be in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_millis(2_500);
/// Time between two versions of a fast series.
const VERSION_INTERVAL: Duration = Duration::from_millis(170);
/// Start of the series of versions.
const SERIES_START: Duration = Duration::from_secs(14);
/// Number of versions in the series, which takes 5 s.
const SERIES_LEN: u64 = 30;
/// End of a run.
const RUN_END: Duration = Duration::from_secs(30);

/// Returns a fleet of 79 hosts in 6 data centres and 3 regions.
fn standard_fleet(mode: Mode) -> Settings {
    Settings {
        hosts: 79,
        centres: 6,
        regions: 3,
        fast_every: 6,
        mode,
    }
}

/// Schedules a fast series of versions.
fn publish_series(sim: &mut Sim) {
    for number in 0..SERIES_LEN {
        sim.publish(
            SERIES_START + VERSION_INTERVAL * number as u32,
            10 + number * 3,
        );
    }
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Asserts that exactly one host reads the store, and that each data centre has
/// exactly one reader.
fn assert_one_reader_in_each_centre(sim: &Sim) {
    let (readers, answering) = (sim.store_readers(), sim.readers());
    assert_eq!(readers.len(), 1, "{readers:?} read the store");
    for centre in 0..sim.centres() {
        let near = answering.iter().filter(|host| sim.centre(**host) == centre);
        assert_eq!(near.count(), 1, "{answering:?} answer followers");
    }
}

/// Load pattern: six versions of 1,100 routes per second over links of 7
/// Mbit/s. Guards against versions that are late on slow links, as they are in
/// the comparison run where every host reads all versions from the store.
#[test]
fn a_series_is_in_force_in_time_on_slow_links() {
    let mut sim = Sim::new(standard_fleet(Mode::Readers));
    publish_series(&mut sim);
    sim.run(RUN_END);
    let (taken, version, host) = sim.slowest(|_, _| true);
    println!("{taken:?} {version} {host} {:?}", sim.counts);
    assert!(taken.is_some_and(|taken| taken < at(1_000)), "{taken:?}");
    assert_one_reader_in_each_centre(&sim);
    for reader in sim.readers() {
        assert_eq!(sim.rate(reader), 140);
    }
    let mut all = Sim::new(standard_fleet(Mode::AllVersions));
    publish_series(&mut all);
    all.run(RUN_END);
    let (taken, ..) = all.slowest(|_, _| true);
    println!("every host reads: {taken:?} {:?}", all.counts);
    assert!(
        taken.is_none_or(|taken| taken > IN_FORCE_LIMIT),
        "{taken:?}"
    );
    assert!(sim.counts.region_bytes * 4 < all.counts.region_bytes);
}

/// Guards against versions that are late while lost readers are replaced: the
/// readers of all data centres are killed at once, in runs that differ by 0.1 s
/// in the moment of the loss.
#[test]
fn a_lost_reader_is_replaced_in_time() {
    for delay in (0..1_600).step_by(100) {
        let mut sim = Sim::new(standard_fleet(Mode::Readers));
        publish_series(&mut sim);
        sim.run(SERIES_START + at(delay));
        for reader in sim.readers() {
            sim.kill(SERIES_START + at(delay + 1), reader);
        }
        sim.run(RUN_END);
        let (taken, version, host) = sim.slowest(|_, _| true);
        println!("{delay} ms: {taken:?} {version} {host}");
        assert!(
            taken.is_some_and(|taken| taken < IN_FORCE_LIMIT),
            "{taken:?}"
        );
    }
}

/// Guards against versions that are late in data centres whose readers the
/// store refuses.
#[test]
fn readers_refused_by_the_store_learn_from_other_readers() {
    let mut sim = Sim::new(standard_fleet(Mode::Readers));
    publish_series(&mut sim);
    sim.run(SERIES_START - at(500));
    let readers = sim.readers();
    for &reader in &readers[..4] {
        sim.refuse(SERIES_START, reader, true);
    }
    sim.run(RUN_END);
    let (taken, version, host) = sim.slowest(|_, _| true);
    println!("{taken:?} {version} {host} {:?}", sim.counts);
    assert!(
        taken.is_some_and(|taken| taken < IN_FORCE_LIMIT),
        "{taken:?}"
    );
}

/// Guards against a fleet that does not converge on its readers after most
/// daemons were killed and restarted at once.
#[test]
fn a_restarted_fleet_finds_its_readers() {
    let mut sim = Sim::new(standard_fleet(Mode::Readers));
    publish_series(&mut sim);
    for host in (0..79).filter(|host| host % 9 < 5) {
        sim.kill(SERIES_START + at(700), host);
        sim.start(SERIES_START + at(2_700), host);
    }
    sim.run(RUN_END);
    let back = SERIES_START + at(2_700);
    let (taken, version, host) = sim.slowest(|_, published| published > back);
    println!("{taken:?} {version} {host} {:?}", sim.store_readers());
    assert!(
        taken.is_some_and(|taken| taken < IN_FORCE_LIMIT),
        "{taken:?}"
    );
    let steady = |host: usize, _| host % 9 >= 5;
    let (taken, ..) = sim.slowest(steady);
    assert!(
        taken.is_some_and(|taken| taken < IN_FORCE_LIMIT),
        "{taken:?}"
    );
    assert_one_reader_in_each_centre(&sim);
}

/// Load pattern: the store is unavailable to all daemons. Guards against
/// followers that take the outage for a lost reader and all call the store, and
/// against versions that are late after the outage.
#[test]
fn an_outage_of_the_store_makes_few_readers() {
    let mut sim = Sim::new(standard_fleet(Mode::Readers));
    sim.run(SERIES_START);
    for host in 0..79 {
        sim.refuse(SERIES_START, host, true);
        sim.refuse(SERIES_START + at(8_000), host, false);
    }
    let calls = sim.counts.store_calls;
    let mut most = 0;
    for step in 0..80 {
        sim.run(SERIES_START + at(step * 100));
        most = most.max(sim.store_readers().len());
    }
    let calls = sim.counts.store_calls - calls;
    println!("{most} readers, {calls} calls");
    assert!(most <= 12, "{:?}", sim.store_readers());
    assert!(calls < 12 * 8 * 5, "{calls} calls");
    sim.publish(SERIES_START + at(8_001), 500);
    sim.run(RUN_END);
    let (taken, ..) = sim.slowest(|_, _| true);
    println!("{taken:?} after the return");
    assert!(
        taken.is_some_and(|taken| taken < IN_FORCE_LIMIT),
        "{taken:?}"
    );
}

/// Guards against store calls that grow with the number of hosts. The bytes
/// between regions are printed but not checked.
#[test]
fn the_store_is_read_as_often_for_1105_hosts() {
    let mut small = Sim::new(standard_fleet(Mode::Readers));
    let mut large = Sim::new(Settings {
        hosts: 1_105,
        ..standard_fleet(Mode::Readers)
    });
    for sim in [&mut small, &mut large] {
        sim.run(at(10_000));
        let before = sim.counts;
        publish_series(sim);
        sim.run(RUN_END);
        sim.counts.store_calls -= before.store_calls;
        sim.counts.region_bytes -= before.region_bytes;
        let (taken, version, host) = sim.slowest(|_, _| true);
        println!("{taken:?} {version} {host} {:?}", sim.counts);
        assert!(
            taken.is_some_and(|taken| taken < IN_FORCE_LIMIT),
            "{taken:?}"
        );
        assert_one_reader_in_each_centre(sim);
    }
    assert!(large.counts.store_calls < small.counts.store_calls * 2);
}

/// Maximum store calls per second of the whole fleet while nothing changes.
const MAX_IDLE_CALLS: f64 = 4.0;
/// Maximum store calls per second of the whole fleet during a fast series of
/// versions.
const MAX_SERIES_CALLS: f64 = 8.0;

/// Load pattern: an idle fleet, then six versions per second. Guards against
/// store calls that grow with the number of hosts or data centres, and against
/// knowledge that is older the farther a host is from the store.
#[test]
fn the_mesh_calls_the_store_like_one_daemon() {
    let sizes = [(12, 6), (79, 6), (295, 9), (1_105, 5)];
    for (hosts, centres) in sizes {
        let mut sim = Sim::new(Settings {
            hosts,
            centres,
            ..standard_fleet(Mode::Readers)
        });
        sim.run(at(6_000));
        let before = sim.counts.store_calls;
        let mut oldest = Duration::ZERO;
        for step in 0..80 {
            sim.run(at(6_000 + 100 * step));
            oldest = oldest.max(sim.oldest_age());
        }
        let rest = (sim.counts.store_calls - before) as f64 / 8.0;
        let before = sim.counts.store_calls;
        publish_series(&mut sim);
        sim.run(SERIES_START + VERSION_INTERVAL * SERIES_LEN as u32);
        let fast = (sim.counts.store_calls - before) as f64 / 5.1;
        println!("{hosts} hosts: {rest} and {fast} calls a second, {oldest:?} old");
        assert!(
            rest < MAX_IDLE_CALLS,
            "{hosts} hosts: {rest} calls a second"
        );
        assert!(
            fast < MAX_SERIES_CALLS,
            "{hosts} hosts: {fast} calls a second"
        );
        assert!(
            oldest < savorylane_distribution::age::STALE_AFTER,
            "{oldest:?}"
        );
    }
}

/// Load pattern: all daemons start within 0.3 s. Guards against daemons that
/// read the store because the host that they polled has no knowledge yet.
#[test]
fn a_start_of_all_makes_few_readers() {
    for (hosts, centres) in [(79, 6), (295, 9), (1_105, 5)] {
        let mut sim = Sim::new(Settings {
            hosts,
            centres,
            ..standard_fleet(Mode::Readers)
        });
        let mut most = 0;
        for step in 1..=60 {
            sim.run(at(50 * step));
            most = most.max(sim.readers().len());
        }
        println!("{hosts} hosts: {most} readers");
        // Per data centre, one reader on a slow link and one on a fast link
        // that replaces it.
        assert!(most <= 2 * centres, "{hosts} hosts: {most} readers");
        assert!(sim.oldest_age() < savorylane_distribution::age::STALE_AFTER);
    }
}

/// Guards against readers that keep relying on a primary that was killed or
/// that the store refuses.
#[test]
fn a_lost_primary_is_replaced_in_time() {
    for delay in (0..1_600).step_by(100) {
        for refused in [false, true] {
            let mut sim = Sim::new(standard_fleet(Mode::Readers));
            publish_series(&mut sim);
            sim.run(SERIES_START + at(delay));
            let primary = sim.store_readers()[0];
            match refused {
                true => sim.refuse(SERIES_START + at(delay + 1), primary, true),
                false => sim.kill(SERIES_START + at(delay + 1), primary),
            }
            sim.run(RUN_END);
            let (taken, version, host) = sim.slowest(|_, _| true);
            println!("{delay} ms, refused: {refused}: {taken:?} {version} {host}");
            assert!(
                taken.is_some_and(|taken| taken < IN_FORCE_LIMIT),
                "{taken:?}"
            );
        }
    }
}

/// Prints the figures of the design note, which compare the modes of
/// distribution.
#[test]
#[ignore = "prints a table; checks nothing"]
fn ways_of_distribution() {
    let modes = [
        Mode::AllVersions,
        Mode::AllNewest,
        Mode::ReadersWhole,
        Mode::Readers,
    ];
    for hosts in [79, 1_105] {
        for mode in modes {
            let mut sim = Sim::new(Settings {
                hosts,
                ..standard_fleet(mode)
            });
            sim.run(at(10_000));
            let before = sim.counts;
            publish_series(&mut sim);
            sim.run(RUN_END);
            let (taken, ..) = sim.slowest(|_, _| true);
            println!(
                "{hosts} {mode:?}: last host {taken:?}, {} store calls, {:.1} MB between regions, {} polls",
                sim.counts.store_calls - before.store_calls,
                (sim.counts.region_bytes - before.region_bytes) as f64 / 1e6,
                sim.counts.polls - before.polls,
            );
        }
    }
}
