//! Simulation of hosts, entries and arriving requests in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use savorylane_intent::document::Work as Length;
use savorylane_policy::gate::{
    Action, Decision, Gate, Outcome as GateOutcome, Request as GateRequest,
};
use savorylane_policy::retry::{self, Budget, Latency};
use savorylane_policy::route::{
    self, Candidate, Context, Distance, Estimate, Outcome, Policy, Ticket,
};
use savorylane_wire::{Load, Verdict};

use crate::scenario::{Scenario, Summary};
use crate::slow::{service_end, slow_periods};

const HOSTS: usize = 6;
const SLOTS: usize = 6;
/// Mean service time of short work.
const SERVICE_S: f64 = 0.010;
/// Ratio of the mean service time of long work to that of short work.
const LONG_SERVICE_RATIO: f64 = 100.0;
/// Short requests per second that all hosts together can serve.
const CAPACITY_PER_S: f64 = (HOSTS * SLOTS) as f64 / SERVICE_S;
const TIMEOUT: Duration = Duration::from_secs(1);
const LONG_TIMEOUT: Duration = Duration::from_secs(30);
/// Latency target of short work.
const TARGET: Duration = Duration::from_millis(100);

/// Event of the simulation. Numbers identify attempts, requests or hosts.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// A request arrives at an entry; `true` for long work.
    Arrive(bool),
    /// An attempt reaches the gate of its host.
    Reach(usize),
    Served(usize),
    Cancel(usize),
    /// The reply to an attempt reaches the entry; `true` if the attempt ran.
    Answer(usize, bool),
    /// The hedge of a request is due; a probe names its host.
    Hedge(usize, Option<usize>),
    Wake(usize),
}

struct Request {
    entry: usize,
    arrived: Duration,
    deadline: Duration,
    length: Length,
    shed_order: u8,
    /// Attempts that the entry waits for.
    open_attempts: u32,
    attempts: u32,
    done: bool,
}

struct Attempt {
    request: usize,
    host: usize,
    /// `None` once the entry no longer waits for the attempt.
    ticket: Option<Ticket>,
    load: Load,
    probe: bool,
    /// Whether the attempt is running or queued at its host.
    at_gate: bool,
}

struct Entry {
    estimates: Vec<Estimate>,
    turn: AtomicUsize,
    retry: Budget,
    hedge: Budget,
    latency: Latency,
}

struct Host {
    gate: Gate,
    /// Start and end of the periods in which the host is slowed, in seconds.
    slow_periods: Vec<(f64, f64)>,
    /// Time of the next scheduled [`Event::Wake`], else the maximum.
    wake_at: Duration,
}

/// State of one simulation run.
pub(crate) struct World<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    rng: ChaCha8Rng,
    now: Duration,
    sequence: u64,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    hosts: Vec<Host>,
    entries: Vec<Entry>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    summary: Summary,
}

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}

impl<'a> World<'a> {
    pub(crate) fn new(scenario: &'a Scenario, policy: Policy, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let hosts = (0..HOSTS)
            .map(|host| Host {
                gate: Gate::new(SLOTS),
                slow_periods: slow_periods(&mut rng, scenario.slowed && host % 3 == 0),
                wake_at: Duration::MAX,
            })
            .collect();
        let entries = (0..HOSTS)
            .map(|_| Entry {
                estimates: (0..HOSTS).map(|_| Estimate::default()).collect(),
                turn: AtomicUsize::new(0),
                retry: Budget::retry(&Default::default()),
                hedge: Budget::hedge(&Default::default()),
                latency: Latency::new(),
            })
            .collect();
        Self {
            scenario,
            policy,
            rng,
            now: Duration::ZERO,
            sequence: 0,
            events: BinaryHeap::new(),
            hosts,
            entries,
            requests: Vec::new(),
            attempts: Vec::new(),
            summary: Summary::default(),
        }
    }

    pub(crate) fn run(mut self) -> Summary {
        self.schedule(Duration::ZERO, Event::Arrive(false));
        if self.scenario.long_share > 0.0 {
            self.schedule(Duration::ZERO, Event::Arrive(true));
        }
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time;
            match event {
                Event::Arrive(long) => self.arrive(long),
                Event::Reach(attempt) => self.arrive_at_host(attempt),
                Event::Served(attempt) => self.finish_at_host(attempt, GateOutcome::Answered),
                Event::Cancel(attempt) => self.finish_at_host(attempt, GateOutcome::Cancelled),
                Event::Answer(attempt, ran) => self.answer(attempt, ran),
                Event::Hedge(request, host) => self.hedge(request, host),
                Event::Wake(host) => self.run_actions(host),
            }
        }
        let (from, to) = self.scenario.goodput_window;
        let summary = &mut self.summary;
        summary.goodput = summary.answered_in_window as f64 / (CAPACITY_PER_S * (to - from));
        let share = |(good, offered): (u64, u64)| good as f64 / (offered as f64).max(1.0);
        summary.goodput_shed_last = share(summary.by_shed_order[0]);
        summary.goodput_shed_first = share(summary.by_shed_order[1]);
        self.summary
    }

    fn schedule(&mut self, time: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    fn distance(&self, entry: usize, host: usize) -> Distance {
        match (entry == host, self.scenario.regions) {
            (true, _) => Distance::Host,
            (false, false) => Distance::DataCentre,
            (false, true) if entry / 2 == host / 2 => Distance::Region,
            (false, true) => Distance::Far,
        }
    }

    fn arrive(&mut self, long: bool) {
        let time = self.now.as_secs_f64();
        if time >= self.scenario.duration_s {
            return;
        }
        let rate = if long {
            self.scenario.long_share * CAPACITY_PER_S / LONG_SERVICE_RATIO
        } else {
            (self.scenario.load)(time) * CAPACITY_PER_S
        };
        let gap = self.exponential(1.0 / rate);
        self.schedule(self.now + seconds(gap), Event::Arrive(long));
        let (length, timeout) = if long {
            (Length::Long, LONG_TIMEOUT)
        } else {
            (Length::Short, TIMEOUT)
        };
        let shed_order = u8::from(self.rng.random::<f64>() < 0.7);
        let entry = self.rng.random_range(0..HOSTS);
        self.requests.push(Request {
            entry,
            arrived: self.now,
            deadline: self.now + timeout,
            length,
            shed_order,
            open_attempts: 0,
            attempts: 0,
            done: false,
        });
        if !long {
            self.summary.offered += 1;
            if self.in_goodput_window() {
                self.summary.by_shed_order[usize::from(shed_order)].1 += 1;
            }
        }
        self.entries[entry].retry.record_first_attempt();
        self.entries[entry].hedge.record_first_attempt();
        self.send(self.requests.len() - 1, None, &[]);
    }

    fn slowed_at(&self, time: Duration) -> usize {
        let time = time.as_secs_f64();
        let slow = |host: &&Host| {
            host.slow_periods
                .iter()
                .any(|(from, to)| (*from..*to).contains(&time))
        };
        self.hosts.iter().filter(slow).count()
    }

    fn in_goodput_window(&self) -> bool {
        let (from, to) = self.scenario.goodput_window;
        (from..to).contains(&self.now.as_secs_f64())
    }

    /// Sends a request to `host`, or to the host that the policy chooses among
    /// those not in `excluded`.
    fn send(&mut self, request: usize, host: Option<usize>, excluded: &[usize]) {
        let (entry, length) = (self.requests[request].entry, self.requests[request].length);
        let first = host.is_none() && excluded.is_empty();
        let hedges_by_latency = self.policy == Policy::Savorylane;
        let hosts = (0..HOSTS)
            .filter(|host| !excluded.contains(host))
            .collect::<Vec<_>>();
        let distances = hosts
            .iter()
            .map(|host| self.distance(entry, *host))
            .collect::<Vec<_>>();
        let entry_state = &self.entries[entry];
        let choice = route::choose(
            &Context {
                policy: self.policy,
                turn: &entry_state.turn,
                length,
                may_probe: first && retry::may_hedge(true, length) && entry_state.hedge.available(),
                slack: (self.requests[request].arrived + TARGET).saturating_sub(self.now),
                mean: None,
            },
            self.now,
            &mut self.rng,
            &hosts
                .iter()
                .zip(&distances)
                .map(|(host, distance)| Candidate {
                    estimate: &entry_state.estimates[*host],
                    distance: *distance,
                })
                .collect::<Vec<_>>(),
        );
        let Some(choice) = choice else { return };
        let hedged = !excluded.is_empty() && self.requests[request].open_attempts > 0;
        if hedged && !entry_state.hedge.try_spend() {
            return;
        }
        self.summary.hedges += u64::from(hedged);
        let target = host.unwrap_or(hosts[choice.index]);
        let ticket = entry_state.estimates[target].begin(self.now, length);
        let probe = choice.hedge.filter(|_| host.is_none());
        if let Some(hedge) = probe {
            let event = Event::Hedge(request, Some(hosts[hedge.index]));
            self.schedule(self.now + hedge.after, event);
        } else if first
            && hedges_by_latency
            && retry::may_hedge(true, length)
            && let Some(after) = self.entries[entry].latency.hedge_delay()
        {
            self.schedule(self.now + after, Event::Hedge(request, None));
        }
        self.requests[request].open_attempts += 1;
        self.requests[request].attempts += 1;
        self.attempts.push(Attempt {
            request,
            host: target,
            ticket: Some(ticket),
            load: Load::default(),
            probe: probe.is_some(),
            at_gate: false,
        });
        let one_way = self.distance(entry, target).round_trip() / 2;
        self.schedule(self.now + one_way, Event::Reach(self.attempts.len() - 1));
    }

    /// Hedges a request if one attempt is open and none was answered.
    fn hedge(&mut self, request: usize, host: Option<usize>) {
        let state = &self.requests[request];
        if state.done || state.open_attempts != 1 {
            return;
        }
        let used = self
            .attempts
            .iter()
            .rev()
            .find(|attempt| attempt.request == request)
            .map_or(0, |attempt| attempt.host);
        self.send(request, host, &[used]);
    }

    fn arrive_at_host(&mut self, attempt: usize) {
        let request = &self.requests[self.attempts[attempt].request];
        let gate_request = GateRequest {
            id: attempt as u64,
            class: u64::from(request.shed_order) + 10 * u64::from(request.length == Length::Long),
            length: request.length,
            shed_order: request.shed_order,
            deadline: request.deadline,
            target: request.arrived
                + if request.length == Length::Long {
                    LONG_TIMEOUT
                } else {
                    TARGET
                },
            caller: (attempt % 20) as u64,
            exclusive: false,
            late: false,
            stranger: false,
        };
        let host = self.attempts[attempt].host;
        self.attempts[attempt].at_gate = true;
        match self.hosts[host].gate.arrive(self.now, gate_request) {
            Decision::Run => self.start(attempt),
            Decision::Wait => {}
            Decision::Refuse(_) => self.reply(attempt, false),
        }
        self.run_actions(host);
    }

    fn start(&mut self, attempt: usize) {
        let request = &self.requests[self.attempts[attempt].request];
        let (deadline, length) = (request.deadline, request.length);
        let unit = if length == Length::Long {
            LONG_SERVICE_RATIO
        } else {
            1.0
        };
        let work = unit * (0.5 * SERVICE_S + self.exponential(0.5 * SERVICE_S));
        let slow = &self.hosts[self.attempts[attempt].host].slow_periods;
        let end = seconds(service_end(slow, self.now.as_secs_f64(), work));
        if end > deadline {
            self.schedule(deadline, Event::Cancel(attempt));
        } else {
            self.schedule(end, Event::Served(attempt));
        }
    }

    /// Ends an attempt at the gate of its host, unless it ended there before.
    fn finish_at_host(&mut self, attempt: usize, outcome: GateOutcome) {
        if !self.attempts[attempt].at_gate {
            return;
        }
        let host = self.attempts[attempt].host;
        self.hosts[host]
            .gate
            .finish(self.now, attempt as u64, outcome);
        self.reply(attempt, outcome == GateOutcome::Answered);
        self.run_actions(host);
    }

    fn reply(&mut self, attempt: usize, ran: bool) {
        let (host, request) = (self.attempts[attempt].host, self.attempts[attempt].request);
        self.attempts[attempt].at_gate = false;
        self.attempts[attempt].load = self.hosts[host].gate.load();
        let one_way = self
            .distance(self.requests[request].entry, host)
            .round_trip()
            / 2;
        self.schedule(self.now + one_way, Event::Answer(attempt, ran));
    }

    /// Runs the due actions of a host's gate and schedules its timer.
    fn run_actions(&mut self, host: usize) {
        if self.hosts[host].wake_at <= self.now {
            self.hosts[host].wake_at = Duration::MAX;
        }
        while let Some(action) = self.hosts[host].gate.next_action(self.now) {
            match action {
                Action::Start(id) => self.start(id as usize),
                Action::Refuse(id, _) => self.reply(id as usize, false),
            }
        }
        if let Some(wake) = self.hosts[host].gate.wake_at()
            && wake < self.hosts[host].wake_at
        {
            self.hosts[host].wake_at = wake;
            self.schedule(wake, Event::Wake(host));
        }
    }

    /// Handles a reply at the entry; retries a refused request.
    fn answer(&mut self, attempt: usize, ran: bool) {
        let Attempt { request, host, .. } = self.attempts[attempt];
        let Some(ticket) = self.attempts[attempt].ticket.take() else {
            return;
        };
        let entry = &mut self.entries[self.requests[request].entry];
        let outcome = if ran {
            Outcome::Answered
        } else {
            Outcome::Refused
        };
        entry.estimates[host].record_load(self.now, &self.attempts[attempt].load);
        entry.estimates[host].end(self.now, ticket, outcome);
        self.requests[request].open_attempts -= 1;
        let took = self.now - self.requests[request].arrived;
        let state = &self.requests[request];
        if state.done {
            return;
        }
        if !ran {
            let again = state.attempts < retry::MAX_ATTEMPTS
                && retry::may_retry(true, Verdict::NotRun)
                && self.now < state.deadline
                && state.open_attempts == 0
                && entry.retry.try_spend();
            if again {
                self.summary.retries += 1;
                self.send(request, None, &[host]);
            } else if state.open_attempts == 0 {
                self.requests[request].done = true;
                self.summary.failed += 1;
                if self.requests[request].length == Length::Short {
                    let slowed = self.slowed_at(self.requests[request].arrived);
                    let timeout = TIMEOUT.as_micros() as u64;
                    self.summary.all_us_by_slowed[slowed].push(timeout);
                }
                self.summary.refused_us.push(took.as_micros() as u64);
            }
            return;
        }
        self.requests[request].done = true;
        if self.requests[request].length == Length::Long {
            self.summary.long_answered += 1;
            return;
        }
        entry.latency.record(self.now, took);
        self.summary.short_us.push(took.as_micros() as u64);
        let slowed = self.slowed_at(self.requests[request].arrived);
        self.summary.all_us_by_slowed[slowed].push(took.as_micros() as u64);
        if self.in_goodput_window() {
            self.summary.answered_in_window += 1;
            self.summary.by_shed_order[usize::from(self.requests[request].shed_order)].0 += 1;
        }
        let (_, end) = self.scenario.goodput_window;
        let after = self.now.as_secs_f64() - end;
        if after > 0.0 && took > TARGET {
            self.summary.recovery_s = self.summary.recovery_s.max(after);
        }
        self.cancel_others(request, attempt);
    }

    /// Cancels the other attempts of an answered request, except probes.
    fn cancel_others(&mut self, request: usize, winner: usize) {
        if self.requests[request].open_attempts == 0 {
            return;
        }
        let losers = (0..self.attempts.len())
            .rev()
            .take(20_000)
            .filter(|other| *other != winner && self.attempts[*other].request == request)
            .collect::<Vec<_>>();
        for loser in losers {
            let attempt = &mut self.attempts[loser];
            if attempt.probe {
                continue;
            }
            let Some(ticket) = attempt.ticket.take() else {
                continue;
            };
            let (host, entry) = (attempt.host, self.requests[request].entry);
            self.entries[entry].estimates[host].end(self.now, ticket, Outcome::Cancelled);
            self.requests[request].open_attempts -= 1;
            let one_way = self.distance(entry, host).round_trip() / 2;
            self.schedule(self.now + one_way, Event::Cancel(loser));
        }
    }
}
