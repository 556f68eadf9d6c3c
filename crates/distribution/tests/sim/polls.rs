//! Polls between hosts and their answers.

use std::sync::Arc;
use std::time::Duration;

use savorylane_distribution::source::{Answer, Candidate, Poll, Request, Step};

use super::{COMPRESSED_BYTES, DELTA_BASES, DELTA_BYTES, Event, MESSAGE_BYTES, Mode, Pending, Sim};

impl Sim {
    /// Takes the next step of a host's source, unless a poll is in flight.
    pub(super) fn step(&mut self, host: usize) {
        if self.settings.mode.has_no_readers() || self.daemons[host].poll != 0 {
            return;
        }
        let now = self.now;
        let run = self.daemons[host].run;
        let step = self.daemons[host].source.next(now);
        if !self.daemons[host].source.reads_store() {
            self.daemons[host].call = 0;
            self.daemons[host].watching = false;
        }
        self.daemons[host].turn += 1;
        let turn = self.daemons[host].turn;
        let request = match step {
            Step::Idle(wait) => {
                self.schedule(now + wait, Event::Step { host, run, turn });
                return;
            }
            Step::Poll(request) => request,
        };
        let Request {
            host: to,
            needs,
            wait,
            timeout,
        } = request;
        let to = self
            .locations
            .iter()
            .position(|location| location.name == to);
        let to = to.unwrap();
        self.last_poll += 1;
        self.counts.polls += 1;
        let number = self.last_poll;
        self.daemons[host].poll = number;
        let daemon = &self.daemons[host];
        let poll = Poll {
            from: Candidate {
                name: Arc::clone(&daemon.location.name),
                rate: daemon.rate,
            },
            data_centre: Arc::clone(&daemon.location.data_centre),
            needs,
            reading_time: daemon.source.reading_time(now),
        };
        let version = daemon.version;
        let arrives = self.send(host, to, MESSAGE_BYTES);
        let pending = Pending {
            host,
            run,
            number,
            receiver: to,
            sent: now,
            poll,
            version,
            until: arrives + wait,
            confirmed: Duration::ZERO,
        };
        self.schedule(
            now + timeout,
            Event::Timeout {
                host,
                run,
                number,
                from: to,
            },
        );
        let poll = Box::new(pending);
        self.schedule(arrives, Event::Poll { poll });
    }

    /// Handles a poll at its receiver: answers it, or holds it until there is
    /// news or its wait ends.
    pub(super) fn on_poll(&mut self, mut pending: Pending) {
        let receiver = pending.receiver;
        if !self.daemons[receiver].up {
            return;
        }
        let now = self.now;
        let age = self.daemons[receiver].age.at(now);
        pending.confirmed = now.saturating_sub(age.unwrap_or(now));
        let answer = self.daemons[receiver]
            .source
            .on_poll(now, &pending.poll, age);
        self.apply_role(receiver);
        if !answer.may_hold {
            self.reply(&pending, answer);
            return;
        }
        if pending.until <= now || self.daemons[receiver].version > pending.version {
            self.answer_poll(&pending);
            return;
        }
        let until = pending.until;
        self.daemons[receiver].held.push(pending.clone());
        let poll = Box::new(pending);
        self.schedule(until, Event::HoldEnd { poll });
    }

    /// Ends the hold of a poll and answers it.
    pub(super) fn answer_poll(&mut self, pending: &Pending) {
        let receiver = pending.receiver;
        if !self.daemons[receiver].up {
            return;
        }
        self.daemons[receiver]
            .held
            .retain(|held| held.number != pending.number);
        let now = self.now;
        let age = self.daemons[receiver].age.at(now);
        let answer = self.daemons[receiver]
            .source
            .on_poll(now, &pending.poll, age);
        self.reply(pending, answer);
    }

    /// Sends the answer to a poll, with the receiver's version if it is newer.
    pub(super) fn reply(&mut self, pending: &Pending, answer: Answer) {
        let (receiver, now) = (pending.receiver, self.now);
        let version = self.daemons[receiver].version;
        let newer = self.published.range(pending.version + 1..);
        let between = newer.take_while(|(known, _)| **known <= version).count() as u64;
        let bytes = match between {
            0 => MESSAGE_BYTES,
            _ if self.settings.mode == Mode::ReadersWhole => COMPRESSED_BYTES,
            _ if pending.version == 0 || between > DELTA_BASES => COMPRESSED_BYTES,
            news => DELTA_BYTES + 200 * news,
        };
        let arrives = self.send(receiver, pending.host, bytes);
        let transit = arrives
            .saturating_sub(now)
            .min(now.saturating_sub(pending.sent));
        self.schedule(
            arrives,
            Event::Answer {
                host: pending.host,
                run: pending.run,
                number: pending.number,
                from: receiver,
                answer: Box::new(answer),
                version,
                transit,
            },
        );
    }
}
