//! Message loop among the views of a few hosts, in virtual time.
#![allow(dead_code, unreachable_pub, reason = "each test file uses a part")]

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use savorylane_intent::hosts::{Host, List, State as Platform};
use savorylane_membership::view::{ANSWER_LIMIT, PROBE_LIMIT, TICK};
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
        state: Platform::Live,
        instance: None,
        slots: None,
        lapsed: false,
    }
}

pub fn list(centres: usize, per_centre: usize) -> List {
    let hosts = (0..centres).flat_map(|c| (0..per_centre).map(move |n| host(c, n)));
    List {
        number: 1,
        hosts: hosts.collect(),
    }
}

enum Event {
    Tick(usize),
    Request(usize, usize, Token, Heartbeat),
    Answer(usize, Token, Heartbeat),
    Timeout(usize, Token),
    ProbeRequest(usize, usize, usize, Token),
    ProbeResult(usize, Token, bool),
}

impl Event {
    /// Host that handles the event.
    fn at(&self) -> usize {
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

/// Counts of one run.
#[derive(Default)]
pub struct Counts {
    pub messages: u64,
    pub bytes: u64,
    pub largest: usize,
    pub actions: u64,
    pub ticks: u64,
    pub tick_time: Duration,
    pub call_time: Duration,
    /// Heartbeats and probes that a host began within one slice of 100 ms.
    pub slices: HashMap<(usize, u64), u64>,
}

pub struct Fleet {
    pub now: Duration,
    pub views: Vec<View>,
    pub names: HashMap<String, usize>,
    pub list: Arc<List>,
    pub loss: f64,
    /// Side of each host; messages between different sides are lost.
    pub side: Vec<usize>,
    pub dead: Vec<bool>,
    pub paused: Vec<Duration>,
    pub counts: Counts,
    pub measure: bool,
    pub seen: Vec<Vec<Action>>,
    pub keep: bool,
    rng: ChaCha8Rng,
    events: BTreeMap<(Duration, u64), Event>,
    next: u64,
    relays: HashMap<(usize, Token), (usize, Token)>,
}

impl Fleet {
    pub fn new(seed: u64, list: List) -> Self {
        let size = list.hosts.len();
        let list = Arc::new(list);
        let mut fleet = Self {
            now: Duration::ZERO,
            views: Vec::new(),
            names: HashMap::new(),
            list: list.clone(),
            loss: 0.0,
            side: vec![0; size],
            dead: vec![false; size],
            paused: vec![Duration::ZERO; size],
            counts: Counts::default(),
            measure: false,
            seen: vec![Vec::new(); size],
            keep: true,
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: BTreeMap::new(),
            next: 0,
            relays: HashMap::new(),
        };
        for (index, host) in list.hosts.iter().enumerate() {
            fleet.names.insert(host.name.clone(), index);
            let view = fleet.view(index, 1);
            fleet.views.push(view);
            // Ticks of different processes are not in phase.
            let phase = Duration::from_micros(fleet.rng.random_range(0..100_000));
            fleet.push(phase, Event::Tick(index));
        }
        fleet
    }

    fn view(&mut self, index: usize, run: u64) -> View {
        let incarnation = Incarnation {
            started_ms: 1_733_300_000_000 + run * 10_000 + index as u64,
            nonce: self.rng.random_range(0..=u32::MAX),
        };
        let seed = self.rng.random_range(0..=u64::MAX);
        let own = &self.list.hosts[index];
        View::new(self.now, own, incarnation, self.list.clone(), seed)
    }

    /// Replaces the daemon of a host by a new run.
    pub fn restart(&mut self, index: usize) {
        let run = 2 + self.now.as_secs();
        self.views[index] = self.view(index, run);
        self.dead[index] = false;
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.next += 1;
        self.events.insert((self.now + after, self.next), event);
    }

    /// Sends over the network: lost, or delivered after the one-way latency.
    fn network(&mut self, from: usize, to: usize, event: Event) {
        self.counts.messages += 1;
        let lost = self.rng.random_bool(self.loss);
        if lost || self.side[from] != self.side[to] {
            return;
        }
        let hosts = &self.list.hosts;
        let near = hosts[from].region == hosts[to].region;
        self.push(if near { ms(2) } else { ms(20) }, event);
    }

    fn weigh(&mut self, message: &Heartbeat) {
        if self.measure {
            let size = serde_json::to_vec(message).unwrap().len();
            self.counts.bytes += size as u64;
            self.counts.largest = self.counts.largest.max(size);
        }
    }

    /// Carries out the actions of a host.
    pub fn act(&mut self, from: usize, actions: Vec<Action>) {
        self.counts.actions += actions.len() as u64;
        for action in actions {
            match action {
                Action::Heartbeat {
                    token, to, message, ..
                } => {
                    let slice = (self.now.as_millis() / 100) as u64;
                    *self.counts.slices.entry((from, slice)).or_default() += 1;
                    self.weigh(&message);
                    let to = self.names[&*to];
                    self.push(ANSWER_LIMIT, Event::Timeout(from, token));
                    self.network(from, to, Event::Request(from, to, token, message));
                }
                Action::Probe { token, via, target } => {
                    let slice = (self.now.as_millis() / 100) as u64;
                    *self.counts.slices.entry((from, slice)).or_default() += 1;
                    let (via, target) = (self.names[&*via], self.names[&*target]);
                    self.push(PROBE_LIMIT, Event::Timeout(from, token));
                    self.network(from, via, Event::ProbeRequest(from, via, target, token));
                }
                other if self.keep => self.seen[from].push(other),
                _ => {}
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        let began = Instant::now();
        match event {
            Event::Tick(at) => {
                let actions = self.views[at].on_tick(now);
                self.counts.ticks += 1;
                self.counts.tick_time += began.elapsed();
                self.act(at, actions);
                self.push(TICK, Event::Tick(at));
            }
            Event::Request(from, at, token, message) => {
                let (answer, actions) = self.views[at].on_message(now, &message);
                self.counts.call_time += began.elapsed();
                self.weigh(&answer);
                self.network(at, from, Event::Answer(from, token, answer));
                self.act(at, actions);
            }
            Event::Answer(at, token, message) => {
                let actions = self.views[at].on_answer(now, token, &message);
                self.counts.call_time += began.elapsed();
                self.act(at, actions);
                if let Some((asker, asked)) = self.relays.remove(&(at, token)) {
                    self.network(at, asker, Event::ProbeResult(asker, asked, true));
                }
            }
            Event::Timeout(at, token) => {
                // The view ignores tokens that were answered.
                let actions = self.views[at].on_timeout(now, token);
                self.act(at, actions);
                if let Some((asker, asked)) = self.relays.remove(&(at, token)) {
                    self.network(at, asker, Event::ProbeResult(asker, asked, false));
                }
            }
            Event::ProbeRequest(from, at, target, asked) => {
                let target = self.list.hosts[target].name.clone();
                let action = self.views[at].on_probe_request(now, &target);
                if let Some(Action::Heartbeat { token, purpose, .. }) = &action {
                    assert_eq!(*purpose, Purpose::Relay);
                    self.relays.insert((at, *token), (from, asked));
                }
                self.act(at, action.into_iter().collect());
            }
            Event::ProbeResult(at, token, reached) => {
                let actions = self.views[at].on_probe(now, token, reached);
                self.act(at, actions);
            }
        }
    }

    /// Runs until `until`.
    pub fn run(&mut self, until: Duration) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            let host = event.at();
            if self.dead[host] {
                // A dead host ticks again after a restart; all else is lost.
                if matches!(event, Event::Tick(_)) {
                    self.push(TICK, event);
                }
            } else if self.paused[host] > at {
                // A paused process finds its timers and messages when it wakes.
                self.push(self.paused[host] - at, event);
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

    /// Returns the hosts that run.
    pub fn live(&self) -> Vec<usize> {
        (0..self.views.len()).filter(|&h| !self.dead[h]).collect()
    }

    /// Returns the pairs (viewer, host) of live hosts where the host is not routable.
    pub fn unroutable(&self) -> Vec<(usize, usize)> {
        let live = self.live();
        let pairs = live.iter().flat_map(|&v| live.iter().map(move |&h| (v, h)));
        pairs.filter(|&(v, h)| !self.routable(v, h)).collect()
    }

    /// Returns the most messages that one host began within 100 ms since `from`.
    pub fn peak(&self, from: Duration) -> u64 {
        let first = (from.as_millis() / 100) as u64;
        let slices = self.counts.slices.iter().filter(|((_, s), _)| *s >= first);
        slices.map(|(_, &count)| count).max().unwrap_or(0)
    }

    /// Returns the daemons of a data centre that act as readers.
    pub fn acting(&self, centre: usize) -> Vec<usize> {
        let centre = format!("dc-{centre}");
        let hosts = self.live().into_iter();
        hosts
            .filter(|&h| self.list.hosts[h].data_centre == centre && self.views[h].is_reader())
            .collect()
    }
}
