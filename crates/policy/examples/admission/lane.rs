//! Runs the gate with and without the late lane. A refused caller returns twice,
//! after the hint, which it honours up to a third of the time that it has.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use savorylane_intent::document::Work;
use savorylane_policy::gate::{Action, Decision, Gate, Outcome, Request};

use crate::Fate;
use crate::load::{Arrival, Pattern, end_of, seconds};

/// Maximum number of times that a refused caller returns.
const RETURNS: u32 = 2;
/// Time that a caller waits, as a multiple of the time limit of one request.
const PATIENCE: f64 = 2.0;

/// Rule under comparison.
#[derive(Clone, Copy)]
pub(crate) enum Rule {
    /// Requests that cannot be in time are refused.
    Refuse,
    /// They may wait in the late lane.
    Lane,
    /// As [`Rule::Lane`], and the target of a request that comes back counts
    /// from the first one of its caller.
    Age,
}

impl Rule {
    pub(crate) const ALL: [Self; 3] = [Self::Refuse, Self::Lane, Self::Age];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Refuse => "refuse",
            Self::Lane => "late-lane",
            Self::Age => "lane-and-age",
        }
    }
}

#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// A caller sends its request; the number counts its returns.
    Send(usize, u32),
    End(u64),
    Wake,
}

struct Sent {
    caller: usize,
    returns: u32,
    at: Duration,
    request: Request,
}

struct Run<'a> {
    pattern: &'a Pattern,
    rule: Rule,
    arrivals: Vec<Arrival>,
    slow: Vec<bool>,
    gate: Gate,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    sent: BTreeMap<u64, Sent>,
    next_id: u64,
    fates: Vec<Fate>,
}

/// Runs a pattern and returns the fate of each class.
pub(crate) fn run(pattern: &Pattern, rule: Rule, seed: u64) -> Vec<Fate> {
    let arrivals = pattern.arrivals(seed);
    let send =
        |(index, arrival): (usize, &Arrival)| Reverse((seconds(arrival.at), Event::Send(index, 0)));
    let mut run = Run {
        pattern,
        rule,
        events: arrivals.iter().enumerate().map(send).collect(),
        arrivals,
        slow: pattern.slow_periods(seed),
        gate: Gate::with_prior(pattern.slots, 0.25),
        sent: BTreeMap::new(),
        next_id: 0,
        fates: vec![Fate::default(); pattern.classes.len()],
    };
    while let Some(Reverse((now, event))) = run.events.pop() {
        match event {
            Event::Send(caller, returns) => run.send(now, caller, returns),
            Event::End(id) => run.end(now, id),
            Event::Wake => {}
        }
        while let Some(action) = run.gate.next_action(now) {
            match action {
                Action::Start(id) => run.start(now, id),
                Action::Refuse(id, _) => {
                    let class = run.arrivals[run.sent[&id].caller].class;
                    run.fates[class].displaced += 1.0;
                    run.refuse(now, id);
                }
            }
        }
        if let Some(wake) = run.gate.wake_at() {
            run.events.push(Reverse((
                wake.max(now + Duration::from_millis(1)),
                Event::Wake,
            )));
        }
    }
    run.fates
}

impl Run<'_> {
    fn send(&mut self, now: Duration, caller: usize, returns: u32) {
        let index = self.arrivals[caller].class;
        let class = &self.pattern.classes[index];
        self.fates[index].offered += f64::from(u32::from(returns == 0));
        let id = self.next_id;
        self.next_id += 1;
        let counted_from = match self.rule {
            Rule::Refuse | Rule::Lane => now,
            Rule::Age => seconds(self.arrivals[caller].at),
        };
        let request = Request {
            id,
            class: index as u64,
            length: Work::Short,
            shed_order: class.shed_order,
            deadline: now + seconds(class.limit_s),
            target: (counted_from + seconds(class.target_s)).max(now),
            caller: id,
            exclusive: false,
            late: !matches!(self.rule, Rule::Refuse),
            stranger: false,
        };
        self.sent.insert(
            id,
            Sent {
                caller,
                returns,
                at: now,
                request,
            },
        );
        match self.gate.arrive(now, request) {
            Decision::Run => self.start(now, id),
            Decision::Wait => {}
            Decision::Refuse(_) => self.refuse(now, id),
        }
    }

    fn start(&mut self, now: Duration, id: u64) {
        let work_s = self.arrivals[self.sent[&id].caller].work_s;
        let end = end_of(&self.slow, now.as_secs_f64(), work_s);
        let deadline = self.sent[&id].request.deadline;
        self.events
            .push(Reverse((seconds(end).min(deadline), Event::End(id))));
    }

    fn end(&mut self, now: Duration, id: u64) {
        let Some(sent) = self.sent.remove(&id) else {
            return;
        };
        let answered = now < sent.request.deadline;
        let outcome = if answered {
            Outcome::Answered
        } else {
            Outcome::Cancelled
        };
        self.gate.finish(now, id, outcome);
        let arrival = &self.arrivals[sent.caller];
        let class = &self.pattern.classes[arrival.class];
        let fate = &mut self.fates[arrival.class];
        if !answered {
            return;
        }
        if now <= seconds(arrival.at + class.target_s) {
            fate.on_time += 1.0;
            fate.credit += class.worth;
        } else {
            fate.late += 1.0;
            fate.credit += class.late_worth;
        }
    }

    fn refuse(&mut self, now: Duration, id: u64) {
        let Some(sent) = self.sent.remove(&id) else {
            return;
        };
        let hint = self.gate.retry_after_ms(&sent.request);
        let arrival = &self.arrivals[sent.caller];
        let limit_s = self.pattern.classes[arrival.class].limit_s;
        let end = seconds(arrival.at + PATIENCE * limit_s);
        let third = end.saturating_sub(now) / 3;
        let back = now + Duration::from_millis(hint.into()).min(third);
        if sent.returns < RETURNS && sent.at < back {
            let event = Event::Send(sent.caller, sent.returns + 1);
            self.events.push(Reverse((back, event)));
        }
    }
}
