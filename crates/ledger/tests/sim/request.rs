//! Path of a request from its entry to the upstream, and the checks that a key
//! runs at most once and that `not-run` is true.

use savorylane_ledger::dedup::{self, Claim, Request};
use savorylane_ledger::entry::{Delivery, Fallback, fallback};
use savorylane_ledger::ring;
use savorylane_wire::Verdict;

use super::{Event, Fleet, Kind, Message, wall};

impl Fleet {
    pub(super) fn receive(&mut self, key: usize, attempt: u32, entry: usize) -> Result<(), String> {
        let (list, clocks) = &self.entries[entry];
        let ring = self.lists[*list].clone();
        let to: usize = ring::holder(&ring, &self.keys[key].name)
            .unwrap()
            .parse()
            .unwrap();
        let reading = clocks.get(&to).copied();
        let incarnation = self.hosts[to].lease.incarnation();
        if reading.is_none_or(|(known, _)| known != incarnation) {
            // The entry knows no incarnation, or an earlier one, whose
            // connection is refused.
            let delivery = if reading.is_some() {
                Delivery::Never
            } else {
                Delivery::Unknown
            };
            let attempt = (self.keys[key].kind == Kind::Numbered).then_some(attempt);
            if fallback(attempt, delivery) == Fallback::RunElsewhere {
                return self.start_work(key, self.now, None);
            }
            return Ok(());
        }
        let message = Message {
            key,
            attempt,
            entry,
            to,
            incarnation,
            ring,
            timestamp: reading.map(|(_, timestamp)| timestamp),
            received: self.now,
        };
        for copy in 0..1 + self.random_below(5) / 3 {
            let delay = match copy {
                0 => self.delay(),
                _ => self.random_below(4000),
            };
            self.schedule(delay, Event::Claim(message.clone()));
        }
        Ok(())
    }

    pub(super) fn claim(&mut self, message: &Message) -> Result<(), String> {
        let (now, wall) = (self.clock(message.to), wall(self.now, message.to));
        let (name, kind) = (
            self.keys[message.key].name.clone(),
            self.keys[message.key].kind,
        );
        let request = Request {
            key: &name,
            attempt: (kind == Kind::Numbered).then_some(message.attempt),
            key_ms: dedup::key_time(&name),
            age: message
                .timestamp
                .and_then(|timestamp| dedup::age(now, timestamp)),
            incarnation: message.incarnation,
            ring_hash: message.ring.hash,
        };
        let host = &mut self.hosts[message.to];
        let claim = host.table.claim(&host.lease, now, wall, &request);
        self.trace.push(format!(
            "{:>6} {name} attempt {} at {}: {claim:?}",
            self.now, message.attempt, message.to
        ));
        match claim {
            Claim::Run => {
                let holder = (message.to, self.hosts[message.to].nonce);
                let host = &self.hosts[message.to];
                let late = kind != Kind::Numbered && (host.list > 0 || host.nonce > 1);
                self.totals.runs_after_change += u32::from(late);
                let restored = host.lease.coverage(now, &name) != host.lease.activation(now);
                self.totals.restored += u32::from(restored && kind != Kind::Numbered);
                return self.start_work(message.key, message.received, Some(holder));
            }
            Claim::Refuse(Verdict::NotRun, _) => return self.check_not_run(message.key),
            Claim::Replay(_) if self.keys[message.key].runs != 1 => {
                return Err(format!("{name} replayed, but did not run exactly once"));
            }
            Claim::Replay(_) => self.totals.replays += 1,
            Claim::Wait | Claim::Refuse(..) => self.totals.refused += 1,
        }
        Ok(())
    }

    fn start_work(
        &mut self,
        id: usize,
        received: u64,
        holder: Option<(usize, u32)>,
    ) -> Result<(), String> {
        let delay = self.delay();
        let roll = self.random_below(4);
        self.schedule(
            delay,
            Event::Work {
                key: id,
                holder,
                roll,
            },
        );
        let key = &mut self.keys[id];
        key.pending_runs += 1;
        if key
            .last_not_run
            .is_some_and(|last_not_run| received <= last_not_run)
        {
            return Err(format!(
                "{} may run although it was answered not-run",
                key.name
            ));
        }
        Ok(())
    }

    pub(super) fn finish_work(
        &mut self,
        id: usize,
        holder: Option<(usize, u32)>,
        roll: u64,
    ) -> Result<(), String> {
        let key = &mut self.keys[id];
        let verdict = match roll {
            // The gatekeeper refuses the request.
            0 => Verdict::NotRun,
            // The holder gives up, and the request runs nevertheless.
            1 if holder.is_some() => {
                self.schedule(
                    5000,
                    Event::Work {
                        key: id,
                        holder: None,
                        roll: 2,
                    },
                );
                Verdict::MayHaveRun
            }
            _ => {
                key.runs += 1;
                if key.runs > 1 || key.last_not_run.is_some_and(|at| at >= self.now) {
                    return Err(format!("{} ran {} times", key.name, key.runs));
                }
                self.totals.runs[key.kind as usize] += 1;
                Verdict::Ran
            }
        };
        if verdict != Verdict::MayHaveRun {
            self.keys[id].pending_runs -= 1;
        }
        if let Some((host, nonce)) = holder {
            let delay = self.random_below(3000);
            self.schedule(
                delay,
                Event::Outcome {
                    key: id,
                    host,
                    nonce,
                    verdict,
                },
            );
        }
        Ok(())
    }

    /// Checks that a `not-run` answered now is true.
    pub(super) fn check_not_run(&mut self, id: usize) -> Result<(), String> {
        self.totals.not_run += 1;
        let key = &mut self.keys[id];
        key.last_not_run = Some(self.now);
        if key.runs > 0 || key.pending_runs > 0 {
            return Err(format!(
                "{}: answered not-run, but ran or may still run",
                key.name
            ));
        }
        Ok(())
    }
}
