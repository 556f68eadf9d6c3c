//! Load patterns and random arrivals.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Length of a run.
pub(crate) const RUN_S: f64 = 51.0;
/// Length of the periods that can be slow.
const MOMENT_S: f64 = 0.6;
/// Share of the periods that are slow, where a pattern has any.
const SLOW_SHARE: f64 = 0.15;
/// Factor by which work takes longer in a slow period.
const SLOW_FACTOR: f64 = 2.5;

/// Class of requests.
#[derive(Clone, Copy)]
pub(crate) struct Class {
    pub(crate) name: &'static str,
    pub(crate) shed_order: u8,
    /// Whether the requests are calls of running work.
    pub(crate) nested: bool,
    /// Mean service time.
    pub(crate) work_s: f64,
    /// Time until the latency target.
    pub(crate) target_s: f64,
    /// Time until the deadline.
    pub(crate) limit_s: f64,
    pub(crate) worth: f64,
    pub(crate) late_worth: f64,
    /// Share of the slot time at a load of 1.
    pub(crate) share: f64,
}

/// Load of one upstream over time.
pub(crate) struct Pattern {
    pub(crate) name: &'static str,
    pub(crate) slots: usize,
    pub(crate) classes: Vec<Class>,
    /// Load of the class with the given index at a time, relative to its share.
    pub(crate) load: fn(usize, f64) -> f64,
    pub(crate) slow_moments: bool,
}

/// An arriving request.
#[derive(Clone, Copy)]
pub(crate) struct Arrival {
    pub(crate) at: f64,
    pub(crate) class: usize,
    /// Time that the request occupies a slot.
    pub(crate) work_s: f64,
}

/// Load of 0.7 to 1.3 with a period of 17 s.
fn crest(_: usize, time: f64) -> f64 {
    1.0 + 0.3 * (time * std::f64::consts::TAU / 17.0).sin()
}

/// Load of 0.8, and 1.6 for 2 s of each 10 s in the class with the highest
/// index.
fn burst(class: usize, time: f64) -> f64 {
    if class > 0 && time % 10.0 < 2.0 {
        1.6
    } else {
        0.8
    }
}

impl Pattern {
    /// Returns patterns with callers that wait for several times the target.
    pub(crate) fn waiting_callers() -> Vec<Self> {
        let class = |name, shed_order, work_s, target_s, limit_s, worth, share| Class {
            name,
            shed_order,
            nested: false,
            work_s,
            target_s,
            limit_s,
            worth,
            late_worth: 0.3 * worth,
            share,
        };
        let base = |name, load| Self {
            name,
            slots: 13,
            classes: vec![
                class("order", 1, 0.2, 0.8, 2.5, 2.0, 0.33),
                class("view", 2, 0.16, 0.6, 2.0, 1.0, 0.67),
            ],
            load,
            slow_moments: false,
        };
        vec![
            base("crest", crest),
            base("burst", burst),
            base("overload", |_, _| 1.1),
            Self {
                slow_moments: true,
                ..base("slow", |_, _| 0.8)
            },
            Self {
                slow_moments: true,
                ..base("slow-crest", |class, time| 0.85 * crest(class, time))
            },
        ]
    }

    /// Returns patterns of short calls beside longer work.
    pub(crate) fn urgent_calls() -> Vec<Self> {
        let calls = Class {
            name: "call",
            shed_order: 1,
            nested: true,
            work_s: 0.022,
            target_s: 0.1,
            limit_s: 0.25,
            worth: 1.0,
            late_worth: 1.0,
            share: 0.2,
        };
        let order = Class {
            name: "order",
            nested: false,
            work_s: 0.12,
            target_s: 0.5,
            limit_s: 1.2,
            worth: 1.5,
            late_worth: 0.45,
            share: 0.8,
            ..calls
        };
        let pull = Class {
            name: "pull",
            shed_order: 2,
            work_s: 0.22,
            target_s: 1.5,
            limit_s: 1.2,
            worth: 0.37,
            late_worth: 0.17,
            ..order
        };
        let base = |name, long, load| Self {
            name,
            slots: 6,
            classes: vec![calls, long],
            load,
            slow_moments: false,
        };
        let lower = Class {
            shed_order: 0,
            ..order
        };
        vec![
            base("calls-crest", order, crest),
            base("calls-burst", pull, burst),
            base("calls-over", order, |_, _| 1.1),
            base("calls-below", lower, |_, _| 1.1),
            Self {
                slow_moments: true,
                ..base("calls-slow", order, |_, _| 0.85)
            },
        ]
    }

    /// Returns whether each period is slow.
    pub(crate) fn slow_periods(&self, seed: u64) -> Vec<bool> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed.wrapping_add(1_000));
        let count = (2.0 * RUN_S / MOMENT_S) as usize;
        (0..count)
            .map(|_| self.slow_moments && rng.random::<f64>() < SLOW_SHARE)
            .collect()
    }

    /// Returns the arrivals of a run in the order of time.
    pub(crate) fn arrivals(&self, seed: u64) -> Vec<Arrival> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        for (index, class) in self.classes.iter().enumerate() {
            let mut at = 0.0;
            while at < RUN_S {
                let load = (self.load)(index, at);
                let rate = load * class.share * self.slots as f64 / class.work_s;
                at -= (1.0 - rng.random::<f64>()).ln() / rate;
                let work_s = class.work_s * (0.5 - 0.5 * (1.0 - rng.random::<f64>()).ln());
                arrivals.push(Arrival {
                    at,
                    class: index,
                    work_s,
                });
            }
        }
        arrivals.sort_by(|one, other| one.at.total_cmp(&other.at));
        arrivals
    }
}

/// Returns the time at which work that starts at `from` ends.
pub(crate) fn end_of(slow: &[bool], from: f64, work_s: f64) -> f64 {
    let period = slow.get((from / MOMENT_S) as usize);
    from + work_s
        * if period == Some(&true) {
            SLOW_FACTOR
        } else {
            1.0
        }
}

/// Returns a time in seconds as a duration.
pub(crate) fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}
