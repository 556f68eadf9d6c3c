//! Entries that share out requests among many cold upstreams and few warm ones.

use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use savorylane_intent::document::Work;
use savorylane_policy::cold::Limits;
use savorylane_policy::gate::{Action, Decision, Gate, Outcome, Request};
use savorylane_policy::route::{self, Candidate, Context, Distance, Estimate, Policy};

/// Number of requests a second that a cold upstream tolerates.
const RATE: usize = 11;
const LIMITS: Limits = Limits {
    duration: COLD_START,
    requests_per_s: RATE,
    may_ask: true,
};
const COLD_START: Duration = Duration::from_secs(4);
const SLOTS: usize = 6;
const SERVICE: Duration = Duration::from_millis(100);
/// Number of requests a second that a warm upstream can serve.
const CAPACITY: usize = 60;
const HOSTS: usize = 6;
const ENTRIES: usize = 8;
/// Maximum number of hosts that are tried for a request.
const MAX_ATTEMPTS: usize = 4;
/// Number of queued requests that a warm upstream serves within the target.
const MAX_QUEUED: usize = SLOTS * 3;
/// Time until the target of a request, and its deadline.
const TARGET: Duration = Duration::from_millis(400);
const DEADLINE: Duration = Duration::from_millis(1_000);

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// A request at a host: its number, the entry that sent it and its arrival.
struct Sent {
    id: u64,
    entry: usize,
    ticket: route::Ticket,
    arrived: Duration,
    end: Option<Duration>,
}

struct Host {
    gate: Gate,
    sent: Vec<Sent>,
    starts: Vec<Duration>,
    /// Longest time from the arrival to the end of a served request.
    longest: Duration,
    most_queued: u32,
}

/// Hosts, and the estimates of each entry.
struct Fleet {
    hosts: Vec<Host>,
    /// Number of hosts in the data centre of the entries. The others are in
    /// another region.
    near: usize,
    estimates: Vec<Vec<Estimate>>,
    rng: ChaCha8Rng,
    turn: AtomicUsize,
    next_id: u64,
    served: Vec<Duration>,
    refused: usize,
}

impl Fleet {
    /// Returns a fleet of `cold` cold hosts and warm ones, which all entries
    /// have known for long.
    fn new(cold: usize, seed: u64) -> Self {
        let hosts = (0..HOSTS).map(|host| {
            let mut gate = Gate::with_prior(SLOTS, 0.25);
            gate.cold_mut().set_limits(ms(0), Some(LIMITS));
            let left = if host < cold {
                COLD_START
            } else {
                Duration::ZERO
            };
            gate.cold_mut().on_report(ms(0), Some(left));
            Host {
                gate,
                sent: Vec::new(),
                starts: Vec::new(),
                longest: Duration::ZERO,
                most_queued: 0,
            }
        });
        let estimates = (0..ENTRIES).map(|_| (0..HOSTS).map(|_| Estimate::default()).collect());
        Self {
            hosts: hosts.collect(),
            near: HOSTS,
            estimates: estimates.collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            turn: AtomicUsize::new(0),
            next_id: 0,
            served: Vec::new(),
            refused: 0,
        }
    }

    /// Sends a request of an entry to hosts until one admits it.
    fn send(&mut self, now: Duration, entry: usize) {
        let mut tried = Vec::new();
        while tried.len() < MAX_ATTEMPTS {
            // As entries do after a refusal, tries near hosts only.
            let hosts = if tried.is_empty() { HOSTS } else { self.near };
            let untried: Vec<usize> = (0..hosts).filter(|host| !tried.contains(host)).collect();
            let candidates: Vec<Candidate<'_>> = untried
                .iter()
                .map(|host| Candidate {
                    estimate: &self.estimates[entry][*host],
                    distance: match *host < self.near {
                        true => Distance::DataCentre,
                        false => Distance::Far,
                    },
                })
                .collect();
            let context = Context {
                policy: Policy::Savorylane,
                turn: &self.turn,
                length: Work::Short,
                may_probe: false,
                slack: TARGET,
                mean: None,
            };
            let Some(choice) = route::choose(&context, now, &mut self.rng, &candidates) else {
                break;
            };
            let host = untried[choice.index];
            tried.push(host);
            if self.offer(now, entry, host) {
                return;
            }
        }
        self.refused += 1;
    }

    /// Offers a request to a host. Returns whether it was admitted.
    fn offer(&mut self, now: Duration, entry: usize, index: usize) -> bool {
        self.next_id += 1;
        let id = self.next_id;
        let estimate = &self.estimates[entry][index];
        let ticket = estimate.begin(now, Work::Short);
        let host = &mut self.hosts[index];
        let request = Request {
            id,
            class: 1,
            length: Work::Short,
            shed_order: 0,
            deadline: now + DEADLINE,
            target: now + TARGET,
            caller: id,
            exclusive: false,
            late: false,
            stranger: false,
        };
        let decision = host.gate.arrive(now, request);
        if matches!(decision, Decision::Refuse(_)) {
            estimate.end(now, ticket, route::Outcome::Refused);
            estimate.record_load(now, &host.gate.load());
            return false;
        }
        let end = (decision == Decision::Run).then(|| now + SERVICE);
        host.starts.extend(end.map(|_| now));
        host.sent.push(Sent {
            id,
            entry,
            ticket,
            arrived: now,
            end,
        });
        host.most_queued = host.most_queued.max(host.gate.load().queued);
        true
    }

    /// Ends requests and performs the actions of the gates that are due.
    fn act(&mut self, now: Duration) {
        for (index, host) in self.hosts.iter_mut().enumerate() {
            let (ended, sent) = std::mem::take(&mut host.sent)
                .into_iter()
                .partition(|sent| sent.end.is_some_and(|end| end <= now));
            host.sent = sent;
            let ended: Vec<Sent> = ended;
            for sent in ended {
                host.gate.finish(now, sent.id, Outcome::Answered);
                let estimate = &self.estimates[sent.entry][index];
                estimate.end(now, sent.ticket, route::Outcome::Answered);
                estimate.record_load(now, &host.gate.load());
                host.longest = host.longest.max(now - sent.arrived);
                self.served.push(now);
            }
            while let Some(action) = host.gate.next_action(now) {
                match action {
                    Action::Start(id) => {
                        let started = host.sent.iter_mut().find(|sent| sent.id == id).unwrap();
                        started.end = Some(now + SERVICE);
                        host.starts.push(now);
                    }
                    Action::Refuse(id, _) => {
                        let at = host.sent.iter().position(|sent| sent.id == id).unwrap();
                        let sent = host.sent.swap_remove(at);
                        let estimate = &self.estimates[sent.entry][index];
                        estimate.end(now, sent.ticket, route::Outcome::Refused);
                        estimate.record_load(now, &host.gate.load());
                        self.refused += 1;
                    }
                }
            }
        }
    }

    /// Sends `per_s` requests a second, by the entries in turn, between two
    /// times in milliseconds.
    fn run(&mut self, from: u64, to: u64, per_s: u64) {
        let mut sent = 0;
        for now in from..to {
            self.act(ms(now));
            while sent * 1_000 < (now - from + 1) * per_s {
                self.send(ms(now), sent as usize % ENTRIES);
                sent += 1;
            }
        }
    }
}

fn count(times: &[Duration], from: u64, to: u64) -> usize {
    let inside = |at: &&Duration| (ms(from)..ms(to)).contains(*at);
    times.iter().filter(inside).count()
}

/// Guards against the return of a data centre whose cold upstreams crash under
/// the first rush, get nothing because entries avoid them, or leave so much to
/// the few warm ones that those answer late.
#[test]
fn many_cold_upstreams_share_the_load_with_few_warm_ones() {
    let cold = HOSTS - 1;
    for seed in 0..5 {
        let mut fleet = Fleet::new(cold, seed);
        let offered = (HOSTS * CAPACITY) as u64 * 7 / 10;
        fleet.run(0, 8_000, offered);
        for host in &fleet.hosts[..cold] {
            for second in (0..3_000).step_by(50) {
                let started = count(&host.starts, second, second + 1_000);
                assert!(started <= RATE, "{started} started within a second");
            }
            let started = count(&host.starts, 1_000, 4_000);
            assert!(started >= 3 * RATE / 2, "{started} started while cold");
            // The share grows to the full one soon after the cold start.
            let started = count(&host.starts, 6_000, 7_000);
            assert!(started >= CAPACITY / 3, "{started} started once warm");
        }
        let warm = &fleet.hosts[cold];
        let started = count(&warm.starts, 1_000, 4_000);
        assert!(
            started >= 3 * CAPACITY * 9 / 10,
            "{started} started at the warm host"
        );
        assert!(
            warm.longest <= TARGET,
            "the slowest answer took {:?}",
            warm.longest
        );
        assert!(
            warm.most_queued as usize <= MAX_QUEUED,
            "{} queued",
            warm.most_queued
        );
        let served = count(&fleet.served, 7_000, 8_000);
        assert!(
            served as u64 >= offered * 9 / 10,
            "{served} served once all are warm"
        );
    }
}

/// Guards against requests that are refused by the cold upstreams of their own
/// data centre one after the other while warm ones elsewhere have room.
#[test]
fn requests_leave_a_data_centre_whose_upstreams_are_all_cold() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(HOSTS / 2, seed);
        fleet.near = HOSTS / 2;
        // The warm half alone has room for all of it.
        let offered = CAPACITY as u64 * 3 / 2;
        fleet.run(0, 4_000, offered);
        // An entry learns from one refusal of each host that it is cold.
        let learned = ENTRIES * fleet.near;
        assert!(fleet.refused <= learned, "{} refused", fleet.refused);
    }
}
