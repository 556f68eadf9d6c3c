//! Outcomes of the requests of a run, and figures derived from them.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use savorylane_wire::Verdict;

/// How a request ended from the caller's point of view, after all its attempts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// A successful answer that is intact and belongs to the request.
    Done,
    /// An unsuccessful answer with the verdict `not-run`.
    Refused,
    /// Any other unsuccessful answer.
    Failed,
    /// A successful answer that is corrupt or belongs to another request.
    Wrong,
    /// The connection could not be opened or broke.
    Cut,
    /// No answer within the timeout.
    Timeout,
}

/// Outcome of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// Index of the class in the plan.
    pub class: usize,
    /// Idempotency key, or request id for requests without a key. Upstreams
    /// count runs under this name.
    pub key: String,
    /// Intended start, relative to the start of the run.
    pub start: Duration,
    /// Time from the intended start to the end of the last attempt.
    pub latency: Duration,
    /// Duration of the last attempt.
    pub last_attempt: Duration,
    /// How the request ended.
    pub end: End,
    /// Reason in the last answer if a daemon generated that answer; otherwise
    /// empty.
    pub reason: String,
    /// Verdict of the last answer, if an answer with a verdict arrived.
    pub verdict: Option<Verdict>,
    /// Number of attempts.
    pub attempts: u32,
}

/// Figures of a class.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Name of the class.
    pub class: String,
    /// Number of requests started.
    pub offered: u64,
    /// Number of requests that ended as [`End::Done`].
    pub done: u64,
    /// Number of requests that ended as [`End::Refused`].
    pub refused: u64,
    /// Number of requests that ended as [`End::Failed`].
    pub failed: u64,
    /// Number of requests that ended as [`End::Wrong`].
    pub wrong: u64,
    /// Number of requests that ended as [`End::Cut`].
    pub cut: u64,
    /// Number of requests that ended as [`End::Timeout`].
    pub timeout: u64,
    /// Number of attempts after the first of each request.
    pub resent: u64,
    /// Number of requests by the verdict of their last answer; `none` for those
    /// without a verdict.
    pub verdicts: BTreeMap<&'static str, u64>,
    /// Latency of the done requests from their intended start, in microseconds.
    pub latency: Histogram<u64>,
    /// Duration of the last attempt of the refused requests, in microseconds.
    pub refusal_latency: Histogram<u64>,
}

/// Maximum recorded latency; longer latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 600_000_000;

impl Figures {
    /// Aggregates the outcomes of the class with the given name and index.
    pub fn of(class: &str, index: usize, outcomes: &[Outcome]) -> Self {
        // Three significant digits limit the error to 0.1%, far below the
        // measurement noise.
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
