//! Evacuation of this host's data centre, according to the host list.
//!
//! Entries send no requests to the data centre once they have the list too.
//! Requests that still arrive were routed by an older list, or waited in the
//! gatekeeper's queue.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use savorylane_intent::hosts::List;

/// Time for which the upstream still gets requests after a list shows the
/// evacuation. Lists reach all entries sooner than that, so few requests are
/// refused.
const GRACE: Duration = Duration::from_millis(500);
/// Time after the last confirmation that the data centre was not evacuated after
/// which the upstream gets no more requests, however late the host list arrived.
/// The evacuation may have begun right after the confirmation, and must hold
/// within 5 s.
const MAX_UNCONFIRMED: Duration = Duration::from_secs(4);

/// Value that stands for no evacuation.
const NONE: u64 = u64::MAX;

/// Whether this host's data centre is evacuated.
#[derive(Debug)]
pub struct Evacuation {
    /// Time from which the upstream gets no requests, in milliseconds of the
    /// process; [`NONE`] if the data centre is not evacuated.
    refused_from_ms: AtomicU64,
}

impl Default for Evacuation {
    fn default() -> Self {
        Self {
            refused_from_ms: AtomicU64::new(NONE),
        }
    }
}

impl Evacuation {
    /// Records a list that is in force from `now` on. The knowledge before it had
    /// the age `age`; `None` if there was none. A list without a host in
    /// `data_centre`, that of this host, changes nothing.
    pub fn on_host_list(
        &self,
        now: Duration,
        age: Option<Duration>,
        data_centre: &str,
        list: &List,
    ) {
        match list.is_evacuated(data_centre) {
            Some(true) => {
                let refused_from = match age {
                    Some(age) => (now + GRACE).min((now + MAX_UNCONFIRMED).saturating_sub(age)),
                    None => now,
                };
                let refused_from_ms = refused_from.as_millis() as u64;
                // A later list of the same evacuation does not postpone it.
                let _ = self.refused_from_ms.compare_exchange(
                    NONE,
                    refused_from_ms,
                    Ordering::Relaxed,
                    Ordering::Relaxed,
                );
            }
            Some(false) => self.refused_from_ms.store(NONE, Ordering::Relaxed),
            None => {}
        }
    }

    /// Returns whether the upstream gets no requests at `now`.
    pub fn is_in_force(&self, now: Duration) -> bool {
        now.as_millis() as u64 >= self.refused_from_ms.load(Ordering::Relaxed)
    }
}
