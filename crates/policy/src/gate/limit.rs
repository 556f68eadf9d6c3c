//! Concurrency limit that follows the measured service time.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{FLOOR, SLOW_START};

/// Answers of one measurement. With exponential service times the mean of 64
/// has a standard deviation of an eighth, so twice the best is far outside
/// noise.
const SAMPLES: u32 = 64;
/// Ratio to the best service time above which a lower limit is tried.
const SLOW: f64 = 2.0;
/// A lower limit is kept if it brings the service time below this share.
const IMPROVED: f64 = 0.93;
/// Time without another try after a lower limit did not help. A host that is
/// slow at any concurrency keeps its slots.
const HOLD: Duration = Duration::from_secs(1);
/// The best service time is that of the last one or two periods, so a lasting
/// change of the work becomes the new reference.
const PERIOD: Duration = Duration::from_secs(15);
/// Classes that are remembered.
const CLASSES_MAX: usize = 1024;

/// Best mean service time of one class, microseconds.
#[derive(Debug)]
struct Best {
    current: f64,
    previous: f64,
    since: Duration,
    sum: f64,
    count: u32,
}

impl Best {
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
        let over = now.saturating_sub(self.since) >= PERIOD;
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
        if self.count == SAMPLES {
            self.current = self.current.min(self.sum / f64::from(SAMPLES));
            (self.sum, self.count) = (0.0, 0);
        }
        let best = self.current.min(self.previous);
        best.is_finite().then_some(best)
    }
}

/// A lower limit that is being tried.
#[derive(Clone, Copy, Debug)]
struct Trial {
    /// Ratio to the best at the higher limit.
    before: f64,
}

/// Adaptive concurrency limit.
///
/// Invariant: `floor <= wanted <= slots`.
#[derive(Debug)]
pub(super) struct Limit {
    slots: usize,
    wanted: usize,
    opened: Option<Duration>,
    best: BTreeMap<u64, Best>,
    sum: f64,
    expected: f64,
    count: u32,
    full: bool,
    trial: Option<Trial>,
    hold_until: Duration,
}

impl Limit {
    pub(super) fn new(slots: usize) -> Self {
        Self {
            slots,
            wanted: slots,
            opened: None,
            best: BTreeMap::new(),
            sum: 0.0,
            expected: 0.0,
            count: 0,
            full: false,
            trial: None,
            hold_until: Duration::ZERO,
        }
    }

    /// Takes another number of slots; a limit that was found for the former
    /// one is dropped.
    pub(super) fn set_slots(&mut self, slots: usize) {
        if slots == self.slots {
            return;
        }
        self.slots = slots;
        self.wanted = slots;
        self.trial = None;
        self.restart();
    }

    fn floor(&self) -> usize {
        FLOOR.min(self.slots)
    }

    /// Starts again from the floor; the limit grows over [`SLOW_START`].
    pub(super) fn reopen(&mut self, now: Duration) {
        self.opened = Some(now);
        self.wanted = self.slots;
        self.restart();
    }

    /// Drops a measurement and a try whose reference has changed.
    fn restart(&mut self) {
        if self.trial.take().is_some() {
            self.wanted = (self.wanted + 1).min(self.slots);
        }
        self.full = false;
        (self.sum, self.expected, self.count) = (0.0, 0.0, 0);
    }

    /// Returns the limit that is wanted at `now`.
    pub(super) fn at(&self, now: Duration) -> usize {
        let floor = self.floor();
        let Some(opened) = self.opened else {
            return self.wanted;
        };
        let share = now.saturating_sub(opened).as_secs_f64() / SLOW_START.as_secs_f64();
        if share >= 1.0 {
            return self.wanted;
        }
        let grown = ((self.slots - floor) as f64 * share) as usize;
        self.wanted.min(floor + grown)
    }

    /// Returns when the slow start adds the next slot.
    pub(super) fn grows_at(&self, now: Duration) -> Option<Duration> {
        let opened = self.opened?;
        let steps = self.slots - self.floor();
        (1..=steps)
            .map(|step| opened + SLOW_START.mul_f64(step as f64 / steps as f64))
            .find(|time| *time > now)
    }

    /// Adds the service time of an answered short request. `full` says
    /// whether all slots were in use.
    pub(super) fn add(&mut self, now: Duration, class: u64, sample: Duration, full: bool) {
        let sample = sample.as_secs_f64() * 1e6;
        if self.best.len() >= CLASSES_MAX && !self.best.contains_key(&class) {
            self.best.clear();
        }
        let best = self.best.entry(class).or_insert_with(|| Best::new(now));
        let rotated = best.rotate(now);
        let Some(expected) = best.add(sample) else {
            return;
        };
        if rotated {
            self.restart();
        }
        self.sum += sample;
        self.expected += expected;
        self.count += 1;
        self.full |= full;
        if self.count < SAMPLES {
            return;
        }
        let ratio = self.sum / self.expected.max(1.0);
        (self.sum, self.expected, self.count) = (0.0, 0.0, 0);
        let full = std::mem::take(&mut self.full);
        self.adapt(now, ratio, full);
    }

    fn adapt(&mut self, now: Duration, ratio: f64, full: bool) {
        if let Some(trial) = self.trial.take()
            && ratio > trial.before * IMPROVED
        {
            self.wanted = (self.wanted + 1).min(self.slots);
            self.hold_until = now + HOLD;
            return;
        }
        if ratio <= SLOW {
            self.wanted = (self.wanted + 1).min(self.slots);
            return;
        }
        if full && now >= self.hold_until && self.wanted > self.floor() {
            self.trial = Some(Trial { before: ratio });
            self.wanted -= 1;
        }
    }
}
