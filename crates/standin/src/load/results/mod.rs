//! What became of the requests.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use savorylane_wire::Verdict;

/// How a request ended for its caller, after all its attempts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// A success that is whole and the request's own.
    Done,
    /// An answer other than success that says `not-run`.
    Refused,
    /// Another answer.
    Failed,
    /// A success that is not whole or belongs to another request.
    Wrong,
    /// The connection failed or broke.
    Cut,
    /// No answer within the timeout.
    Timeout,
}

/// What became of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// Index of the class.
    pub class: usize,
    /// Idempotency key, or request id for work without one; upstreams count
    /// runs by it.
    pub key: String,
    /// Intended start, since the start of the run.
    pub start: Duration,
    /// Time from the intended start to the end of the last attempt.
    pub latency: Duration,
    /// Time that the last attempt took.
    pub last_attempt: Duration,
    /// How it ended.
    pub end: End,
    /// Reason that the last answer gives, if the system made it itself.
    pub reason: String,
    /// Verdict of the last answer, if there was one with a verdict.
    pub verdict: Option<Verdict>,
    /// Attempts.
    pub attempts: u32,
}

/// Figures of a class.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Name of the class.
    pub class: String,
    /// Requests started.
    pub offered: u64,
    /// Ended [`End::Done`].
    pub done: u64,
    /// Ended [`End::Refused`].
    pub refused: u64,
    /// Ended [`End::Failed`].
    pub failed: u64,
    /// Ended [`End::Wrong`].
    pub wrong: u64,
    /// Ended [`End::Cut`].
    pub cut: u64,
    /// Ended [`End::Timeout`].
    pub timeout: u64,
    /// Attempts after the first.
    pub resent: u64,
    /// Last answers by verdict; `none` for those without.
    pub verdicts: BTreeMap<&'static str, u64>,
    /// Latency of the done requests from the intended start, in microseconds.
    pub latency: Histogram<u64>,
    /// Time that the last attempt of the refused requests took, in microseconds.
    pub refusal_latency: Histogram<u64>,
}

/// Longest recorded latency, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

impl Figures {
    /// Sums up the outcomes of the class with this index.
    pub fn of(class: &str, index: usize, outcomes: &[Outcome]) -> Self {
        // Three digits: an error of 0.1%, far below the noise.
        let empty = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are valid");
        let mut figures = Self {
            class: class.to_owned(),
            offered: 0,
            done: 0,
            refused: 0,
            failed: 0,
            wrong: 0,
            cut: 0,
            timeout: 0,
            resent: 0,
            verdicts: BTreeMap::new(),
            latency: empty.clone(),
            refusal_latency: empty,
        };
        for outcome in outcomes.iter().filter(|outcome| outcome.class == index) {
            figures.offered += 1;
            figures.resent += u64::from(outcome.attempts.saturating_sub(1));
            let verdict = outcome.verdict.map_or("none", Verdict::as_str);
            *figures.verdicts.entry(verdict).or_default() += 1;
            let count = match outcome.end {
                End::Done => &mut figures.done,
                End::Refused => &mut figures.refused,
                End::Failed => &mut figures.failed,
                End::Wrong => &mut figures.wrong,
                End::Cut => &mut figures.cut,
                End::Timeout => &mut figures.timeout,
            };
            *count += 1;
            match outcome.end {
                End::Done => figures.latency.saturating_record(micros(outcome.latency)),
                End::Refused => figures
                    .refusal_latency
                    .saturating_record(micros(outcome.last_attempt)),
                _ => (),
            }
        }
        figures
    }

    /// Returns a quantile of the latency of the done requests, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1e3
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Results of a run.
#[derive(Clone, Debug)]
pub struct Results {
    /// Figures, one entry per class of the plan.
    pub classes: Vec<Figures>,
    /// Outcomes in the order in which the requests ended.
    pub outcomes: Vec<Outcome>,
    /// Time from the start of the run to the end of the last request.
    pub elapsed: Duration,
}
