//! Instances of the host's upstream that are leaving or gone, according to the
//! host list.
//!
//! Entries stop sending requests to such an instance once they have the list
//! too. Requests that still arrive were routed by an older list, or waited in
//! the gatekeeper's queue.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use savorylane_intent::hosts::{Host, State};

/// Time for which an instance still gets requests after a list shows that it is
/// leaving or gone. Lists reach all entries sooner than that, so few requests
/// are refused.
const DEPARTURE_GRACE: Duration = Duration::from_millis(500);
/// Time after the last confirmation that the instance was live after which it
/// gets no more requests, however late the host list arrived: the instance may
/// have left right after the confirmation, and must not get any request more
/// than 2.5 s after it left.
const MAX_UNCONFIRMED: Duration = Duration::from_millis(1_500);
/// Maximum number of departures that are remembered. A host has one instance at
/// a time.
const MAX_DEPARTURES: usize = 8;

/// An instance that is leaving or gone.
#[derive(Clone, Debug)]
struct Departure {
    instance: Arc<str>,
    /// Time from which the instance gets no more requests.
    refused_from: Duration,
}

/// Departures of the instances of the host's upstream.
#[derive(Debug, Default)]
pub struct Departures {
    /// Instance in the latest host list.
    listed: Mutex<Option<Arc<str>>>,
    departures: ArcSwap<Vec<Departure>>,
}

impl Departures {
    /// Records `own`, the entry of this host in a list that is in force from
    /// `now` on; `None` if the list has no such entry. All changes up to
    /// `confirmed_at` were known before this list.
    pub fn on_host_list(&self, now: Duration, confirmed_at: Duration, own: Option<&Host>) {
        let mut listed = self.listed.lock().unwrap_or_else(PoisonError::into_inner);
        let own = own.and_then(|host| Some((host.instance.as_deref()?, host.state)));
        let previous = listed.take();
        if let Some(previous) = previous {
            let is_same = own.is_some_and(|(instance, _)| *previous == *instance);
            match is_same {
                true => {}
                false => self.insert(now, confirmed_at, &previous),
            }
            *listed = Some(previous);
        }
        match own {
            Some((instance, State::Live)) => self.remove(instance),
            Some((instance, State::Leaving)) => self.insert(now, confirmed_at, instance),
            None => return,
        }
        *listed = own.map(|(instance, _)| instance.into());
    }

    /// Returns whether an instance has left, so that it gets no requests at
    /// `now`.
    pub fn has_left(&self, now: Duration, instance: &str) -> bool {
        let departures = self.departures.load();
        let mut departures = departures.iter();
        departures
            .any(|departure| *departure.instance == *instance && now >= departure.refused_from)
    }

    fn insert(&self, now: Duration, confirmed_at: Duration, instance: &str) {
        let mut departures = Vec::clone(&self.departures.load());
        if departures
            .iter()
            .any(|departure| *departure.instance == *instance)
        {
            return;
        }
        let refused_from = (now + DEPARTURE_GRACE).min(confirmed_at + MAX_UNCONFIRMED);
        log::info!(
            target: "dependency", dependency = "upstream", outcome = "leaving",
            instance = instance, unknown_ms = now.saturating_sub(confirmed_at).as_millis() as u64;
            "the host list no longer shows the upstream {instance} as live"
        );
        departures.push(Departure {
            instance: instance.into(),
            refused_from,
        });
        let excess = departures.len().saturating_sub(MAX_DEPARTURES);
        departures.drain(..excess);
        self.departures.store(Arc::new(departures));
    }

    fn remove(&self, instance: &str) {
        let mut departures = Vec::clone(&self.departures.load());
        departures.retain(|departure| *departure.instance != *instance);
        self.departures.store(Arc::new(departures));
    }
}
