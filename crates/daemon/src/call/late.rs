//! Late lane of a call, by the patience of the callers of its class.

use std::time::Duration;

use savorylane_intent::document::Work;
use savorylane_policy::gate::has_late_lane;

use super::Call;

impl Call {
    /// Opens the late lane to the call if its class has one, given the longest
    /// time limit `longest` of its callers. The target then counts from the
    /// first request of the caller, `age` before this one.
    pub fn open_late_lane(&mut self, longest: Duration, age: Duration) {
        let timeout = self
            .class
            .timeout_ms
            .map(|ms| Duration::from_millis(ms.into()));
        let limit = timeout.map_or(longest, |timeout| timeout.min(longest));
        let target = Duration::from_millis(self.class.target.latency_ms.into());
        self.late = self.class.work == Work::Short && has_late_lane(target, limit);
        if self.late {
            self.target -= age.min(target);
        }
    }
}
