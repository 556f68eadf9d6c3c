//! Simulation of a fleet: the views of all hosts exchange messages in virtual
//! time.
#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses a part of the simulation"
)]

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use savorylane_intent::hosts::{Host, List, State as ListState};
use savorylane_membership::view::{ANSWER_TIMEOUT, PROBE_TIMEOUT, TICK_INTERVAL};
use savorylane_membership::{Action, Purpose, Token, View};
use savorylane_wire::Incarnation;
use savorylane_wire::control::{Heartbeat, State};

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn host(centre: usize, number: usize) -> Host {
    let address: SocketAddr = ([127, 0, 0, 1], 1).into();
    Host {
        name: format!("dc-{centre}-catalogo-{number:03}"),
        region: format!("region-{}", centre / 2),
        data_centre: format!("dc-{centre}"),
        service: "catalogo".into(),
        entry: address,
        data: address,
        control: address,
        operator: address,
        state: ListState::Live,
        instance: None,
        slots: None,
        lapsed: false,
        evacuated: false,
        cold_ms: 0,
    }
}

pub fn host_list(centres: usize, per_centre: usize) -> List {
    let hosts = (0..centres).flat_map(|c| (0..per_centre).map(move |n| host(c, n)));
    List {
        number: 1,
        hosts: hosts.collect(),
    }
}

/// Event of the simulation. Its fields are, where present: sender, receiver and
/// probe target (by index), token, and content.
enum Event {
    Tick(usize),
    Request(usize, usize, Token, Heartbeat),
    Answer(usize, Token, Heartbeat),
    Timeout(usize, Token),
    ProbeRequest(usize, usize, usize, Token),
    ProbeResult(usize, Token, bool),
}

impl Event {
    /// Returns the host that handles the event.
    fn receiver(&self) -> usize {
        match *self {
            Self::Tick(at)
            | Self::Request(_, at, ..)
            | Self::Answer(at, ..)
            | Self::Timeout(at, _)
            | Self::ProbeRequest(_, at, ..)
            | Self::ProbeResult(at, ..) => at,
        }
    }
}

/// Counters of one run.
#[derive(Default)]
pub struct Counts {
    pub messages: u64,
    /// Serialized size of all heartbeats and answers.
    pub bytes: u64,
    /// Size of the largest heartbeat or answer, in bytes.
    pub largest: usize,
    pub actions: u64,
    pub ticks: u64,
    /// Real time spent in ticks.
    pub tick_time: Duration,
    /// Real time spent in handling heartbeats and answers.
    pub call_time: Duration,
    /// Number of heartbeats and probes that each host began, by host and slice
    /// of 100 ms.
    pub begun_by_slice: HashMap<(usize, u64), u64>,
}

/// Simulated fleet. Hosts are identified by their index in `list`.
pub struct Fleet {
    pub now: Duration,
    pub views: Vec<View>,
    /// Index of each host, by name.
    pub indices: HashMap<String, usize>,
    pub list: Arc<List>,
    /// Probability with which a message is lost.
    pub loss_rate: f64,
    /// Number of the partition that each host is in; messages between different
    /// partitions are lost.
    pub partition: Vec<usize>,
    pub dead: Vec<bool>,
    /// Time until which the process of each host is paused.
    pub paused_until: Vec<Duration>,
    pub counts: Counts,
    /// Whether sizes of messages are counted.
    pub measure_bytes: bool,
    /// Actions of each host other than messages, if `record_actions` is set.
    pub recorded: Vec<Vec<Action>>,
    pub record_actions: bool,
    rng: ChaCha8Rng,
    /// Pending events by time; the number keeps the order of equal times.
    events: BTreeMap<(Duration, u64), Event>,
    events_scheduled: u64,
    /// Requester and probe token of each relayed heartbeat, by the probing host
    /// and the token of the heartbeat.
    relays: HashMap<(usize, Token), (usize, Token)>,
}

impl Fleet {
    pub fn new(seed: u64, list: List) -> Self {
        let size = list.hosts.len();
        let list = Arc::new(list);
        let mut fleet = Self {
            now: Duration::ZERO,
            views: Vec::new(),
            indices: HashMap::new(),
            list: list.clone(),
            loss_rate: 0.0,
            partition: vec![0; size],
            dead: vec![false; size],
            paused_until: vec![Duration::ZERO; size],
            counts: Counts::default(),
            measure_bytes: false,
            recorded: vec![Vec::new(); size],
            record_actions: true,
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: BTreeMap::new(),
            events_scheduled: 0,
            relays: HashMap::new(),
        };
        for (index, host) in list.hosts.iter().enumerate() {
            fleet.indices.insert(host.name.clone(), index);
            let view = fleet.new_view(index, 1);
            fleet.views.push(view);
            // Processes start at different times, so their ticks are not in
            // phase.
            let phase = Duration::from_micros(fleet.rng.random_range(0..100_000));
            fleet.schedule(phase, Event::Tick(index));
        }
        fleet
    }

    fn new_view(&mut self, index: usize, run: u64) -> View {
        let incarnation = Incarnation {
            started_ms: 1_733_300_000_000 + run * 10_000 + index as u64,
            nonce: self.rng.random_range(0..=u32::MAX),
        };
        let seed = self.rng.random_range(0..=u64::MAX);
        let own = &self.list.hosts[index];
        View::new(self.now, own, incarnation, self.list.clone(), seed)
    }

    /// Restarts the daemon of a host, which gives it a new incarnation.
    pub fn restart(&mut self, index: usize) {
        let run = 2 + self.now.as_secs();
        self.views[index] = self.new_view(index, run);
        self.dead[index] = false;
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.events_scheduled += 1;
        self.events
            .insert((self.now + after, self.events_scheduled), event);
    }

    /// Sends an event over the network: it is lost, or delivered after the
    /// one-way latency.
    fn transmit(&mut self, from: usize, to: usize, event: Event) {
        self.counts.messages += 1;
        let lost = self.rng.random_bool(self.loss_rate);
        if lost || self.partition[from] != self.partition[to] {
            return;
        }
        let hosts = &self.list.hosts;
        let same_region = hosts[from].region == hosts[to].region;
        self.schedule(if same_region { ms(2) } else { ms(20) }, event);
    }

    fn count_bytes(&mut self, message: &Heartbeat) {
        if self.measure_bytes {
            let size = serde_json::to_vec(message).unwrap().len();
            self.counts.bytes += size as u64;
            self.counts.largest = self.counts.largest.max(size);
        }
    }

    /// Executes the actions that a view returned.
    pub fn perform(&mut self, from: usize, actions: Vec<Action>) {
        self.counts.actions += actions.len() as u64;
        for action in actions {
            match action {
                Action::Heartbeat {
                    token, to, message, ..
                } => {
                    let slice = (self.now.as_millis() / 100) as u64;
                    *self.counts.begun_by_slice.entry((from, slice)).or_default() += 1;
                    self.count_bytes(&message);
                    let to = self.indices[&*to];
                    self.schedule(ANSWER_TIMEOUT, Event::Timeout(from, token));
                    self.transmit(from, to, Event::Request(from, to, token, message));
                }
                Action::Probe { token, via, target } => {
                    let slice = (self.now.as_millis() / 100) as u64;
                    *self.counts.begun_by_slice.entry((from, slice)).or_default() += 1;
                    let (via, target) = (self.indices[&*via], self.indices[&*target]);
                    self.schedule(PROBE_TIMEOUT, Event::Timeout(from, token));
                    self.transmit(from, via, Event::ProbeRequest(from, via, target, token));
                }
                other if self.record_actions => self.recorded[from].push(other),
                _ => {}
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        let started = Instant::now();
        match event {
            Event::Tick(at) => {
                let actions = self.views[at].on_tick(now);
                self.counts.ticks += 1;
                self.counts.tick_time += started.elapsed();
                self.perform(at, actions);
                self.schedule(TICK_INTERVAL, Event::Tick(at));
            }
            Event::Request(from, at, token, message) => {
                let (answer, actions) = self.views[at].on_heartbeat(now, &message);
                self.counts.call_time += started.elapsed();
                self.count_bytes(&answer);
                self.transmit(at, from, Event::Answer(from, token, answer));
                self.perform(at, actions);
            }
            Event::Answer(at, token, message) => {
                let actions = self.views[at].on_heartbeat_answer(now, token, &message);
                self.counts.call_time += started.elapsed();
                self.perform(at, actions);
                if let Some((requester, probe_token)) = self.relays.remove(&(at, token)) {
                    self.transmit(
                        at,
                        requester,
                        Event::ProbeResult(requester, probe_token, true),
                    );
                }
            }
            Event::Timeout(at, token) => {
                // The view ignores the timeout of a token that was answered.
                let actions = self.views[at].on_timeout(now, token);
                self.perform(at, actions);
                if let Some((requester, probe_token)) = self.relays.remove(&(at, token)) {
                    self.transmit(
                        at,
                        requester,
                        Event::ProbeResult(requester, probe_token, false),
                    );
                }
            }
            Event::ProbeRequest(from, at, target, probe_token) => {
                let target = self.list.hosts[target].name.clone();
                let action = self.views[at].on_probe_request(now, &target);
                if let Some(Action::Heartbeat { token, purpose, .. }) = &action {
                    assert_eq!(*purpose, Purpose::Relay);
                    self.relays.insert((at, *token), (from, probe_token));
                }
                self.perform(at, action.into_iter().collect());
            }
            Event::ProbeResult(at, token, reached) => {
                let actions = self.views[at].on_probe_result(now, token, reached);
                self.perform(at, actions);
            }
        }
    }

    /// Handles all events up to and including `until`.
    pub fn run_until(&mut self, until: Duration) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((time, _), event) = entry.remove_entry();
            self.now = time;
            let host = event.receiver();
            if self.dead[host] {
                // Ticks are kept for a later restart; other events of a dead
                // host are lost.
                if matches!(event, Event::Tick(_)) {
                    self.schedule(TICK_INTERVAL, event);
                }
            } else if self.paused_until[host] > time {
                // A paused process handles its timers and messages when it
                // resumes.
                self.schedule(self.paused_until[host] - time, event);
            } else {
                self.handle(event);
            }
        }
        self.now = until;
    }

    pub fn name(&self, index: usize) -> &str {
        &self.list.hosts[index].name
    }

    pub fn state(&self, viewer: usize, host: usize) -> Option<State> {
        Some(self.views[viewer].record(self.name(host))?.state)
    }

    pub fn routable(&self, viewer: usize, host: usize) -> bool {
        self.views[viewer].routable(self.name(host))
    }

    /// Returns the hosts that are not dead.
    pub fn live(&self) -> Vec<usize> {
        (0..self.views.len()).filter(|&h| !self.dead[h]).collect()
    }

    /// Returns the pairs (viewer, host) of live hosts in which the host is not
    /// routable for the viewer.
    pub fn unroutable_pairs(&self) -> Vec<(usize, usize)> {
        let live = self.live();
        let pairs = live.iter().flat_map(|&v| live.iter().map(move |&h| (v, h)));
        pairs.filter(|&(v, h)| !self.routable(v, h)).collect()
    }

    /// Returns the greatest number of heartbeats and probes that one host began
    /// in a slice of 100 ms, from `from` on.
    pub fn peak_messages(&self, from: Duration) -> u64 {
        let first = (from.as_millis() / 100) as u64;
        let slices = self
            .counts
            .begun_by_slice
            .iter()
            .filter(|((_, s), _)| *s >= first);
        slices.map(|(_, &count)| count).max().unwrap_or(0)
    }

    /// Returns the live hosts of a data centre that consider themselves
    /// readers.
    pub fn acting_readers(&self, centre: usize) -> Vec<usize> {
        let centre = format!("dc-{centre}");
        let hosts = self.live().into_iter();
        hosts
            .filter(|&h| self.list.hosts[h].data_centre == centre && self.views[h].is_reader())
            .collect()
    }
}
