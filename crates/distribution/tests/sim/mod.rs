//! Daemons, links and a store in virtual time.
//!
//! A version is known by its number. Each host has a link with one queue each
//! way; the store tells whole versions, daemons tell differences.

mod polls;
mod store;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use savorylane_distribution::Age;
use savorylane_distribution::pace::Pace;
use savorylane_distribution::source::{Answer, Place, Poll, Source};

/// Bytes of a configuration of 1,100 routes as the store tells it.
pub(crate) const WHOLE: u64 = 103_000;
/// Bytes of the same between daemons, compressed.
const PACKED: u64 = 12_000;
/// Bytes of a difference with its message.
const DIFFERENCE: u64 = 1_200;
/// Bytes of a message without news.
const MESSAGE: u64 = 500;
/// Versions that a daemon keeps to make differences from.
const BASES: u64 = 4;
/// Time that a watch waits at the store.
const WATCH: Duration = Duration::from_millis(1_200);
/// Way of the store's answers to the farthest region.
const FAR: Duration = Duration::from_millis(20);
/// Region that holds the store.
const STORE_REGION: &str = "r-0";
/// Least progress of the confirmed moment for which a held poll is answered.
const CONFIRMATION: Duration = Duration::from_millis(400);
/// Time between two attempts at a store that does not answer.
const RETRY: Duration = Duration::from_millis(300);

/// Fleet and its faults.
pub(crate) struct Settings {
    pub(crate) hosts: usize,
    pub(crate) centres: usize,
    pub(crate) regions: usize,
    /// One host in this many has a fast link.
    pub(crate) fast_every: usize,
    /// Who reads the store, and what.
    pub(crate) mode: Mode,
}

/// Ways of distribution; those but the last serve as comparisons.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mode {
    /// Every host reads every version from the store.
    AllVersions,
    /// Every host reads the newest version from the store.
    AllNewest,
    /// Readers, whose followers get whole versions.
    ReadersWhole,
    /// Readers, whose followers get differences.
    Readers,
}

impl Mode {
    fn all_read(self) -> bool {
        matches!(self, Self::AllVersions | Self::AllNewest)
    }
}

#[derive(Debug)]
enum Event {
    Publish(u64),
    /// A host starts, or starts again.
    Start(usize),
    Kill(usize),
    /// The store turns a host away from now on, or serves it again.
    Refuse(usize, bool),
    /// A reader asks the store.
    Watch {
        host: usize,
        call: u64,
    },
    /// The store's answer is complete, or the call has failed.
    Read {
        host: usize,
        call: u64,
        version: Option<u64>,
        taken: Duration,
    },
    Drive {
        host: usize,
        run: u32,
        turn: u64,
    },
    Asked {
        poll: Box<Asked>,
    },
    Hold {
        poll: Box<Asked>,
    },
    Answered {
        host: usize,
        run: u32,
        number: u64,
        from: usize,
        answer: Box<Answer>,
        version: u64,
        transit: Duration,
    },
    Lost {
        host: usize,
        run: u32,
        number: u64,
        from: usize,
    },
}

#[derive(Clone, Debug)]
struct Asked {
    host: usize,
    run: u32,
    number: u64,
    at: usize,
    sent: Duration,
    poll: Poll,
    version: u64,
    until: Duration,
    /// Moment up to which the asked host knew all when it was asked.
    confirmed: Duration,
}

struct Node {
    place: Place,
    rate: u32,
    source: Source,
    age: Age,
    pace: Pace,
    version: u64,
    run: u32,
    up: bool,
    refused: bool,
    /// Whether the call at the store waits for news.
    watching: bool,
    /// Number of the present call at the store; 0 while there is none.
    call: u64,
    /// Whether the store has answered since the host began to call it. The
    /// first call does not wait for news.
    called: bool,
    /// Number of the poll under way; 0 for none.
    polling: u64,
    turn: u64,
    held: Vec<Asked>,
    /// When the link is free again, each way.
    link: [Duration; 2],
}

/// Counts of one run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) store_calls: u64,
    /// Bytes between regions.
    pub(crate) region_bytes: u64,
    /// Polls between daemons.
    pub(crate) polls: u64,
}

pub(crate) struct Sim {
    settings: Settings,
    now: Duration,
    next: u64,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    kept: BTreeMap<u64, Event>,
    nodes: Vec<Node>,
    places: Vec<Place>,
    version: u64,
    published: BTreeMap<u64, Duration>,
    /// When each host adopted a version at least as great, by version.
    adopted: BTreeMap<u64, BTreeMap<usize, Duration>>,
    polls: u64,
    calls: u64,
    pub(crate) counts: Counts,
}

impl Sim {
    pub(crate) fn new(settings: Settings) -> Self {
        let place = |host: usize| {
            let centre = host % settings.centres;
            Place {
                name: format!("10.{}.0.{:04}", centre, 1_000 + host).into(),
                data_centre: format!("dc-{centre}").into(),
                region: format!("r-{}", centre % settings.regions).into(),
            }
        };
        let places: Vec<Place> = (0..settings.hosts).map(place).collect();
        let nodes = places
            .iter()
            .enumerate()
            .map(|(host, place)| {
                let fast = (host / settings.centres) % settings.fast_every == 3;
                let rate = if fast { 140 } else { 7 };
                Node {
                    place: place.clone(),
                    rate,
                    source: Source::new(place.clone(), rate),
                    age: Age::default(),
                    pace: Pace::default(),
                    version: 0,
                    run: 0,
                    up: false,
                    refused: false,
                    watching: false,
                    call: 0,
                    called: false,
                    polling: 0,
                    turn: 0,
                    held: Vec::new(),
                    link: [Duration::ZERO; 2],
                }
            })
            .collect();
        let hosts = settings.hosts;
        let mut sim = Self {
            settings,
            now: Duration::from_millis(1),
            next: 0,
            events: BinaryHeap::new(),
            kept: BTreeMap::new(),
            nodes,
            places,
            version: 1,
            published: BTreeMap::new(),
            adopted: BTreeMap::new(),
            polls: 0,
            calls: 0,
            counts: Counts::default(),
        };
        for host in 0..hosts {
            sim.at(
                Duration::from_micros(1_000 + 3_700 * host as u64 % 300_000),
                Event::Start(host),
            );
        }
        sim
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.next += 1;
        self.events.push(Reverse((at, self.next)));
        self.kept.insert(self.next, event);
    }

    pub(crate) fn publish(&mut self, at: Duration, version: u64) {
        self.at(at, Event::Publish(version));
    }

    pub(crate) fn kill(&mut self, at: Duration, host: usize) {
        self.at(at, Event::Kill(host));
    }

    pub(crate) fn start(&mut self, at: Duration, host: usize) {
        self.at(at, Event::Start(host));
    }

    pub(crate) fn refuse(&mut self, at: Duration, host: usize, refused: bool) {
        self.at(at, Event::Refuse(host, refused));
    }

    /// Returns the hosts that answer followers.
    pub(crate) fn answering(&self) -> Vec<usize> {
        let answers = |host: &usize| self.nodes[*host].up && self.nodes[*host].source.is_reader();
        (0..self.nodes.len()).filter(answers).collect()
    }

    /// Returns the greatest age of what a running host knows now.
    pub(crate) fn oldest(&self) -> Duration {
        let up = self.nodes.iter().filter(|node| node.up);
        let age = |node: &Node| node.age.of(self.now).unwrap_or(self.now);
        up.map(age).max().unwrap_or_default()
    }

    /// Returns the hosts that read the store.
    pub(crate) fn readers(&self) -> Vec<usize> {
        let reads = |host: &usize| self.nodes[*host].up && self.nodes[*host].source.reads();
        (0..self.nodes.len()).filter(reads).collect()
    }

    pub(crate) fn centres(&self) -> usize {
        self.settings.centres
    }

    pub(crate) fn centre(&self, host: usize) -> usize {
        host % self.settings.centres
    }

    pub(crate) fn rate(&self, host: usize) -> u32 {
        self.nodes[host].rate
    }

    /// Returns the longest time from the publication of a version until a host
    /// that `counts` had it or a later one, with the version and the host;
    /// `None` stands for never.
    pub(crate) fn slowest(
        &self,
        counts: impl Fn(usize, Duration) -> bool,
    ) -> (Option<Duration>, u64, usize) {
        let mut slowest = (Some(Duration::ZERO), 0, 0);
        for (&version, &published) in &self.published {
            for host in 0..self.nodes.len() {
                if !self.nodes[host].up || !counts(host, published) {
                    continue;
                }
                let adopted = self.adopted.range(version..);
                let first = adopted.filter_map(|(_, hosts)| hosts.get(&host)).min();
                let taken = first.map(|at| at.saturating_sub(published));
                match (taken, slowest.0) {
                    (_, None) => {}
                    (None, _) => slowest = (None, version, host),
                    (Some(taken), Some(known)) if taken > known => {
                        slowest = (Some(taken), version, host);
                    }
                    _ => {}
                }
            }
        }
        slowest
    }

    pub(crate) fn run(&mut self, until: Duration) {
        while let Some(Reverse((at, number))) = self.events.peek().copied() {
            if at > until {
                break;
            }
            self.events.pop();
            self.now = at;
            let event = self.kept.remove(&number).unwrap();
            self.handle(event);
        }
        self.now = until;
    }

    fn delay(&self, from: &Place, to: &Place) -> Duration {
        if from.data_centre == to.data_centre {
            Duration::from_micros(200)
        } else if from.region == to.region {
            Duration::from_micros(1_400)
        } else {
            Duration::from_millis(20)
        }
    }

    /// Returns when `bytes` that pass the link of a host now have passed.
    fn pass(&mut self, host: usize, way: usize, from: Duration, bytes: u64) -> Duration {
        let node = &mut self.nodes[host];
        let taken = Duration::from_micros(bytes * 8 / u64::from(node.rate));
        node.link[way] = node.link[way].max(from) + taken;
        node.link[way]
    }

    /// Returns when a message from one host has arrived at another.
    fn send(&mut self, from: usize, to: usize, bytes: u64) -> Duration {
        let (a, b) = (self.places[from].clone(), self.places[to].clone());
        if a.region != b.region {
            self.counts.region_bytes += bytes;
        }
        let left = self.pass(from, 0, self.now, bytes) + self.delay(&a, &b);
        self.pass(to, 1, left, bytes)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Publish(version) => {
                self.version = version;
                self.published.insert(version, self.now);
                for host in 0..self.nodes.len() {
                    if self.nodes[host].up && self.nodes[host].watching {
                        self.tell(host);
                    }
                }
            }
            Event::Start(host) => self.start_node(host),
            Event::Kill(host) => {
                let node = &mut self.nodes[host];
                node.up = false;
                node.run += 1;
                node.call = 0;
                node.watching = false;
                node.held.clear();
            }
            Event::Refuse(host, refused) => {
                self.nodes[host].refused = refused;
                if refused && self.nodes[host].watching {
                    self.watch(host, self.now);
                }
            }
            Event::Watch { host, call } => {
                if self.nodes[host].call == call {
                    self.ask_store(host);
                }
            }
            Event::Read {
                host,
                call,
                version,
                taken,
            } => {
                if self.nodes[host].call == call {
                    self.read(host, version, taken);
                }
            }
            Event::Drive { host, run, turn } => {
                if self.alive(host, run) && self.nodes[host].turn == turn {
                    self.drive(host);
                }
            }
            Event::Asked { poll } => self.asked(*poll),
            Event::Hold { poll } => self.answer(&poll),
            Event::Answered {
                host,
                run,
                number,
                from,
                answer,
                version,
                transit,
            } => {
                if self.alive(host, run) && self.nodes[host].polling == number {
                    self.nodes[host].polling = 0;
                    let name = Arc::clone(&self.places[from].name);
                    self.adopt(host, version);
                    if let Some(age) = answer.age {
                        let at = self.now.saturating_sub(age + transit);
                        self.confirm(host, at);
                    }
                    let now = self.now;
                    self.nodes[host]
                        .source
                        .on_answer(now, &name, &answer, transit);
                    self.after(host);
                }
            }
            Event::Lost {
                host,
                run,
                number,
                from,
            } => {
                if self.alive(host, run) && self.nodes[host].polling == number {
                    self.nodes[host].polling = 0;
                    let (now, name) = (self.now, Arc::clone(&self.places[from].name));
                    self.nodes[host].source.on_failure(now, &name);
                    self.after(host);
                }
            }
        }
    }

    fn alive(&self, host: usize, run: u32) -> bool {
        self.nodes[host].up && self.nodes[host].run == run
    }

    fn start_node(&mut self, host: usize) {
        let (place, rate) = (self.places[host].clone(), self.nodes[host].rate);
        let node = &mut self.nodes[host];
        node.run += 1;
        node.up = true;
        node.version = 0;
        node.age = Age::default();
        node.source = Source::new(place, rate);
        node.polling = 0;
        node.call = 0;
        node.watching = false;
        node.held.clear();
        node.source.on_hosts(&self.places);
        // The list of hosts is read in small pages.
        self.counts.store_calls += 2;
        node.source.start(self.now);
        self.after(host);
    }

    /// Starts or ends the calls at the store as the role of a host asks for.
    fn after(&mut self, host: usize) {
        let reads = self.settings.mode.all_read() || self.nodes[host].source.reads();
        match (reads, self.nodes[host].call) {
            (true, 0) => {
                self.nodes[host].called = false;
                self.watch(host, self.now);
            }
            (false, call) if call != 0 => {
                self.nodes[host].call = 0;
                self.nodes[host].watching = false;
            }
            _ => {}
        }
        self.drive(host);
    }
}
