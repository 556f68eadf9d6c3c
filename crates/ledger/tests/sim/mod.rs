//! Simulation of entries and holders in virtual time, with lost, delayed,
//! duplicated and reordered messages, partitions, pauses, restarts and list
//! changes. Plain integers are milliseconds.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use savorylane_ledger::{Lease, Settings, Table, ring};
use savorylane_wire::control::ring::Confirmation;
use savorylane_wire::control::{Ring, Scope, Sender};
use savorylane_wire::{Incarnation, Verdict};

mod request;
mod schedule;

pub(crate) use schedule::{Aim, Kind, Op, chain, ops, skip, takeover};

pub(crate) const HOSTS: usize = 5;
const EPOCH_MS: u64 = 1_700_000_000_000;

enum Event {
    Adopt {
        host: usize,
        list: usize,
    },
    Heartbeat(usize),
    Resume(usize),
    Ask {
        from: usize,
        nonce: u32,
        to: usize,
        asked_at: Duration,
    },
    Confirm {
        to: usize,
        nonce: u32,
        asked_at: Duration,
        answer: Confirmation,
    },
    Arrive {
        key: usize,
        attempt: u32,
        entry: usize,
    },
    Claim(Message),
    /// Arrival of a request at the upstream; `holder` is its host and nonce.
    Work {
        key: usize,
        holder: Option<(usize, u32)>,
        roll: u64,
    },
    Outcome {
        key: usize,
        host: usize,
        nonce: u32,
        verdict: Verdict,
    },
}

/// Request in flight from an entry to a holder.
#[derive(Clone)]
struct Message {
    key: usize,
    attempt: u32,
    entry: usize,
    to: usize,
    incarnation: Incarnation,
    ring: Ring,
    timestamp: Option<Duration>,
    received: u64,
}

struct Host {
    nonce: u32,
    list: usize,
    /// Reading of the host's clock at the start of the process.
    start_clock: u64,
    started: u64,
    frozen_ms: u64,
    /// Start of the current pause, and whether it stops the clock.
    paused: Option<(u64, bool)>,
    lease: Lease,
    table: Table,
}

struct Key {
    name: String,
    kind: Kind,
    /// Earliest arrival of an attempt at an entry.
    first_arrival: u64,
    /// Latest arrival of an attempt at an entry.
    last_arrival: u64,
    attempts: u32,
    runs: u32,
    /// Permitted runs that may still happen.
    pending_runs: u32,
    /// Time of the latest `not-run` answer.
    last_not_run: Option<u64>,
}

/// Counts that show what a schedule exercised.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Totals {
    pub(crate) runs: [u32; 3],
    pub(crate) runs_after_change: u32,
    /// Runs that relied on coverage from before the latest ring change.
    pub(crate) restored: u32,
    pub(crate) not_run: u32,
    pub(crate) replays: u32,
    pub(crate) refused: u32,
}

/// Latest incarnation and clock of each host that an entry received.
type Clocks = HashMap<usize, (Incarnation, Duration)>;

pub(crate) struct Fleet {
    now: u64,
    random: u64,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    lists: Vec<Ring>,
    hosts: Vec<Host>,
    entries: Vec<(usize, Clocks)>,
    keys: Vec<Key>,
    /// Side of each host and entry, one bit each.
    partition: u8,
    settings: Settings,
    pub(crate) totals: Totals,
    pub(crate) trace: Vec<String>,
}

pub(crate) fn settings() -> Settings {
    Settings {
        horizon: Duration::from_secs(6),
        max_age: Duration::from_secs(3),
        max_keys: 5,
        ..Settings::default()
    }
}

fn scope() -> Scope {
    Scope {
        service: "ordini".into(),
        home: None,
    }
}

fn ring(number: usize, members: u8) -> Ring {
    let members = (0..HOSTS).filter(|host| members >> host & 1 == 1);
    ring::build(
        scope(),
        number as u64,
        members.map(|host| host.to_string()).collect(),
    )
}

impl Fleet {
    pub(crate) fn new(seed: u64, settings: Settings) -> Self {
        let lists = vec![ring(1, 0b111)];
        let first = Settings {
            first_start: true,
            ..settings
        };
        let mut fleet = Self {
            now: 0,
            random: seed,
            events: BTreeMap::new(),
            sequence: 0,
            hosts: Vec::new(),
            entries: vec![(0, HashMap::new()), (0, HashMap::new())],
            keys: Vec::new(),
            partition: 0,
            settings,
            totals: Totals::default(),
            trace: Vec::new(),
            lists,
        };
        for host in 0..HOSTS {
            let started = fleet.start(host, 0, 1, first);
            fleet.hosts.push(started);
            fleet.schedule(200 * host as u64, Event::Heartbeat(host));
        }
        fleet
    }

    pub(crate) fn run(&mut self, ops: &[(u16, Op)]) -> Result<(), String> {
        self.run_until(3000)?;
        for (wait, op) in ops {
            self.run_until(self.now + u64::from(*wait))?;
            self.trace.push(format!("{:>6} {op:?}", self.now));
            self.apply(*op);
        }
        self.run_until(self.now + 45_000)
    }

    fn start(&self, host: usize, list: usize, nonce: u32, settings: Settings) -> Host {
        let incarnation = Incarnation {
            started_ms: self.now,
            nonce,
        };
        let me = Sender {
            host: host.to_string(),
            incarnation,
        };
        let ring = self.lists[list].clone();
        // The clock of a host continues across restarts, so that timestamps of
        // an earlier incarnation look valid.
        let start_clock = self.now;
        let now = Duration::from_millis(start_clock);
        Host {
            nonce,
            list,
            start_clock,
            started: self.now,
            frozen_ms: 0,
            paused: None,
            lease: Lease::new(settings, me, now, wall(self.now, host), ring),
            table: Table::new(settings, incarnation),
        }
    }

    fn random_below(&mut self, below: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.random;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % below
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    /// Returns the delay of a message: mostly short, sometimes up to 9 s.
    fn delay(&mut self) -> u64 {
        match self.random_below(10) {
            0 => self.random_below(9000),
            _ => 1 + self.random_below(30),
        }
    }

    fn clock(&self, host: usize) -> Duration {
        let host = &self.hosts[host];
        Duration::from_millis(host.start_clock + self.now - host.started - host.frozen_ms)
    }

    fn reachable(&self, a: usize, b: usize) -> bool {
        (self.partition >> a ^ self.partition >> b) & 1 == 0
    }

    fn list_from_newest(&self, back: u8) -> usize {
        (self.lists.len() - 1).saturating_sub(back.into())
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Send {
                kind,
                back,
                entry,
                delay_ms,
            } => {
                let arrival = self.now + u64::from(delay_ms);
                let key = match usize::from(back) {
                    0 => self.add_key(kind, arrival),
                    back if back <= self.keys.len() => self.keys.len() - back,
                    _ => return,
                };
                let known = &mut self.keys[key];
                let (first, last) = (
                    known.first_arrival.min(arrival),
                    known.last_arrival.max(arrival),
                );
                // All attempts of a key without attempt numbers and creation
                // time reach an entry within the horizon of the first.
                let span = Duration::from_millis(last - first);
                if known.kind == Kind::Plain && span > self.settings.horizon {
                    return;
                }
                (known.first_arrival, known.last_arrival) = (first, last);
                known.attempts += 1;
                let attempt = known.attempts;
                let entry = usize::from(entry);
                self.schedule(
                    delay_ms.into(),
                    Event::Arrive {
                        key,
                        attempt,
                        entry,
                    },
                );
            }
            Op::Publish(members) => {
                let list = self.lists.len();
                self.lists.push(ring(list + 1, members));
                // Most receive the list soon, some late and some never.
                for host in 0..HOSTS + self.entries.len() {
                    let delay = match self.random_below(8) {
                        0 => continue,
                        1..4 => self.random_below(20_000),
                        _ => self.random_below(500),
                    };
                    self.schedule(delay, Event::Adopt { host, list });
                }
            }
            Op::PublishUnannounced(members) => {
                let number = self.lists.len() + 1;
                self.lists.push(ring(number, members));
            }
            Op::Adopt { host, back } => self.adopt(host.into(), self.list_from_newest(back)),
            Op::Pause { host, ms, frozen } => {
                let host = usize::from(host);
                if self.hosts[host].paused.is_none() {
                    self.hosts[host].paused = Some((self.now, frozen));
                    self.schedule(ms.into(), Event::Resume(host));
                }
            }
            Op::Restart { host, back } => {
                let host = usize::from(host);
                if self.hosts[host].paused.is_none() {
                    let nonce = self.hosts[host].nonce + 1;
                    let list = self.list_from_newest(back);
                    self.hosts[host] = self.start(host, list, nonce, self.settings);
                }
            }
            Op::Partition(partition) => self.partition = partition,
        }
    }

    fn add_key(&mut self, kind: Kind, arrival: u64) -> usize {
        let number = self.keys.len();
        let skew = self.random_below(1800);
        self.keys.push(Key {
            name: match kind {
                Kind::Timestamped => format!("{}-{number}", EPOCH_MS + self.now + skew - 900),
                Kind::Plain | Kind::Numbered => format!("key-{number}"),
            },
            kind,
            first_arrival: arrival,
            last_arrival: arrival,
            attempts: 0,
            runs: 0,
            pending_runs: 0,
            last_not_run: None,
        });
        number
    }

    fn adopt(&mut self, host: usize, list: usize) {
        if host >= HOSTS {
            let entry = &mut self.entries[host - HOSTS];
            entry.0 = entry.0.max(list);
        } else if list > self.hosts[host].list && self.hosts[host].paused.is_none() {
            let (now, wall) = (self.clock(host), wall(self.now, host));
            self.hosts[host].list = list;
            let ring = self.lists[list].clone();
            self.hosts[host].lease.on_ring(now, wall, ring);
        }
    }

    fn run_until(&mut self, end: u64) -> Result<(), String> {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            let host = match &event {
                Event::Heartbeat(host) | Event::Outcome { host, .. } => Some(*host),
                Event::Ask { to, .. } | Event::Confirm { to, .. } => Some(*to),
                Event::Claim(message) => Some(message.to),
                Event::Work { holder, .. } => holder.map(|(host, _)| host),
                Event::Adopt { host, .. } => Some(*host).filter(|host| *host < HOSTS),
                Event::Resume(_) | Event::Arrive { .. } => None,
            };
            if host.is_some_and(|host| self.hosts[host].paused.is_some()) {
                // The event waits in a buffer until the host resumes.
                self.schedule(50, event);
                continue;
            }
            self.handle(event)?;
        }
        self.now = end;
        Ok(())
    }

    fn handle(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::Heartbeat(host) => {
                let (now, wall) = (self.clock(host), wall(self.now, host));
                self.hosts[host].lease.on_tick(now, wall);
                let peers: BTreeSet<usize> = self.hosts[host]
                    .lease
                    .peers()
                    .iter()
                    .map(|peer| peer.parse().unwrap())
                    .collect();
                let nonce = self.hosts[host].nonce;
                for to in peers {
                    let delay = self.delay();
                    self.schedule(
                        delay,
                        Event::Ask {
                            from: host,
                            nonce,
                            to,
                            asked_at: now,
                        },
                    );
                }
                for entry in 0..self.entries.len() {
                    if self.reachable(host, HOSTS + entry) {
                        let reading = (self.hosts[host].lease.incarnation(), now);
                        self.entries[entry].1.insert(host, reading);
                    }
                }
                self.schedule(1000, Event::Heartbeat(host));
            }
            Event::Resume(host) => {
                let (since, frozen) = self.hosts[host].paused.take().unwrap();
                if frozen {
                    self.hosts[host].frozen_ms += self.now - since;
                }
                // A shorter pause is not detected.
                if self.now - since > 2000 {
                    let (now, wall) = (self.clock(host), wall(self.now, host));
                    self.hosts[host].lease.on_pause(now, wall);
                }
            }
            Event::Ask {
                from,
                nonce,
                to,
                asked_at,
            } => {
                if self.reachable(from, to) {
                    let answer = self.hosts[to].lease.confirmation(self.clock(to));
                    let delay = self.delay();
                    self.schedule(
                        delay,
                        Event::Confirm {
                            to: from,
                            nonce,
                            asked_at,
                            answer,
                        },
                    );
                }
            }
            Event::Confirm {
                to,
                nonce,
                asked_at,
                answer,
            } => {
                let from: usize = answer.from.host.parse().unwrap();
                if self.reachable(from, to) && self.hosts[to].nonce == nonce {
                    let (now, wall) = (self.clock(to), wall(self.now, to));
                    let lease = &mut self.hosts[to].lease;
                    lease.on_confirmation(now, wall, &answer, asked_at);
                }
            }
            Event::Adopt { host, list } => self.adopt(host, list),
            Event::Arrive {
                key,
                attempt,
                entry,
            } => return self.receive(key, attempt, entry),
            Event::Claim(message) => {
                if self.reachable(message.to, HOSTS + message.entry) {
                    return self.claim(&message);
                }
            }
            Event::Work { key, holder, roll } => return self.finish_work(key, holder, roll),
            Event::Outcome {
                key,
                host,
                nonce,
                verdict,
            } => {
                if self.hosts[host].nonce == nonce {
                    let now = self.clock(host);
                    let name = self.keys[key].name.clone();
                    self.hosts[host].table.finish(now, &name, verdict, None);
                    if verdict == Verdict::NotRun {
                        return self.check_not_run(key);
                    }
                }
            }
        }
        Ok(())
    }
}

/// Returns the wall clock of a host, which is wrong by up to 0.8 s.
fn wall(now: u64, host: usize) -> u64 {
    EPOCH_MS + now + 400 * host as u64 - 800
}
