//! Polls between hosts and their answers.

use std::sync::Arc;
use std::time::Duration;

use savorylane_distribution::source::{Answer, Candidate, Poll, Request, Step};

use super::{Asked, BASES, DIFFERENCE, Event, MESSAGE, Mode, PACKED, Sim};

impl Sim {
    pub(super) fn drive(&mut self, host: usize) {
        if self.settings.mode.all_read() || self.nodes[host].polling != 0 {
            return;
        }
        let now = self.now;
        let run = self.nodes[host].run;
        let step = self.nodes[host].source.next(now);
        if !self.nodes[host].source.reads() {
            self.nodes[host].call = 0;
            self.nodes[host].watching = false;
        }
        self.nodes[host].turn += 1;
        let turn = self.nodes[host].turn;
        let request = match step {
            Step::Idle(wait) => {
                self.at(now + wait, Event::Drive { host, run, turn });
                return;
            }
            Step::Poll(request) => request,
        };
        let Request {
            host: to,
            needs,
            wait,
            limit,
        } = request;
        let to = self.places.iter().position(|place| place.name == to);
        let to = to.unwrap();
        self.polls += 1;
        self.counts.polls += 1;
        let number = self.polls;
        self.nodes[host].polling = number;
        let node = &self.nodes[host];
        let poll = Poll {
            from: Candidate {
                name: Arc::clone(&node.place.name),
                rate: node.rate,
            },
            data_centre: Arc::clone(&node.place.data_centre),
            needs,
            reading: node.source.reading(now),
        };
        let version = node.version;
        let arrives = self.send(host, to, MESSAGE);
        let asked = Asked {
            host,
            run,
            number,
            at: to,
            sent: now,
            poll,
            version,
            until: arrives + wait,
            confirmed: Duration::ZERO,
        };
        self.at(
            now + limit,
            Event::Lost {
                host,
                run,
                number,
                from: to,
            },
        );
        let poll = Box::new(asked);
        self.at(arrives, Event::Asked { poll });
    }

    pub(super) fn asked(&mut self, mut asked: Asked) {
        let at = asked.at;
        if !self.nodes[at].up {
            return;
        }
        let now = self.now;
        let age = self.nodes[at].age.of(now);
        asked.confirmed = now.saturating_sub(age.unwrap_or(now));
        let told = self.nodes[at].source.on_poll(now, &asked.poll, age);
        self.after(at);
        if !told.hold {
            self.reply(&asked, told);
            return;
        }
        if asked.until <= now || self.nodes[at].version > asked.version {
            self.answer(&asked);
            return;
        }
        let until = asked.until;
        self.nodes[at].held.push(asked.clone());
        let poll = Box::new(asked);
        self.at(until, Event::Hold { poll });
    }

    pub(super) fn answer(&mut self, asked: &Asked) {
        let at = asked.at;
        if !self.nodes[at].up {
            return;
        }
        self.nodes[at]
            .held
            .retain(|held| held.number != asked.number);
        let now = self.now;
        let age = self.nodes[at].age.of(now);
        let answer = self.nodes[at].source.on_poll(now, &asked.poll, age);
        self.reply(asked, answer);
    }

    /// Sends the answer to a poll.
    pub(super) fn reply(&mut self, asked: &Asked, answer: Answer) {
        let (at, now) = (asked.at, self.now);
        let version = self.nodes[at].version;
        let newer = self.published.range(asked.version + 1..);
        let between = newer.take_while(|(known, _)| **known <= version).count() as u64;
        let bytes = match between {
            0 => MESSAGE,
            _ if self.settings.mode == Mode::ReadersWhole => PACKED,
            _ if asked.version == 0 || between > BASES => PACKED,
            news => DIFFERENCE + 200 * news,
        };
        let arrives = self.send(at, asked.host, bytes);
        let transit = arrives
            .saturating_sub(now)
            .min(now.saturating_sub(asked.sent));
        self.at(
            arrives,
            Event::Answered {
                host: asked.host,
                run: asked.run,
                number: asked.number,
                from: at,
                answer: Box::new(answer),
                version,
                transit,
            },
        );
    }
}
