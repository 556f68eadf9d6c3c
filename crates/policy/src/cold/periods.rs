//! Cold starts as the entries of a store state them.

use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum difference between two statements about the end of one cold start.
/// Entries take up to this much longer or shorter to arrive.
const SAME_END_TOLERANCE: Duration = Duration::from_secs(1);

/// Cold start of an instance.
#[derive(Clone, Copy, Debug)]
struct Period {
    until: Duration,
    /// Time that the instance stated first.
    stated: Duration,
}

/// Cold starts of the instances that a reader of the store knows, by id.
///
/// A cold instance writes its entry again every few seconds, each time with
/// less time left. Only the first statement about a cold start and its end
/// change the host list, so that a fleet of cold upstreams does not cause a
/// list for each of their entries.
#[derive(Clone, Debug, Default)]
pub struct Periods(BTreeMap<String, Period>);

impl Periods {
    /// Records that the instance `id` states at `now` that it stays cold for
    /// `left`, and returns the time to list: the first statement about this
    /// cold start, or zero if the instance is warm.
    pub fn record(&mut self, now: Duration, id: &str, left: Duration) -> Duration {
        if left.is_zero() {
            self.0.remove(id);
            return Duration::ZERO;
        }
        let until = now.saturating_add(left);
        if let Some(known) = self.0.get(id)
            && until <= known.until.saturating_add(SAME_END_TOLERANCE)
        {
            return known.stated;
        }
        self.0.retain(|_, period| period.until > now);
        let stated = left;
        self.0.insert(id.to_owned(), Period { until, stated });
        left
    }
}
