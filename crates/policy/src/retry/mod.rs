//! Budgets of retries and hedged requests.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hdrhistogram::Histogram;
use savorylane_intent::document;
use savorylane_wire::Verdict;

/// Attempts of one request in total, the first included.
pub const ATTEMPTS_MAX: u32 = 3;
/// Fresh requests per hundred that may be retried.
const RETRY_PERCENT: u32 = 10;
/// Fresh requests per hundred that may be hedged.
const HEDGE_PERCENT: u32 = 5;
/// Millionths of a token for one percent.
const TOKEN_PERCENT: u64 = 10_000;
/// One token.
const TOKEN: u64 = 1_000_000;
/// Retries that a class may send at once.
pub const RETRY_BURST: u32 = 10;
/// Hedges that a class may send at once.
pub const HEDGE_BURST: u32 = 5;
/// Longest latency that the histogram tells apart, microseconds.
const LATENCY_MAX_US: u64 = 60_000_000;
/// Answers before the percentile is used.
const SAMPLES_MIN: u64 = 50;
/// Answers after which the percentile is computed again.
const REFRESH_INTERVAL: u64 = 32;
/// A histogram is forgotten after one to two of these.
const HISTOGRAM_PERIOD: Duration = Duration::from_secs(5);

/// Bounds of the budgets that a daemon keeps by itself. Over all daemons of a
/// deployment, the repeats in any time are at most the sum of the bursts and
/// the share of the fresh requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Fresh requests per hundred that may be retried.
    pub retry_percent: u32,
    /// Retries that may be sent at once.
    pub retry_burst: u32,
    /// Fresh requests per hundred that may be hedged; 0 allows no hedge.
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

/// Token bucket that is filled by fresh traffic. It starts full, so after
/// `n` fresh requests at most `burst + share * n` tokens were taken.
#[derive(Debug)]
pub struct Budget {
    tokens: AtomicU64,
    share: u64,
    burst: u64,
}

impl Budget {
    /// Returns a budget of retries.
    pub fn retry(settings: &Settings) -> Self {
        Self::new(settings.retry_percent, settings.retry_burst)
    }

    /// Returns a budget of hedged requests.
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

    /// Counts a fresh request: one that is not itself a retry.
    pub fn record_first_attempt(&self) {
        let add = |tokens: u64| Some((tokens + self.share).min(self.burst));
        let _ = self
            .tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Returns whether a token is left.
    pub fn available(&self) -> bool {
        self.tokens.load(Ordering::Relaxed) >= TOKEN
    }

    /// Takes a token, or returns `false` if the budget is used up.
    pub fn try_spend(&self) -> bool {
        self.tokens
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |tokens| {
                tokens.checked_sub(TOKEN)
            })
            .is_ok()
    }
}

/// Returns whether a request that ended with `verdict` and without an answer
/// for its caller may be sent again.
pub fn may_retry(idempotent: bool, verdict: Verdict) -> bool {
    idempotent || verdict == Verdict::NotRun
}

/// Returns the attempts that an entry may make for a request, the first
/// included. `left` is what the calling service passed on; without it, only a
/// request from outside (`depth` 0) is retried, so that retries do not
/// multiply along a call chain.
pub fn attempts_allowed(left: Option<u32>, depth: u32) -> u32 {
    match left {
        Some(left) => left.clamp(1, ATTEMPTS_MAX),
        None if depth == 0 => ATTEMPTS_MAX,
        None => 1,
    }
}

/// Returns whether a request may be hedged.
pub fn may_hedge(idempotent: bool, length: document::Work) -> bool {
    idempotent && length == document::Work::Short
}

/// Recent response times of one class.
#[derive(Debug)]
pub struct Latency {
    current: Histogram<u64>,
    previous: Histogram<u64>,
    since: Duration,
    added: u64,
    hedge_delay_us: AtomicU64,
}

impl Default for Latency {
    fn default() -> Self {
        Self::new()
    }
}

impl Latency {
    /// Returns a histogram without answers.
    ///
    /// # Panics
    ///
    /// Never: the bounds are constants that the histogram accepts.
    pub fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, LATENCY_MAX_US, 2)
            .expect("the bounds of the histogram are valid");
        Self {
            current: histogram.clone(),
            previous: histogram,
            since: Duration::ZERO,
            added: 0,
            hedge_delay_us: AtomicU64::new(0),
        }
    }

    /// Adds the response time of an answered request.
    pub fn record(&mut self, now: Duration, response: Duration) {
        if now.saturating_sub(self.since) >= HISTOGRAM_PERIOD {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
            self.since = now;
        }
        let us = response.as_micros() as u64;
        self.current.saturating_record(us.clamp(1, LATENCY_MAX_US));
        self.added += 1;
        if self.added.is_multiple_of(REFRESH_INTERVAL) {
            let us = self.quantile_us(0.95).unwrap_or(0);
            self.hedge_delay_us.store(us, Ordering::Relaxed);
        }
    }

    /// Returns the response time that `quantile` of the recent answers did not
    /// exceed, microseconds.
    fn quantile_us(&self, quantile: f64) -> Option<u64> {
        let mut both = self.current.clone();
        both.add(&self.previous).ok()?;
        (both.len() >= SAMPLES_MIN).then(|| both.value_at_quantile(quantile))
    }

    /// Returns the wait before a hedged request: the 95th percentile, or
    /// `None` before there are enough answers.
    pub fn hedge_delay(&self) -> Option<Duration> {
        let us = self.hedge_delay_us.load(Ordering::Relaxed);
        (us > 0).then(|| Duration::from_micros(us))
    }
}
