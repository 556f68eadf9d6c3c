//! Budgets for retries and hedges, and the delay before a hedge.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hdrhistogram::Histogram;
use savorylane_intent::document;
use savorylane_wire::Verdict;

/// Maximum number of attempts of one request, including the first.
pub const MAX_ATTEMPTS: u32 = 3;
/// Default share of first attempts that may be retried.
const RETRY_PERCENT: u32 = 10;
/// Default share of first attempts that may be hedged.
const HEDGE_PERCENT: u32 = 5;
/// One percent of a token, in millionths of a token.
const TOKEN_PERCENT: u64 = 10_000;
/// One token, in millionths of a token.
const TOKEN: u64 = 1_000_000;
/// Default burst of retries of a class.
pub const RETRY_BURST: u32 = 10;
/// Burst of hedges of a class.
pub const HEDGE_BURST: u32 = 5;
/// Highest latency that the histogram distinguishes, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Minimum number of recent answers from which a percentile is computed.
const MIN_SAMPLES: u64 = 50;
/// Number of answers after which the percentile is recomputed.
const REFRESH_INTERVAL_ANSWERS: u64 = 32;
/// Length of a histogram period. While answers keep arriving, each counts for
/// one to two periods.
const HISTOGRAM_PERIOD: Duration = Duration::from_secs(5);

/// Settings of the budgets, which each daemon keeps on its own.
///
/// Over all daemons of a deployment, the retries and hedges in any period are
/// bounded by the sum of the bursts plus the percentage of the first attempts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Percentage of first attempts that may be retried.
    pub retry_percent: u32,
    /// Burst of retries: the capacity of their token bucket.
    pub retry_burst: u32,
    /// Percentage of first attempts that may be hedged; 0 disables hedges.
    pub hedge_percent: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            retry_percent: RETRY_PERCENT,
            retry_burst: RETRY_BURST,
            hedge_percent: HEDGE_PERCENT,
        }
    }
}

/// Token bucket that is filled by first attempts instead of time. The bucket
/// starts full, so after `n` first attempts at most `burst + share * n` tokens
/// were spent.
#[derive(Debug)]
pub struct Budget {
    /// Tokens left, like the other fields in millionths of a token.
    tokens: AtomicU64,
    /// Tokens that a first attempt adds.
    share: u64,
    /// Capacity of the bucket.
    burst: u64,
}

impl Budget {
    /// Creates a budget for retries.
    pub fn retry(settings: &Settings) -> Self {
        Self::new(settings.retry_percent, settings.retry_burst)
    }

    /// Creates a budget for hedges.
    pub fn hedge(settings: &Settings) -> Self {
        let burst = if settings.hedge_percent > 0 {
            HEDGE_BURST
        } else {
            0
        };
        Self::new(settings.hedge_percent, burst)
    }

    fn new(percent: u32, burst: u32) -> Self {
        let burst = u64::from(burst) * TOKEN;
        Self {
            tokens: AtomicU64::new(burst),
            share: u64::from(percent) * TOKEN_PERCENT,
            burst,
        }
    }

    /// Records a first attempt, which adds its share of a token.
    pub fn record_first_attempt(&self) {
        let add = |tokens: u64| Some((tokens + self.share).min(self.burst));
        let _ = self
            .tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Returns whether at least one token is left.
    pub fn available(&self) -> bool {
        self.tokens.load(Ordering::Relaxed) >= TOKEN
    }

    /// Spends a token. Returns `false` if the budget is exhausted.
    pub fn try_spend(&self) -> bool {
        self.tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |tokens| {
                tokens.checked_sub(TOKEN)
            })
            .is_ok()
    }
}

/// Returns whether a request may be sent again after an attempt that ended
/// with `verdict` and without an answer for the caller.
pub fn may_retry(idempotent: bool, verdict: Verdict) -> bool {
    idempotent || verdict == Verdict::NotRun
}

/// Returns the number of attempts that an entry may make for a request,
/// including the first.
///
/// `left` is the number of attempts that the calling service passed on.
/// Without it, only a request from outside (`depth` 0) is retried, so that
/// retries do not multiply along a call chain.
pub fn attempts_allowed(left: Option<u32>, depth: u32) -> u32 {
    match left {
        Some(left) => left.clamp(1, MAX_ATTEMPTS),
        None if depth == 0 => MAX_ATTEMPTS,
        None => 1,
    }
}

/// Returns whether a request may be hedged: only idempotent short work is.
pub fn may_hedge(idempotent: bool, length: document::Work) -> bool {
    idempotent && length == document::Work::Short
}

/// Histogram of the recent response times of one class.
#[derive(Debug)]
pub struct Latency {
    current: Histogram<u64>,
    previous: Histogram<u64>,
    /// Start of the current period.
    since: Duration,
    /// Number of all answers recorded.
    added: u64,
    /// 95th percentile when it was last computed; 0 if there is none.
    hedge_delay_us: AtomicU64,
}

impl Default for Latency {
    fn default() -> Self {
        Self::new()
    }
}

impl Latency {
    /// Creates an empty histogram.
    ///
    /// # Panics
    ///
    /// Never panics, because the bounds are constants that the histogram
    /// accepts.
    pub fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, 2)
            .expect("the bounds of the histogram are valid");
        Self {
            current: histogram.clone(),
            previous: histogram,
            since: Duration::ZERO,
            added: 0,
            hedge_delay_us: AtomicU64::new(0),
        }
    }

    /// Records the response time of an answered request.
    pub fn record(&mut self, now: Duration, response: Duration) {
        if now.saturating_sub(self.since) >= HISTOGRAM_PERIOD {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
            self.since = now;
        }
        let us = response.as_micros() as u64;
        self.current.saturating_record(us.clamp(1, MAX_LATENCY_US));
        self.added += 1;
        if self.added.is_multiple_of(REFRESH_INTERVAL_ANSWERS) {
            let us = self.quantile_us(0.95).unwrap_or(0);
            self.hedge_delay_us.store(us, Ordering::Relaxed);
        }
    }

    /// Returns the given quantile of the recent response times in
    /// microseconds, or `None` if there are too few answers.
    fn quantile_us(&self, quantile: f64) -> Option<u64> {
        let mut both = self.current.clone();
        both.add(&self.previous).ok()?;
        (both.len() >= MIN_SAMPLES).then(|| both.value_at_quantile(quantile))
    }

    /// Returns the delay before a hedge, which is the 95th percentile of the
    /// recent response times, or `None` while there are too few answers.
    pub fn hedge_delay(&self) -> Option<Duration> {
        let us = self.hedge_delay_us.load(Ordering::Relaxed);
        (us > 0).then(|| Duration::from_micros(us))
    }
}
