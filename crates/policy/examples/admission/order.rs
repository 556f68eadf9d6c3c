//! Compares orders of service for classes that differ in priority, work and
//! slack, on a queue of its own.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::Fate;
use crate::load::{Pattern, end_of};

/// Order in which waiting requests get free slots.
#[derive(Clone, Copy)]
pub(crate) enum Rule {
    /// Lowest shed order, then earliest deadline.
    Strict,
    /// Highest weight for each second of slot time; the weight halves with each
    /// step of the shed order.
    Rate,
    /// Least time until the request must start to be in time.
    Slack,
    /// Earliest target.
    Target,
    /// As [`Rule::Strict`], but a request with less work and less slack goes
    /// first if the other one can still be in time after it.
    Yield,
    /// As [`Rule::Strict`], but calls go first.
    Calls,
}

/// A waiting request; times are in seconds.
#[derive(Clone, Copy)]
struct Job {
    class: usize,
    at: f64,
    work_s: f64,
    shed_order: u8,
    /// Whether the request is a call of running work.
    nested: bool,
    expected_s: f64,
    target: f64,
    deadline: f64,
}

impl Rule {
    pub(crate) const ALL: [Self; 6] = [
        Self::Strict,
        Self::Rate,
        Self::Slack,
        Self::Target,
        Self::Yield,
        Self::Calls,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Strict => "strict",
            Self::Rate => "rate",
            Self::Slack => "least-slack",
            Self::Target => "edf-target",
            Self::Yield => "yield",
            Self::Calls => "calls-first",
        }
    }

    /// Returns the order of service, lowest first.
    fn key(self, job: &Job, now: f64) -> (f64, f64) {
        match self {
            Self::Strict | Self::Yield => (job.shed_order.into(), job.deadline),
            Self::Calls if job.nested => (-1.0, job.deadline),
            Self::Calls => (job.shed_order.into(), job.deadline),
            Self::Rate => {
                let weight = 0.5_f64.powi(job.shed_order.into());
                (-weight / job.expected_s, job.deadline)
            }
            Self::Slack => (job.target - job.expected_s - now, job.deadline),
            Self::Target => (job.target, job.deadline),
        }
    }

    /// Returns the index of the job to start.
    fn next(self, queue: &[Job], now: f64) -> Option<usize> {
        let order = |one: &usize, other: &usize| {
            let (one, other) = (self.key(&queue[*one], now), self.key(&queue[*other], now));
            one.0.total_cmp(&other.0).then(one.1.total_cmp(&other.1))
        };
        let first = (0..queue.len()).min_by(order)?;
        if !matches!(self, Self::Yield) {
            return Some(first);
        }
        let slack = |job: &Job| job.target - job.expected_s - now;
        let leader = &queue[first];
        (0..queue.len())
            .filter(|index| {
                let job = &queue[*index];
                job.expected_s < leader.expected_s
                    && slack(job) < slack(leader)
                    && slack(leader) > job.expected_s
            })
            .min_by(|one, other| slack(&queue[*one]).total_cmp(&slack(&queue[*other])))
            .or(Some(first))
    }

    /// Returns the index of the job to displace.
    fn last(self, queue: &[Job], now: f64) -> Option<usize> {
        (0..queue.len()).max_by(|one, other| {
            let (one, other) = (self.key(&queue[*one], now), self.key(&queue[*other], now));
            one.0.total_cmp(&other.0).then(one.1.total_cmp(&other.1))
        })
    }
}

/// Runs a pattern and returns the fate of each class.
pub(crate) fn run(pattern: &Pattern, rule: Rule, seed: u64) -> Vec<Fate> {
    let arrivals = pattern.arrivals(seed);
    let slow = pattern.slow_periods(seed);
    let mut fates = vec![Fate::default(); pattern.classes.len()];
    let mut queue: Vec<Job> = Vec::new();
    // Ends in microseconds, so that they have a total order.
    let mut ends: BinaryHeap<Reverse<u64>> = BinaryHeap::new();
    let mut arrivals = arrivals.into_iter().peekable();
    while arrivals.peek().is_some() || !ends.is_empty() {
        let end = ends.peek().map_or(f64::INFINITY, |end| end.0 as f64 / 1e6);
        let arrives = arrivals.peek().map_or(f64::INFINITY, |arrival| arrival.at);
        let now = end.min(arrives);
        if end <= arrives {
            ends.pop();
        } else if let Some(arrival) = arrivals.next() {
            let class = &pattern.classes[arrival.class];
            fates[arrival.class].offered += 1.0;
            queue.push(Job {
                class: arrival.class,
                at: arrival.at,
                work_s: arrival.work_s,
                shed_order: class.shed_order,
                nested: class.nested,
                expected_s: class.work_s,
                target: arrival.at + class.target_s,
                deadline: arrival.at + class.limit_s,
            });
            let backlog = queue.iter().map(|job| job.expected_s).sum::<f64>();
            if let Some(last) = rule.last(&queue, now) {
                let job = &queue[last];
                if now + backlog / pattern.slots as f64 + job.expected_s > job.deadline {
                    queue.swap_remove(last);
                }
            }
        }
        queue.retain(|job| now + 0.5 * job.expected_s < job.deadline);
        while ends.len() < pattern.slots
            && let Some(next) = rule.next(&queue, now)
        {
            let job = queue.swap_remove(next);
            let end = end_of(&slow, now, job.work_s);
            ends.push(Reverse((end.min(job.deadline) * 1e6) as u64));
            let class = &pattern.classes[job.class];
            let fate = &mut fates[job.class];
            if end <= job.at + class.target_s {
                fate.on_time += 1.0;
                fate.credit += class.worth;
            } else if end < job.deadline {
                fate.late += 1.0;
                fate.credit += class.late_worth;
            }
        }
    }
    fates
}
