//! Detection of an upstream whose answers all take longer from one moment on.

use std::collections::BTreeMap;
use std::time::Duration;

/// Weight of an answer in the usual service time of its class.
const WEIGHT: f64 = 1.0 / 64.0;
/// Number of answers of a class before its usual service time is known.
const MIN_ANSWERS: u32 = 32;
/// Maximum number of classes. All are dropped if there are more.
const MAX_CLASSES: usize = 64;
/// Excess of the logarithm of a service time over the usual one that counts as
/// none: half of that of an upstream that takes twice as long.
const TOLERATED: f64 = std::f64::consts::LN_2 / 2.0;
/// Sum of the excess above which the upstream is slower. About ten answers that
/// take twice as long reach it; with a lower sum, chance would reach it often.
const MAX_SUM: f64 = 3.0;

/// Usual service time of a class.
#[derive(Clone, Copy, Debug, Default)]
struct Usual {
    /// Mean of the logarithm.
    log: f64,
    answers: u32,
}

/// Cumulative sum of the excess of service times over the usual ones.
///
/// Unlike a mean over a fixed number of answers, the sum shows a small change
/// that lasts as well as a large one at once.
#[derive(Clone, Debug, Default)]
pub struct Slowdown {
    usual: BTreeMap<u64, Usual>,
    sum: f64,
}

impl Slowdown {
    /// Records the service time of an answer to a request of `class`. Returns
    /// whether the upstream has become slower.
    pub fn record(&mut self, class: u64, service: Duration) -> bool {
        if self.usual.len() >= MAX_CLASSES && !self.usual.contains_key(&class) {
            self.usual.clear();
        }
        let usual = self.usual.entry(class).or_default();
        let excess = (service.as_secs_f64().max(1e-6)).ln() - usual.log;
        usual.answers = usual.answers.saturating_add(1);
        usual.log += excess * WEIGHT.max(1.0 / f64::from(usual.answers));
        if usual.answers <= MIN_ANSWERS {
            return false;
        }
        self.sum = (self.sum + excess - TOLERATED).max(0.0);
        let slower = self.sum > MAX_SUM;
        if slower {
            self.sum = 0.0;
        }
        slower
    }
}
