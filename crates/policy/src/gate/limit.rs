//! Concurrency limit that follows the measured service time.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{LIMIT_MIN, SLOW_START};

/// Answers of one measurement. With exponential service times the mean of 64
/// has a standard deviation of an eighth, so twice the best is far outside
/// noise.
const SAMPLES_PER_ROUND: u32 = 64;
/// Ratio to the best service time above which a lower limit is tried.
const SLOW_RATIO: f64 = 2.0;
/// A lower limit is kept if it brings the service time below this share.
const IMPROVED_RATIO: f64 = 0.93;
/// Time without another try after a lower limit did not help. A host that is
/// slow at any concurrency keeps its slots.
const TRIAL_PAUSE: Duration = Duration::from_secs(1);
/// The best service time is that of the last one or two periods, so a lasting
/// change of the work becomes the new reference.
const BASELINE_PERIOD: Duration = Duration::from_secs(15);
/// Classes that are remembered.
const CLASSES_MAX: usize = 1024;

/// Best mean service time of one class, microseconds.
#[derive(Debug)]
struct Baseline {
    current: f64,
    previous: f64,
    since: Duration,
    sum: f64,
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

    /// Starts a new period if the present one is over.
    fn rotate(&mut self, now: Duration) -> bool {
        let over = now.saturating_sub(self.since) >= BASELINE_PERIOD;
        if over {
            self.previous = self.current;
            self.current = f64::INFINITY;
            self.since = now;
        }
        over
    }

    /// Adds a sample and returns the reference, once there is one.
    fn add(&mut self, sample: f64) -> Option<f64> {
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

/// A lower limit that is being tried.
#[derive(Clone, Copy, Debug)]
struct Trial {
    /// Ratio to the best at the higher limit.
    ratio_before: f64,
}

/// Adaptive concurrency limit.
///
/// Invariant: `lower_bound <= adapted <= slots`.
#[derive(Debug)]
pub(super) struct Limit {
    slots: usize,
    adapted: usize,
    reopened_at: Option<Duration>,
    baselines: BTreeMap<u64, Baseline>,
    service_us_sum: f64,
    baseline_us_sum: f64,
    count: u32,
    saturated: bool,
    trial: Option<Trial>,
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

    /// Takes another number of slots; a limit that was found for the former
    /// one is dropped.
    pub(super) fn set_slots(&mut self, slots: usize) {
        if slots == self.slots {
            return;
        }
        self.slots = slots;
        self.adapted = slots;
        self.trial = None;
        self.reset_round();
    }

    fn lower_bound(&self) -> usize {
        LIMIT_MIN.min(self.slots)
    }

    /// Starts again from the floor; the limit grows over [`SLOW_START`].
    pub(super) fn reopen(&mut self, now: Duration) {
        self.reopened_at = Some(now);
        self.adapted = self.slots;
        self.reset_round();
    }

    /// Drops a measurement and a try whose reference has changed.
    fn reset_round(&mut self) {
        if self.trial.take().is_some() {
            self.adapted = (self.adapted + 1).min(self.slots);
        }
        self.saturated = false;
        (self.service_us_sum, self.baseline_us_sum, self.count) = (0.0, 0.0, 0);
    }

    /// Returns the limit that is wanted at `now`.
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

    /// Returns when the slow start adds the next slot.
    pub(super) fn next_growth_at(&self, now: Duration) -> Option<Duration> {
        let reopened_at = self.reopened_at?;
        let steps = self.slots - self.lower_bound();
        (1..=steps)
            .map(|step| reopened_at + SLOW_START.mul_f64(step as f64 / steps as f64))
            .find(|time| *time > now)
    }

    /// Adds the service time of an answered short request. `full` says
    /// whether all slots were in use.
    pub(super) fn add(&mut self, now: Duration, class: u64, sample: Duration, saturated: bool) {
        let sample = sample.as_secs_f64() * 1e6;
        if self.baselines.len() >= CLASSES_MAX && !self.baselines.contains_key(&class) {
            self.baselines.clear();
        }
        let baseline = self
            .baselines
            .entry(class)
            .or_insert_with(|| Baseline::new(now));
        let rotated = baseline.rotate(now);
        let Some(baseline_us) = baseline.add(sample) else {
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
