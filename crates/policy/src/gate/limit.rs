//! Adaptive concurrency limit driven by the measured service time.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{MIN_LIMIT, SLOW_START};

/// Answers per measurement round. With exponential service times, the mean of
/// 64 samples has a standard deviation of an eighth, so twice the baseline is
/// far outside the noise.
const SAMPLES_PER_ROUND: u32 = 64;
/// Ratio of service time to baseline above which a lower limit is tried.
const SLOW_RATIO: f64 = 2.0;
/// A lower limit is kept if it reduces the ratio to at most this share of its
/// previous value.
const IMPROVED_RATIO: f64 = 0.93;
/// Time without a further trial after a lower limit did not help. A host that
/// is slow at any concurrency therefore keeps its slots.
const TRIAL_PAUSE: Duration = Duration::from_secs(1);
/// Length of a baseline period. The baseline covers the last one or two
/// periods, so that a lasting change of the workload becomes the new baseline.
const BASELINE_PERIOD: Duration = Duration::from_secs(15);
/// Number of classes above which all baselines are dropped.
const MAX_CLASSES: usize = 1024;

/// Lowest mean service time of one class, in microseconds.
#[derive(Debug)]
struct Baseline {
    /// Lowest mean of the current period.
    current: f64,
    /// Lowest mean of the previous period.
    previous: f64,
    /// Start of the current period.
    since: Duration,
    /// Sum of the samples for the next mean, in microseconds.
    sum: f64,
    /// Number of the samples for the next mean.
    count: u32,
}

impl Baseline {
    fn new(now: Duration) -> Self {
        Self {
            current: f64::INFINITY,
            previous: f64::INFINITY,
            since: now,
            sum: 0.0,
            count: 0,
        }
    }

    /// Starts a new period if the current one is over. Returns whether it did.
    fn rotate(&mut self, now: Duration) -> bool {
        let over = now.saturating_sub(self.since) >= BASELINE_PERIOD;
        if over {
            self.previous = self.current;
            self.current = f64::INFINITY;
            self.since = now;
        }
        over
    }

    /// Adds a sample in microseconds and returns the baseline, if there is one
    /// yet.
    fn add_sample(&mut self, sample: f64) -> Option<f64> {
        self.sum += sample;
        self.count += 1;
        if self.count == SAMPLES_PER_ROUND {
            self.current = self.current.min(self.sum / f64::from(SAMPLES_PER_ROUND));
            (self.sum, self.count) = (0.0, 0);
        }
        let baseline = self.current.min(self.previous);
        baseline.is_finite().then_some(baseline)
    }
}

/// A trial of a lower limit.
#[derive(Clone, Copy, Debug)]
struct Trial {
    /// Ratio of service time to baseline under the higher limit.
    ratio_before: f64,
}

/// Adaptive concurrency limit.
///
/// Invariant: `lower_bound <= adapted <= slots`.
#[derive(Debug)]
pub(super) struct Limit {
    slots: usize,
    /// Limit derived from the service times, without slow start.
    adapted: usize,
    /// Start of the last slow start.
    reopened_at: Option<Duration>,
    /// Baselines by class.
    baselines: BTreeMap<u64, Baseline>,
    /// Sum of the service times of the current round.
    service_us_sum: f64,
    /// Sum of the baselines that belong to these service times.
    baseline_us_sum: f64,
    /// Number of samples of the current round.
    count: u32,
    /// Whether all slots were in use at some answer of the current round.
    saturated: bool,
    /// Trial that the current round measures, if any.
    trial: Option<Trial>,
    /// Earliest time of the next trial.
    next_trial_at: Duration,
}

impl Limit {
    pub(super) fn new(slots: usize) -> Self {
        Self {
            slots,
            adapted: slots,
            reopened_at: None,
            baselines: BTreeMap::new(),
            service_us_sum: 0.0,
            baseline_us_sum: 0.0,
            count: 0,
            saturated: false,
            trial: None,
            next_trial_at: Duration::ZERO,
        }
    }

    /// Sets the number of slots. A limit adapted to a different number is
    /// discarded.
    pub(super) fn set_slots(&mut self, slots: usize) {
        if slots == self.slots {
            return;
        }
        self.slots = slots;
        self.adapted = slots;
        self.trial = None;
        self.reset_round();
    }

    /// Returns [`MIN_LIMIT`], or the number of slots if there are fewer.
    fn lower_bound(&self) -> usize {
        MIN_LIMIT.min(self.slots)
    }

    /// Starts a slow start: the limit grows from its lower bound over
    /// [`SLOW_START`].
    pub(super) fn reopen(&mut self, now: Duration) {
        self.reopened_at = Some(now);
        self.adapted = self.slots;
        self.reset_round();
    }

    /// Discards the current round and trial, which compare with a baseline
    /// that no longer applies. A trial's reduction of the limit is reverted.
    fn reset_round(&mut self) {
        if self.trial.take().is_some() {
            self.adapted = (self.adapted + 1).min(self.slots);
        }
        self.saturated = false;
        (self.service_us_sum, self.baseline_us_sum, self.count) = (0.0, 0.0, 0);
    }

    /// Returns the limit at `now`, slow start included.
    pub(super) fn value_at(&self, now: Duration) -> usize {
        let lower_bound = self.lower_bound();
        let Some(reopened_at) = self.reopened_at else {
            return self.adapted;
        };
        let share = now.saturating_sub(reopened_at).as_secs_f64() / SLOW_START.as_secs_f64();
        if share >= 1.0 {
            return self.adapted;
        }
        let grown = ((self.slots - lower_bound) as f64 * share) as usize;
        self.adapted.min(lower_bound + grown)
    }

    /// Returns the time at which the slow start adds the next slot.
    pub(super) fn next_growth_at(&self, now: Duration) -> Option<Duration> {
        let reopened_at = self.reopened_at?;
        let steps = self.slots - self.lower_bound();
        (1..=steps)
            .map(|step| reopened_at + SLOW_START.mul_f64(step as f64 / steps as f64))
            .find(|time| *time > now)
    }

    /// Adds the service time of an answered short request. `saturated` is
    /// whether all slots were in use.
    pub(super) fn add_sample(
        &mut self,
        now: Duration,
        class: u64,
        sample: Duration,
        saturated: bool,
    ) {
        let sample = sample.as_secs_f64() * 1e6;
        if self.baselines.len() >= MAX_CLASSES && !self.baselines.contains_key(&class) {
            self.baselines.clear();
        }
        let baseline = self
            .baselines
            .entry(class)
            .or_insert_with(|| Baseline::new(now));
        let rotated = baseline.rotate(now);
        let Some(baseline_us) = baseline.add_sample(sample) else {
            return;
        };
        if rotated {
            self.reset_round();
        }
        self.service_us_sum += sample;
        self.baseline_us_sum += baseline_us;
        self.count += 1;
        self.saturated |= saturated;
        if self.count < SAMPLES_PER_ROUND {
            return;
        }
        let ratio = self.service_us_sum / self.baseline_us_sum.max(1.0);
        (self.service_us_sum, self.baseline_us_sum, self.count) = (0.0, 0.0, 0);
        let saturated = std::mem::take(&mut self.saturated);
        self.adapt(now, ratio, saturated);
    }

    /// Adapts the limit after a round with the given ratio of service time to
    /// baseline.
    fn adapt(&mut self, now: Duration, ratio: f64, saturated: bool) {
        if let Some(trial) = self.trial.take()
            && ratio > trial.ratio_before * IMPROVED_RATIO
        {
            self.adapted = (self.adapted + 1).min(self.slots);
            self.next_trial_at = now + TRIAL_PAUSE;
            return;
        }
        if ratio <= SLOW_RATIO {
            self.adapted = (self.adapted + 1).min(self.slots);
            return;
        }
        if saturated && now >= self.next_trial_at && self.adapted > self.lower_bound() {
            self.trial = Some(Trial {
                ratio_before: ratio,
            });
            self.adapted -= 1;
        }
    }
}
