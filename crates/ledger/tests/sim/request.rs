//! Requests from entry to upstream, and the checks of what runs.

use savorylane_ledger::book::{self, Claim, Request};
use savorylane_ledger::entry::{Delivery, Step, undelivered};
use savorylane_ledger::ring;
use savorylane_wire::Verdict;

use super::{Event, Fleet, Kind, Sent, wall};

impl Fleet {
    pub(super) fn arrive(&mut self, key: usize, attempt: u32, entry: usize) -> Result<(), String> {
        let (list, stamps) = &self.entries[entry];
        let ring = self.lists[*list].clone();
        let to: usize = ring::holder(&ring, &self.keys[key].name)
            .unwrap()
            .parse()
            .unwrap();
        let heard = stamps.get(&to).copied();
        let bound = self.hosts[to].tenure.incarnation();
        if heard.is_none_or(|(incarnation, _)| incarnation != bound) {
            // The entry knows an earlier run; its connection is refused.
            let delivery = if heard.is_some() {
                Delivery::Never
            } else {
                Delivery::Unknown
            };
            let attempt = (self.keys[key].kind == Kind::Marked).then_some(attempt);
            if undelivered(attempt, delivery) == Step::RunElsewhere {
                return self.grant(key, self.now, None);
            }
            return Ok(());
        }
        let sent = Sent {
            key,
            attempt,
            entry,
            to,
            bound,
            ring,
            stamp: heard.map(|(_, stamp)| stamp),
            received: self.now,
        };
        for copy in 0..1 + self.random(5) / 3 {
            let delay = match copy {
                0 => self.delay(),
                _ => self.random(4000),
            };
            self.after(delay, Event::Claim(sent.clone()));
        }
        Ok(())
    }

    pub(super) fn claim(&mut self, sent: &Sent) -> Result<(), String> {
        let (now, wall) = (self.local(sent.to), wall(self.now, sent.to));
        let (name, kind) = (self.keys[sent.key].name.clone(), self.keys[sent.key].kind);
        let request = Request {
            key: &name,
            attempt: (kind == Kind::Marked).then_some(sent.attempt),
            key_ms: book::key_time(&name),
            age: sent.stamp.and_then(|stamp| book::age(now, stamp)),
            bound: sent.bound,
            ring: sent.ring.hash,
        };
        let host = &mut self.hosts[sent.to];
        let claim = host.book.claim(&host.tenure, now, wall, &request);
        self.trace.push(format!(
            "{:>6} {name} attempt {} at {}: {claim:?}",
            self.now, sent.attempt, sent.to
        ));
        match claim {
            Claim::Run => {
                let holder = (sent.to, self.hosts[sent.to].run);
                let host = &self.hosts[sent.to];
                let gained = kind != Kind::Marked && (host.list > 0 || host.run > 1);
                self.totals.late_runs += u32::from(gained);
                let carried = host.tenure.coverage(now, &name) != host.tenure.active(now);
                self.totals.carried += u32::from(carried && kind != Kind::Marked);
                return self.grant(sent.key, sent.received, Some(holder));
            }
            Claim::Refuse(Verdict::NotRun, _) => return self.deny(sent.key),
            Claim::Replay(_) if self.keys[sent.key].runs != 1 => {
                return Err(format!("{name} replayed, but did not run"));
            }
            Claim::Replay(_) => self.totals.replays += 1,
            Claim::Wait | Claim::Refuse(..) => self.totals.refused += 1,
        }
        Ok(())
    }

    fn grant(
        &mut self,
        id: usize,
        received: u64,
        holder: Option<(usize, u32)>,
    ) -> Result<(), String> {
        let delay = self.delay();
        let fate = self.random(4);
        self.after(
            delay,
            Event::Work {
                key: id,
                holder,
                fate,
            },
        );
        let key = &mut self.keys[id];
        key.unresolved += 1;
        if key.denied.is_some_and(|denied| received <= denied) {
            return Err(format!(
                "{} runs after a not-run said it would not",
                key.name
            ));
        }
        Ok(())
    }

    pub(super) fn work(
        &mut self,
        id: usize,
        holder: Option<(usize, u32)>,
        fate: u64,
    ) -> Result<(), String> {
        let key = &mut self.keys[id];
        let verdict = match fate {
            // The gatekeeper refuses it.
            0 => Verdict::NotRun,
            // The holder gives up, and the work runs nevertheless.
            1 if holder.is_some() => {
                self.after(
                    5000,
                    Event::Work {
                        key: id,
                        holder: None,
                        fate: 2,
                    },
                );
                Verdict::MayHaveRun
            }
            _ => {
                key.runs += 1;
                if key.runs > 1 || key.denied.is_some_and(|at| at >= self.now) {
                    return Err(format!("{} ran {} times", key.name, key.runs));
                }
                self.totals.runs[key.kind as usize] += 1;
                Verdict::Ran
            }
        };
        if verdict != Verdict::MayHaveRun {
            self.keys[id].unresolved -= 1;
        }
        if let Some((host, run)) = holder {
            let delay = self.random(3000);
            self.after(
                delay,
                Event::Outcome {
                    key: id,
                    host,
                    run,
                    verdict,
                },
            );
        }
        Ok(())
    }

    /// Checks a `not-run` that is given now.
    pub(super) fn deny(&mut self, id: usize) -> Result<(), String> {
        self.totals.not_run += 1;
        let key = &mut self.keys[id];
        key.denied = Some(self.now);
        if key.runs > 0 || key.unresolved > 0 {
            return Err(format!("{}: not-run, but it ran or may yet run", key.name));
        }
        Ok(())
    }
}
