//! Simulation of daemons, links and a store in virtual time.
//!
//! A version is identified by its number. Each host has a link with one queue
//! per direction. The store sends full versions, and daemons send deltas.

mod polls;
mod store;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use savorylane_distribution::Age;
use savorylane_distribution::pace::Pace;
use savorylane_distribution::source::{Answer, Location, Poll, Source};

/// Bytes of a configuration of 1,100 routes as the store sends it.
pub(crate) const CONFIG_BYTES: u64 = 103_000;
/// Bytes of the same configuration between daemons, which compress it.
const COMPRESSED_BYTES: u64 = 12_000;
/// Bytes of a message with a delta, without the changes in the delta.
const DELTA_BYTES: u64 = 1_200;
/// Bytes of a message without news.
const MESSAGE_BYTES: u64 = 500;
/// Past versions that a daemon keeps as bases of deltas.
const DELTA_BASES: u64 = 4;
/// Time for which a watch waits at the store.
const WATCH_WAIT: Duration = Duration::from_millis(1_200);
/// Latency of the store's answers to the farthest region.
const STORE_LATENCY: Duration = Duration::from_millis(20);
/// Region that holds the store.
const STORE_REGION: &str = "r-0";
/// Least progress of the confirmed time for which a held poll is answered.
const CONFIRMATION_STEP: Duration = Duration::from_millis(400);
/// Time between two calls of a store that does not answer.
const STORE_RETRY: Duration = Duration::from_millis(300);

/// Size of the fleet, its links and its way of distribution.
pub(crate) struct Settings {
    pub(crate) hosts: usize,
    pub(crate) centres: usize,
    pub(crate) regions: usize,
    /// One host in this many has a fast link.
    pub(crate) fast_every: usize,
    /// Who reads the store, and what.
    pub(crate) mode: Mode,
}

/// Ways of distribution. All but the last one only serve as comparisons.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mode {
    /// Every host reads every version from the store.
    AllVersions,
    /// Every host reads the newest version from the store.
    AllNewest,
    /// Readers read the store and send full versions to their followers.
    ReadersWhole,
    /// Readers read the store and send deltas to their followers.
    Readers,
}

impl Mode {
    fn has_no_readers(self) -> bool {
        matches!(self, Self::AllVersions | Self::AllNewest)
    }
}

/// An event; one of an earlier process, call, poll or turn is ignored.
#[derive(Debug)]
enum Event {
    Publish(u64),
    /// A host starts or restarts.
    Start(usize),
    Kill(usize),
    /// The store refuses a host from now on, or serves it again.
    Refuse(usize, bool),
    /// A call of a host reaches the store.
    StoreCall {
        host: usize,
        call: u64,
    },
    /// A call ends: with the store's version, or with none if it failed.
    StoreAnswer {
        host: usize,
        call: u64,
        version: Option<u64>,
        taken: Duration,
    },
    Step {
        host: usize,
        run: u32,
        turn: u64,
    },
    Poll {
        poll: Box<Pending>,
    },
    /// The wait of a held poll ends.
    HoldEnd {
        poll: Box<Pending>,
    },
    Answer {
        host: usize,
        run: u32,
        number: u64,
        from: usize,
        answer: Box<Answer>,
        version: u64,
        transit: Duration,
    },
    Timeout {
        host: usize,
        run: u32,
        number: u64,
        from: usize,
    },
}

#[derive(Clone, Debug)]
struct Pending {
    host: usize,
    run: u32,
    number: u64,
    receiver: usize,
    sent: Duration,
    poll: Poll,
    version: u64,
    /// End of the wait for news.
    until: Duration,
    /// Time up to which the receiver knew all changes when the poll arrived.
    confirmed: Duration,
}

struct Daemon {
    location: Location,
    rate: u32,
    source: Source,
    age: Age,
    pace: Pace,
    version: u64,
    run: u32,
    up: bool,
    refused: bool,
    /// Whether the present call waits for news at the store.
    watching: bool,
    /// Number of the present call of the store; 0 while there is none.
    call: u64,
    /// Whether the host called the store before. The first call never waits.
    called_before: bool,
    /// Number of the poll in flight; 0 while there is none.
    poll: u64,
    turn: u64,
    held: Vec<Pending>,
    /// Times at which the link is free again: outbound, inbound.
    link: [Duration; 2],
}

/// Counts over one run of the simulation.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) store_calls: u64,
    /// Bytes sent between regions.
    pub(crate) region_bytes: u64,
    /// Polls sent between daemons.
    pub(crate) polls: u64,
}

pub(crate) struct Sim {
    settings: Settings,
    now: Duration,
    last_event: u64,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, Event>,
    daemons: Vec<Daemon>,
    locations: Vec<Location>,
    version: u64,
    published: BTreeMap<u64, Duration>,
    /// Time of adoption by host, for each version that a host did not skip.
    adopted: BTreeMap<u64, BTreeMap<usize, Duration>>,
    last_poll: u64,
    last_call: u64,
    pub(crate) counts: Counts,
}

impl Sim {
    pub(crate) fn new(settings: Settings) -> Self {
        let location = |host: usize| {
            let centre = host % settings.centres;
            Location {
                name: format!("10.{}.0.{:04}", centre, 1_000 + host).into(),
                data_centre: format!("dc-{centre}").into(),
                region: format!("r-{}", centre % settings.regions).into(),
            }
        };
        let locations: Vec<Location> = (0..settings.hosts).map(location).collect();
        let daemons = locations
            .iter()
            .enumerate()
            .map(|(host, location)| {
                let fast = (host / settings.centres) % settings.fast_every == 3;
                let rate = if fast { 140 } else { 7 };
                Daemon {
                    location: location.clone(),
                    rate,
                    source: Source::new(location.clone(), rate),
                    age: Age::default(),
                    pace: Pace::default(),
                    version: 0,
                    run: 0,
                    up: false,
                    refused: false,
                    watching: false,
                    call: 0,
                    called_before: false,
                    poll: 0,
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
            last_event: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            daemons,
            locations,
            version: 1,
            published: BTreeMap::new(),
            adopted: BTreeMap::new(),
            last_poll: 0,
            last_call: 0,
            counts: Counts::default(),
        };
        for host in 0..hosts {
            sim.schedule(
                Duration::from_micros(1_000 + 3_700 * host as u64 % 300_000),
                Event::Start(host),
            );
        }
        sim
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.last_event += 1;
        self.queue.push(Reverse((at, self.last_event)));
        self.events.insert(self.last_event, event);
    }

    pub(crate) fn publish(&mut self, at: Duration, version: u64) {
        self.schedule(at, Event::Publish(version));
    }

    pub(crate) fn kill(&mut self, at: Duration, host: usize) {
        self.schedule(at, Event::Kill(host));
    }

    pub(crate) fn start(&mut self, at: Duration, host: usize) {
        self.schedule(at, Event::Start(host));
    }

    pub(crate) fn refuse(&mut self, at: Duration, host: usize, refused: bool) {
        self.schedule(at, Event::Refuse(host, refused));
    }

    /// Returns the hosts that are readers, which answer followers.
    pub(crate) fn readers(&self) -> Vec<usize> {
        let answers =
            |host: &usize| self.daemons[*host].up && self.daemons[*host].source.is_reader();
        (0..self.daemons.len()).filter(answers).collect()
    }

    /// Returns the greatest age of a running host's knowledge.
    pub(crate) fn oldest_age(&self) -> Duration {
        let up = self.daemons.iter().filter(|daemon| daemon.up);
        let age = |daemon: &Daemon| daemon.age.at(self.now).unwrap_or(self.now);
        up.map(age).max().unwrap_or_default()
    }

    /// Returns the readers that read the store themselves.
    pub(crate) fn store_readers(&self) -> Vec<usize> {
        let reads =
            |host: &usize| self.daemons[*host].up && self.daemons[*host].source.reads_store();
        (0..self.daemons.len()).filter(reads).collect()
    }

    pub(crate) fn centres(&self) -> usize {
        self.settings.centres
    }

    pub(crate) fn centre(&self, host: usize) -> usize {
        host % self.settings.centres
    }

    pub(crate) fn rate(&self, host: usize) -> u32 {
        self.daemons[host].rate
    }

    /// Returns the longest time from the publication of a version until a
    /// running host adopted that version or a later one, with the version and
    /// the host; `None` stands for never. `counts` selects hosts and versions.
    pub(crate) fn slowest(
        &self,
        counts: impl Fn(usize, Duration) -> bool,
    ) -> (Option<Duration>, u64, usize) {
        let mut slowest = (Some(Duration::ZERO), 0, 0);
        for (&version, &published) in &self.published {
            for host in 0..self.daemons.len() {
                if !self.daemons[host].up || !counts(host, published) {
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
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at;
            let event = self.events.remove(&number).unwrap();
            self.handle(event);
        }
        self.now = until;
    }

    fn delay(&self, from: &Location, to: &Location) -> Duration {
        if from.data_centre == to.data_centre {
            Duration::from_micros(200)
        } else if from.region == to.region {
            Duration::from_micros(1_400)
        } else {
            Duration::from_millis(20)
        }
    }

    /// Returns the time at which `bytes` have passed the link of a host.
    fn transmit(&mut self, host: usize, direction: usize, from: Duration, bytes: u64) -> Duration {
        let daemon = &mut self.daemons[host];
        let taken = Duration::from_micros(bytes * 8 / u64::from(daemon.rate));
        daemon.link[direction] = daemon.link[direction].max(from) + taken;
        daemon.link[direction]
    }

    /// Sends a message between two hosts; returns the time of its arrival.
    fn send(&mut self, from: usize, to: usize, bytes: u64) -> Duration {
        let (a, b) = (self.locations[from].clone(), self.locations[to].clone());
        if a.region != b.region {
            self.counts.region_bytes += bytes;
        }
        let left = self.transmit(from, 0, self.now, bytes) + self.delay(&a, &b);
        self.transmit(to, 1, left, bytes)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Publish(version) => {
                self.version = version;
                self.published.insert(version, self.now);
                for host in 0..self.daemons.len() {
                    if self.daemons[host].up && self.daemons[host].watching {
                        self.send_versions(host);
                    }
                }
            }
            Event::Start(host) => self.start_daemon(host),
            Event::Kill(host) => {
                let daemon = &mut self.daemons[host];
                daemon.up = false;
                daemon.run += 1;
                daemon.call = 0;
                daemon.watching = false;
                daemon.held.clear();
            }
            Event::Refuse(host, refused) => {
                self.daemons[host].refused = refused;
                if refused && self.daemons[host].watching {
                    self.schedule_store_call(host, self.now);
                }
            }
            Event::StoreCall { host, call } => {
                if self.daemons[host].call == call {
                    self.call_store(host);
                }
            }
            Event::StoreAnswer {
                host,
                call,
                version,
                taken,
            } => {
                if self.daemons[host].call == call {
                    self.on_store_answer(host, version, taken);
                }
            }
            Event::Step { host, run, turn } => {
                if self.alive(host, run) && self.daemons[host].turn == turn {
                    self.step(host);
                }
            }
            Event::Poll { poll } => self.on_poll(*poll),
            Event::HoldEnd { poll } => self.answer_poll(&poll),
            Event::Answer {
                host,
                run,
                number,
                from,
                answer,
                version,
                transit,
            } => {
                if self.alive(host, run) && self.daemons[host].poll == number {
                    self.daemons[host].poll = 0;
                    let name = Arc::clone(&self.locations[from].name);
                    self.adopt(host, version);
                    if let Some(age) = answer.age {
                        let at = self.now.saturating_sub(age + transit);
                        self.confirm(host, at);
                    }
                    let now = self.now;
                    self.daemons[host]
                        .source
                        .on_answer(now, &name, &answer, transit);
                    self.apply_role(host);
                }
            }
            Event::Timeout {
                host,
                run,
                number,
                from,
            } => {
                if self.alive(host, run) && self.daemons[host].poll == number {
                    self.daemons[host].poll = 0;
                    let (now, name) = (self.now, Arc::clone(&self.locations[from].name));
                    self.daemons[host].source.on_failure(now, &name);
                    self.apply_role(host);
                }
            }
        }
    }

    fn alive(&self, host: usize, run: u32) -> bool {
        self.daemons[host].up && self.daemons[host].run == run
    }

    fn start_daemon(&mut self, host: usize) {
        let (location, rate) = (self.locations[host].clone(), self.daemons[host].rate);
        let daemon = &mut self.daemons[host];
        daemon.run += 1;
        daemon.up = true;
        daemon.version = 0;
        daemon.age = Age::default();
        daemon.source = Source::new(location, rate);
        daemon.poll = 0;
        daemon.call = 0;
        daemon.watching = false;
        daemon.held.clear();
        daemon.source.on_hosts(&self.locations);
        // The host list is read in small pages, which takes two calls.
        self.counts.store_calls += 2;
        daemon.source.start(self.now);
        self.apply_role(host);
    }

    /// Starts or ends the calls of the store as the role of a host requires.
    fn apply_role(&mut self, host: usize) {
        let reads = self.settings.mode.has_no_readers() || self.daemons[host].source.reads_store();
        match (reads, self.daemons[host].call) {
            (true, 0) => {
                self.daemons[host].called_before = false;
                self.schedule_store_call(host, self.now);
            }
            (false, call) if call != 0 => {
                self.daemons[host].call = 0;
                self.daemons[host].watching = false;
            }
            _ => {}
        }
        self.step(host);
    }
}
