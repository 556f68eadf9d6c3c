//! Evacuated data centres of the host list in force, for the audit trail and
//! the metrics.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use savorylane_intent::hosts::List;

use crate::audit::{Event, Trail};

/// Data centres that are evacuated, with the times since which this daemon knows
/// it.
#[derive(Debug, Default)]
pub struct Observer(Mutex<BTreeMap<String, Duration>>);

impl Observer {
    /// Records a list that is in force from `now` on, and writes each evacuation
    /// that begins or ends to the audit trail. `age` is that of the knowledge
    /// before the list, if there was any. A data centre without a listed host
    /// stays evacuated.
    pub(super) fn on_host_list(
        &self,
        now: Duration,
        age: Option<Duration>,
        list: &List,
        trail: &Trail,
    ) {
        let mut evacuated = BTreeMap::new();
        for host in &list.hosts {
            let hosts: &mut usize = evacuated.entry(host.data_centre.as_str()).or_default();
            *hosts += usize::from(host.evacuated);
        }
        let mut since = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        for (data_centre, hosts) in evacuated {
            match (hosts > 0, since.get(data_centre).copied()) {
                (true, None) => {
                    since.insert(data_centre.to_owned(), now);
                    trail.record(Event::Evacuated {
                        data_centre: data_centre.to_owned(),
                        hosts,
                        knowledge_age_ms: age.map(|age| age.as_millis() as u64),
                    });
                }
                (false, Some(at)) => {
                    since.remove(data_centre);
                    trail.record(Event::Reopened {
                        data_centre: data_centre.to_owned(),
                        evacuated_ms: now.saturating_sub(at).as_millis() as u64,
                    });
                }
                (true, Some(_)) | (false, None) => {}
            }
        }
    }
}
