//! Instances of the host's upstream that leave or are gone, by the host list.
//!
//! Entries stop sending once they know it too. What reaches the gatekeeper
//! after that was chosen by an older list, or has waited in its queue.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use savorylane_intent::hosts::{Host, State};

/// Time after which an instance that leaves gets no more requests. Lists reach
/// all entries sooner than that, so that few requests are refused.
const DEPARTURE_GRACE: Duration = Duration::from_millis(500);
/// Time since the instance was known to stay after which it gets no more
/// requests, however late the news came: it may have left right after that, and
/// must get none from 2.5 s on.
const MAX_UNCONFIRMED: Duration = Duration::from_millis(1_500);
/// Instances that are kept; a host has one at a time.
const MAX_DEPARTURES: usize = 8;

/// An instance that leaves or is gone.
#[derive(Clone, Debug)]
struct Departure {
    instance: Arc<str>,
    /// From when on it gets no more requests.
    refused_from: Duration,
}

/// What the host lists told of the instances of the host's upstream.
#[derive(Debug, Default)]
pub struct Departures {
    /// Instance that was listed last.
    listed: Mutex<Option<Arc<str>>>,
    departures: ArcSwap<Vec<Departure>>,
}

impl Departures {
    /// Takes the entry of this host in a list that is in force from `now` on;
    /// `None` if it has none. All changes until `known` were known before.
    pub fn on_host_list(&self, now: Duration, confirmed_at: Duration, own: Option<&Host>) {
        let mut listed = self.listed.lock().unwrap_or_else(PoisonError::into_inner);
        let own = own.and_then(|host| Some((host.instance.as_deref()?, host.state)));
        let before = listed.take();
        if let Some(before) = before {
            let is_same = own.is_some_and(|(instance, _)| *before == *instance);
            match is_same {
                true => {}
                false => self.insert(now, confirmed_at, &before),
            }
            *listed = Some(before);
        }
        match own {
            Some((instance, State::Live)) => self.remove(instance),
            Some((instance, State::Leaving)) => self.insert(now, confirmed_at, instance),
            None => return,
        }
        *listed = own.map(|(instance, _)| instance.into());
    }

    /// Returns whether an instance gets no more requests at `now`.
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
            "the host list no longer has the upstream as live"
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
