//! Fleet of entries and holders in virtual time, with lost, late, duplicated
//! and reordered messages, partitions, pauses, restarts and list changes.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use savorylane_ledger::{Book, Settings, Tenure, ring};
use savorylane_wire::control::{Confirmation, Ring, Scope, Sender};
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
    Wake(usize),
    Ask {
        from: usize,
        run: u32,
        to: usize,
        asked_at: Duration,
    },
    Confirm {
        to: usize,
        run: u32,
        asked_at: Duration,
        answer: Confirmation,
    },
    Arrive {
        key: usize,
        attempt: u32,
        entry: usize,
    },
    Claim(Sent),
    /// Work on its way from the holder to the upstream.
    Work {
        key: usize,
        holder: Option<(usize, u32)>,
        fate: u64,
    },
    Outcome {
        key: usize,
        host: usize,
        run: u32,
        verdict: Verdict,
    },
}

/// Request on its way from entry to holder.
#[derive(Clone)]
struct Sent {
    key: usize,
    attempt: u32,
    entry: usize,
    to: usize,
    bound: Incarnation,
    ring: Ring,
    stamp: Option<Duration>,
    received: u64,
}

struct Host {
    run: u32,
    list: usize,
    /// Reading of the clock at the start of the process.
    epoch: u64,
    started: u64,
    frozen: u64,
    paused: Option<(u64, bool)>,
    tenure: Tenure,
    book: Book,
}

struct Key {
    name: String,
    kind: Kind,
    /// Earliest and latest arrival at an entry.
    first: u64,
    last: u64,
    next: u32,
    runs: u32,
    /// Runs granted that may still happen.
    unresolved: u32,
    /// Time of the latest `not-run`.
    denied: Option<u64>,
}

/// Totals that show what a schedule exercised.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Totals {
    pub(crate) runs: [u32; 3],
    pub(crate) late_runs: u32,
    /// Runs by coverage from before the latest change of the ring.
    pub(crate) carried: u32,
    pub(crate) not_run: u32,
    pub(crate) replays: u32,
    pub(crate) refused: u32,
}

/// Run and clock that an entry last heard from each host.
type Stamps = HashMap<usize, (Incarnation, Duration)>;

pub(crate) struct Fleet {
    now: u64,
    random: u64,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    lists: Vec<Ring>,
    hosts: Vec<Host>,
    entries: Vec<(usize, Stamps)>,
    keys: Vec<Key>,
    sides: u8,
    settings: Settings,
    pub(crate) totals: Totals,
    pub(crate) trace: Vec<String>,
}

pub(crate) fn settings() -> Settings {
    Settings {
        horizon: Duration::from_secs(6),
        max_age: Duration::from_secs(3),
        keys: 5,
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
            sides: 0,
            settings,
            totals: Totals::default(),
            trace: Vec::new(),
            lists,
        };
        for host in 0..HOSTS {
            let started = fleet.start(host, 0, 1, first);
            fleet.hosts.push(started);
            fleet.after(200 * host as u64, Event::Heartbeat(host));
        }
        fleet
    }

    pub(crate) fn play(&mut self, ops: &[(u16, Op)]) -> Result<(), String> {
        self.run_until(3000)?;
        for (wait, op) in ops {
            self.run_until(self.now + u64::from(*wait))?;
            self.trace.push(format!("{:>6} {op:?}", self.now));
            self.apply(*op);
        }
        self.run_until(self.now + 45_000)
    }

    fn start(&self, host: usize, list: usize, run: u32, settings: Settings) -> Host {
        let incarnation = Incarnation {
            started_ms: self.now,
            nonce: run,
        };
        let me = Sender {
            host: host.to_string(),
            incarnation,
        };
        let ring = self.lists[list].clone();
        // The clock of a host goes on over restarts, so that stamps of an
        // earlier run look valid.
        let epoch = self.now;
        let now = Duration::from_millis(epoch);
        Host {
            run,
            list,
            epoch,
            started: self.now,
            frozen: 0,
            paused: None,
            tenure: Tenure::new(settings, me, now, wall(self.now, host), ring),
            book: Book::new(settings, incarnation),
        }
    }

    fn random(&mut self, below: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.random;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % below
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    /// Delay of a message: mostly short, sometimes very long.
    fn delay(&mut self) -> u64 {
        match self.random(10) {
            0 => self.random(9000),
            _ => 1 + self.random(30),
        }
    }

    fn local(&self, host: usize) -> Duration {
        let host = &self.hosts[host];
        Duration::from_millis(host.epoch + self.now - host.started - host.frozen)
    }

    fn reach(&self, a: usize, b: usize) -> bool {
        (self.sides >> a ^ self.sides >> b) & 1 == 0
    }

    fn newest(&self, back: u8) -> usize {
        (self.lists.len() - 1).saturating_sub(back.into())
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Send {
                kind,
                back,
                entry,
                late,
            } => {
                let arrival = self.now + u64::from(late);
                let key = match usize::from(back) {
                    0 => self.add_key(kind, arrival),
                    back if back <= self.keys.len() => self.keys.len() - back,
                    _ => return,
                };
                let known = &mut self.keys[key];
                let (first, last) = (known.first.min(arrival), known.last.max(arrival));
                // All attempts of an unmarked key without a time reach an
                // entry within the horizon of the first.
                let span = Duration::from_millis(last - first);
                if known.kind == Kind::Plain && span > self.settings.horizon {
                    return;
                }
                (known.first, known.last) = (first, last);
                known.next += 1;
                let attempt = known.next;
                let entry = usize::from(entry);
                self.after(
                    late.into(),
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
                // Most hear of it soon, some late and some never.
                for host in 0..HOSTS + self.entries.len() {
                    let delay = match self.random(8) {
                        0 => continue,
                        1..4 => self.random(20_000),
                        _ => self.random(500),
                    };
                    self.after(delay, Event::Adopt { host, list });
                }
            }
            Op::Hide(members) => {
                let number = self.lists.len() + 1;
                self.lists.push(ring(number, members));
            }
            Op::Adopt { host, back } => self.adopt(host.into(), self.newest(back)),
            Op::Pause { host, ms, frozen } => {
                let host = usize::from(host);
                if self.hosts[host].paused.is_none() {
                    self.hosts[host].paused = Some((self.now, frozen));
                    self.after(ms.into(), Event::Wake(host));
                }
            }
            Op::Restart { host, back } => {
                let host = usize::from(host);
                if self.hosts[host].paused.is_none() {
                    let run = self.hosts[host].run + 1;
                    let list = self.newest(back);
                    self.hosts[host] = self.start(host, list, run, self.settings);
                }
            }
            Op::Partition(sides) => self.sides = sides,
        }
    }

    fn add_key(&mut self, kind: Kind, arrival: u64) -> usize {
        let number = self.keys.len();
        let skew = self.random(1800);
        self.keys.push(Key {
            name: match kind {
                Kind::Timed => format!("{}-{number}", EPOCH_MS + self.now + skew - 900),
                Kind::Plain | Kind::Marked => format!("key-{number}"),
            },
            kind,
            first: arrival,
            last: arrival,
            next: 0,
            runs: 0,
            unresolved: 0,
            denied: None,
        });
        number
    }

    fn adopt(&mut self, host: usize, list: usize) {
        if host >= HOSTS {
            let entry = &mut self.entries[host - HOSTS];
            entry.0 = entry.0.max(list);
        } else if list > self.hosts[host].list && self.hosts[host].paused.is_none() {
            let (now, wall) = (self.local(host), wall(self.now, host));
            self.hosts[host].list = list;
            let ring = self.lists[list].clone();
            self.hosts[host].tenure.on_ring(now, wall, ring);
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
                Event::Claim(sent) => Some(sent.to),
                Event::Work { holder, .. } => holder.map(|(host, _)| host),
                Event::Adopt { host, .. } => Some(*host).filter(|host| *host < HOSTS),
                Event::Wake(_) | Event::Arrive { .. } => None,
            };
            if host.is_some_and(|host| self.hosts[host].paused.is_some()) {
                // It waits in a buffer until the host wakes.
                self.after(50, event);
                continue;
            }
            self.step(event)?;
        }
        self.now = end;
        Ok(())
    }

    fn step(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::Heartbeat(host) => {
                let (now, wall) = (self.local(host), wall(self.now, host));
                self.hosts[host].tenure.on_tick(now, wall);
                let peers: BTreeSet<usize> = self.hosts[host]
                    .tenure
                    .peers()
                    .iter()
                    .map(|peer| peer.parse().unwrap())
                    .collect();
                let run = self.hosts[host].run;
                for to in peers {
                    let delay = self.delay();
                    self.after(
                        delay,
                        Event::Ask {
                            from: host,
                            run,
                            to,
                            asked_at: now,
                        },
                    );
                }
                for entry in 0..self.entries.len() {
                    if self.reach(host, HOSTS + entry) {
                        let heard = (self.hosts[host].tenure.incarnation(), now);
                        self.entries[entry].1.insert(host, heard);
                    }
                }
                self.after(1000, Event::Heartbeat(host));
            }
            Event::Wake(host) => {
                let (since, frozen) = self.hosts[host].paused.take().unwrap();
                if frozen {
                    self.hosts[host].frozen += self.now - since;
                }
                // A shorter pause goes unnoticed.
                if self.now - since > 2000 {
                    let (now, wall) = (self.local(host), wall(self.now, host));
                    self.hosts[host].tenure.on_pause(now, wall);
                }
            }
            Event::Ask {
                from,
                run,
                to,
                asked_at,
            } => {
                if self.reach(from, to) {
                    let answer = self.hosts[to].tenure.answer(self.local(to));
                    let delay = self.delay();
                    self.after(
                        delay,
                        Event::Confirm {
                            to: from,
                            run,
                            asked_at,
                            answer,
                        },
                    );
                }
            }
            Event::Confirm {
                to,
                run,
                asked_at,
                answer,
            } => {
                let from: usize = answer.from.host.parse().unwrap();
                if self.reach(from, to) && self.hosts[to].run == run {
                    let (now, wall) = (self.local(to), wall(self.now, to));
                    let tenure = &mut self.hosts[to].tenure;
                    tenure.on_confirmation(now, wall, &answer, asked_at);
                }
            }
            Event::Adopt { host, list } => self.adopt(host, list),
            Event::Arrive {
                key,
                attempt,
                entry,
            } => return self.arrive(key, attempt, entry),
            Event::Claim(sent) => {
                if self.reach(sent.to, HOSTS + sent.entry) {
                    return self.claim(&sent);
                }
            }
            Event::Work { key, holder, fate } => return self.work(key, holder, fate),
            Event::Outcome {
                key,
                host,
                run,
                verdict,
            } => {
                if self.hosts[host].run == run {
                    let now = self.local(host);
                    let name = self.keys[key].name.clone();
                    self.hosts[host].book.finish(now, &name, verdict, None);
                    if verdict == Verdict::NotRun {
                        return self.deny(key);
                    }
                }
            }
        }
        Ok(())
    }
}

/// Wall clock of a host; differs by up to 0.8 s.
fn wall(now: u64, host: usize) -> u64 {
    EPOCH_MS + now + 400 * host as u64 - 800
}
