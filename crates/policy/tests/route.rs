//! Tests of host selection: load, slow hosts, distance, failures and slow
//! start.

use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use savorylane_intent::document::Work as Length;
use savorylane_policy::route::{
    Candidate, Choice, Context, Distance, Estimate, Outcome, Policy, choose,
};
use savorylane_wire::{Incarnation, Load};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn load(running: u32, started_ms: u64) -> Load {
    Load {
        running,
        limit: 6,
        service_us: 10_000,
        incarnation: Incarnation {
            started_ms,
            nonce: 1,
        },
        ..Load::default()
    }
}

/// Hosts as one entry sees them. Times are in milliseconds.
struct Fleet {
    hosts: Vec<Estimate>,
    distance: Vec<Distance>,
    rng: ChaCha8Rng,
    turn: AtomicUsize,
    mean: Option<Duration>,
}

impl Fleet {
    /// Creates hosts of one data centre, each of which answered a request in
    /// 10 ms at time 10 s.
    fn new(hosts: usize) -> Self {
        let fleet = Self {
            hosts: (0..hosts).map(|_| Estimate::default()).collect(),
            distance: vec![Distance::DataCentre; hosts],
            rng: ChaCha8Rng::seed_from_u64(1),
            turn: AtomicUsize::new(0),
            mean: None,
        };
        for host in 0..hosts {
            fleet.hosts[host].mark_seen(ms(1));
            fleet.answer(host, 9_990, 10);
        }
        fleet
    }

    /// Records a request that was sent at `from` and that `host` answered after
    /// `took` milliseconds.
    fn answer(&self, host: usize, from: u64, took: u64) {
        let ticket = self.hosts[host].begin(ms(from), Length::Short);
        self.hosts[host].record_load(ms(from + took), &load(0, 1));
        self.hosts[host].end(ms(from + took), ticket, Outcome::Answered);
    }

    fn choose(&mut self, now: u64, policy: Policy, may_probe: bool) -> Option<Choice> {
        let candidates = self
            .hosts
            .iter()
            .zip(&self.distance)
            .map(|(estimate, distance)| Candidate {
                estimate,
                distance: *distance,
            })
            .collect::<Vec<_>>();
        let context = Context {
            policy,
            turn: &self.turn,
            length: Length::Short,
            may_probe,
            slack: ms(100),
            mean: self.mean,
        };
        choose(&context, ms(now), &mut self.rng, &candidates)
    }

    /// Returns how often each host is chosen at `now` without probes.
    fn shares(&mut self, now: u64) -> Vec<usize> {
        let mut counts = vec![0; self.hosts.len()];
        for _ in 0..1_000 {
            let choice = self.choose(now, Policy::Savorylane, false);
            counts[choice.expect("a host is chosen").index] += 1;
        }
        counts
    }
}

/// Guards against a slow host that receives requests until its next answer
/// shows that it is slow.
#[test]
fn avoids_a_host_with_an_overdue_unanswered_request() {
    let mut fleet = Fleet::new(6);
    let ticket = fleet.hosts[2].begin(ms(10_000), Length::Short);
    assert!(fleet.shares(10_040)[2] == 0);
    fleet.hosts[2].end(ms(10_100), ticket, Outcome::Answered);
}

/// Guards against slow hosts that are avoided for good, and against probes
/// that are too frequent or not hedged.
#[test]
fn probes_a_slow_host_and_returns_to_it_when_it_recovers() {
    let mut fleet = Fleet::new(6);
    for turn in 0..4 {
        fleet.answer(2, 10_000 + turn * 100, 100);
    }
    assert_eq!(fleet.shares(10_400)[2], 0);
    let (mut probes, mut now) = (0, 10_400);
    while fleet.shares(now)[2] == 0 {
        now += 1;
        let choice = fleet.choose(now, Policy::Savorylane, true);
        let choice = choice.expect("a host is chosen");
        if choice.index == 2 && choice.hedge.is_some() {
            assert_ne!(choice.hedge.map(|hedge| hedge.index), Some(2));
            probes += 1;
            fleet.answer(2, now, 10);
        }
        assert!(now < 12_000, "not back after {probes} probes");
    }
    assert!(probes <= (now - 10_400) / 100 + 1, "{probes} probes");
}

/// Guards against a host that was slow once and is avoided for good by a
/// service that cannot probe it, because its requests must not run twice.
#[test]
fn returns_to_a_slow_host_without_probes_once_its_latency_is_stale() {
    let mut fleet = Fleet::new(6);
    for turn in 0..4 {
        fleet.answer(2, 10_000 + turn * 100, 100);
    }
    assert_eq!(fleet.shares(10_900)[2], 0);
    assert!(fleet.shares(11_500)[2] > 100);
    let ticket = fleet.hosts[2].begin(ms(11_500), Length::Short);
    assert_eq!(fleet.shares(11_550)[2], 0, "still slow");
    fleet.hosts[2].end(ms(11_600), ticket, Outcome::Answered);
    assert_eq!(fleet.shares(11_600)[2], 0);
}

/// Guards against all entries choosing the same host at the same time.
#[test]
fn spreads_ties_at_random_and_follows_outstanding_requests() {
    let mut fleet = Fleet::new(6);
    let shares = fleet.shares(10_001);
    assert!(shares.iter().all(|share| *share > 100), "{shares:?}");
    for _ in 0..6 {
        let choice = fleet.choose(10_001, Policy::Savorylane, false);
        let host = choice.expect("a host is chosen").index;
        let _ticket = fleet.hosts[host].begin(ms(10_001), Length::Short);
    }
    assert!(fleet.hosts.iter().all(|host| host.in_flight() == 1));
}

/// Guards against paid links that carry requests which a near host could
/// serve, and against near hosts that are preferred while overloaded.
#[test]
fn stays_near_and_spills_by_cost() {
    let mut fleet = Fleet::new(3);
    fleet.distance = vec![Distance::Host, Distance::Region, Distance::Far];
    fleet.hosts[0].record_load(ms(10_000), &load(5, 1));
    assert_eq!(fleet.shares(10_000), [1_000, 0, 0]);
    fleet.hosts[0].record_load(ms(10_000), &load(12, 1));
    assert_eq!(fleet.shares(10_000), [0, 1_000, 0]);
    fleet.hosts[1].record_load(ms(10_000), &load(60, 1));
    fleet.hosts[0].record_load(ms(10_000), &load(60, 1));
    assert_eq!(fleet.shares(10_000), [0, 0, 1_000]);
}

/// Guards against requests to hosts that are leaving, and against repeated
/// requests to a host right after its connection failed.
#[test]
fn skips_leaving_and_failing_hosts() {
    for policy in [
        Policy::LeastOutstanding,
        Policy::Random,
        Policy::RoundRobin,
        Policy::Savorylane,
    ] {
        let mut fleet = Fleet::new(3);
        let leaving = Load {
            leaving: true,
            ..load(0, 1)
        };
        fleet.hosts[0].record_load(ms(10_000), &leaving);
        let ticket = fleet.hosts[1].begin(ms(10_000), Length::Short);
        fleet.hosts[1].end(ms(10_001), ticket, Outcome::Failed);
        for _ in 0..50 {
            let choice = fleet.choose(10_002, policy, true);
            assert_eq!(choice.map(|choice| choice.index), Some(2));
        }
        fleet.hosts[1].record_load(ms(10_002), &leaving);
        fleet.hosts[2].record_load(ms(10_002), &leaving);
        assert_eq!(fleet.choose(10_003, policy, true), None);
    }
}

/// Guards against a host that is avoided for good because it reported that it
/// is leaving: its daemon was replaced since, and no request showed that. Also
/// guards against a burst of requests while that is not known.
#[test]
fn returns_to_a_host_whose_report_that_it_leaves_is_old() {
    let mut fleet = Fleet::new(3);
    let leaving = Load {
        leaving: true,
        ..load(0, 1)
    };
    fleet.hosts[0].record_load(ms(10_000), &leaving);
    assert_eq!(fleet.shares(10_900)[0], 0, "the report is recent");
    let mut now = 11_000;
    while fleet.choose(now, Policy::Savorylane, false).unwrap().index != 0 {
        now += 1;
        assert!(now < 11_100, "the host is avoided for good");
    }
    let ticket = fleet.hosts[0].begin(ms(now), Length::Short);
    assert_eq!(fleet.shares(now + 1_500)[0], 0, "its answer is not known");
    fleet.hosts[0].record_load(ms(now + 1_500), &load(0, 2));
    fleet.hosts[0].end(ms(now + 1_500), ticket, Outcome::Answered);
    assert!(fleet.shares(now + 6_500)[0] > 200);
}

/// Guards against a service that is refused as a whole because all of its hosts
/// reported that they are leaving, as in a rolling restart of their daemons,
/// and against more than one request at a time that finds out.
#[test]
fn probes_a_leaving_host_if_there_is_no_other() {
    let mut fleet = Fleet::new(3);
    let leaving = Load {
        leaving: true,
        ..load(0, 1)
    };
    for host in [1, 0, 2] {
        let at = 10_000 + 10 * host as u64;
        fleet.hosts[host].record_load(ms(at), &leaving);
    }
    assert_eq!(fleet.choose(10_050, Policy::Savorylane, true), None);
    let chosen: Vec<Option<usize>> = (0..5)
        .map(|_| fleet.choose(10_200, Policy::Savorylane, true))
        .map(|choice| choice.map(|choice| choice.index))
        .collect();
    assert_eq!(chosen, [Some(0), Some(1), Some(2), None, None]);
    let ticket = fleet.hosts[1].begin(ms(10_200), Length::Short);
    fleet.hosts[1].record_load(ms(10_220), &load(0, 2));
    fleet.hosts[1].end(ms(10_220), ticket, Outcome::Answered);
    assert_eq!(fleet.shares(10_220), [0, 1_000, 0]);
}

/// Guards against a burst at a host that has just restarted, and against late
/// reports of its earlier incarnation.
#[test]
fn a_restarted_host_starts_slowly() {
    let mut fleet = Fleet::new(4);
    let leaving = Load {
        leaving: true,
        ..load(0, 1)
    };
    fleet.hosts[3].record_load(ms(10_000), &leaving);
    fleet.hosts[3].record_load(ms(10_010), &load(0, 2));
    fleet.hosts[3].record_load(ms(10_020), &leaving);
    assert!(
        !fleet.hosts[3].leaving(),
        "the report of the earlier incarnation is ignored"
    );
    let early = fleet.shares(10_100)[3];
    let later = fleet.shares(12_500)[3];
    let full = fleet.shares(15_100)[3];
    assert!(early > 0 && early < 50, "early {early}");
    assert!(early < later && later < full, "{early} {later} {full}");
    assert!((200..300).contains(&full), "full {full}");
}

/// Answers of one class at two hosts of a service that also serves long work:
/// the near host got both, the far one only calls.
fn answer_class(fleet: &Fleet, host: usize, from: u64, took: u64, mean: u64) {
    let round_trip = fleet.distance[host].round_trip();
    let ticket = fleet.hosts[host]
        .begin(ms(from), Length::Short)
        .with_mean(Some(ms(mean)), round_trip);
    fleet.hosts[host].record_load(ms(from + took), &load(0, 1));
    fleet.hosts[host].end(ms(from + took), ticket, Outcome::Answered);
}

/// Guards against calls that leave their data centre because its host also
/// serves longer work, which makes it look slow: calls of 20 ms beside orders
/// of 150 ms.
#[test]
fn calls_stay_near_a_host_that_serves_longer_work_as_well() {
    let mut fleet = Fleet::new(2);
    fleet.distance = vec![Distance::DataCentre, Distance::Region];
    for number in 0..20 {
        let at = 10_000 + number * 10;
        answer_class(&fleet, 0, at, 150, 150);
        answer_class(&fleet, 0, at, 20, 20);
        answer_class(&fleet, 1, at, 23, 20);
    }
    fleet.mean = Some(ms(20));
    assert_eq!(fleet.shares(10_400), [1_000, 0]);
}

/// Guards against a host that is slow for all classes and is taken for one that
/// serves longer work.
#[test]
fn calls_leave_a_host_that_is_slow_for_every_class() {
    let mut fleet = Fleet::new(3);
    for number in 0..20 {
        let at = 10_000 + number * 10;
        answer_class(&fleet, 0, at, 200, 20);
        answer_class(&fleet, 1, at, 20, 20);
        answer_class(&fleet, 2, at, 150, 150);
    }
    fleet.mean = Some(ms(20));
    assert_eq!(fleet.shares(10_400)[0], 0);
}

/// Guards against spill-over that gains callers nothing: bytes between data
/// centres are paid, and both answers would be in time.
#[test]
fn a_request_that_is_comfortably_in_time_stays_near() {
    let mut fleet = Fleet::new(2);
    fleet.distance = vec![Distance::DataCentre, Distance::Region];
    // The target is 100 ms away. With two waiting requests of 10 ms on six slots
    // the near host answers in less than half of that.
    fleet.hosts[0].record_load(ms(10_000), &load(8, 1));
    assert_eq!(fleet.shares(10_000), [1_000, 0]);
    fleet.hosts[0].record_load(ms(10_000), &load(12, 1));
    assert_eq!(fleet.shares(10_000), [0, 1_000]);
}

/// Guards against spill-over that opens a connection to another far host for
/// each request.
#[test]
fn spill_over_stays_on_a_far_host_with_an_open_connection() {
    let mut fleet = Fleet::new(4);
    fleet.distance = vec![
        Distance::DataCentre,
        Distance::Far,
        Distance::Far,
        Distance::Far,
    ];
    fleet.mean = Some(ms(10));
    answer_class(&fleet, 0, 10_000, 10, 10);
    for host in 1..4 {
        answer_class(&fleet, host, 10_000, 50, 10);
    }
    answer_class(&fleet, 2, 11_900, 50, 10);
    fleet.hosts[0].record_load(ms(12_000), &load(90, 1));
    assert_eq!(fleet.shares(12_000), [0, 0, 1_000, 0]);
    // After the connection has closed, all far hosts are equal again.
    fleet.hosts[0].record_load(ms(14_000), &load(90, 1));
    let shares = fleet.shares(14_000);
    assert!(shares[1] > 0 && shares[3] > 0, "{shares:?}");
}
