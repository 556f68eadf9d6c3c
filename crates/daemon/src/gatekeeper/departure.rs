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
const GRACE: Duration = Duration::from_millis(500);
/// Time since the instance was known to stay after which it gets no more
/// requests, however late the news came: it may have left right after that, and
/// must get none from 2.5 s on.
const UNKNOWN_MAX: Duration = Duration::from_millis(1_500);
/// Instances that are kept; a host has one at a time.
const KEPT: usize = 8;

/// An instance that leaves or is gone.
#[derive(Clone, Debug)]
struct Departure {
    instance: Arc<str>,
    /// From when on it gets no more requests.
    refused: Duration,
}

/// What the host lists told of the instances of the host's upstream.
#[derive(Debug, Default)]
pub struct Departures {
    /// Instance that was listed last.
    listed: Mutex<Option<Arc<str>>>,
    known: ArcSwap<Vec<Departure>>,
}

impl Departures {
    /// Takes the entry of this host in a list that is in force from `now` on;
    /// `None` if it has none. All changes until `known` were known before.
    pub fn on_host_list(&self, now: Duration, known: Duration, own: Option<&Host>) {
        let mut listed = self.listed.lock().unwrap_or_else(PoisonError::into_inner);
        let own = own.and_then(|host| Some((host.instance.as_deref()?, host.state)));
        let before = listed.take();
        if let Some(before) = before {
            let goes_on = own.is_some_and(|(instance, _)| *before == *instance);
            match goes_on {
                true => {}
                false => self.begin(now, known, &before),
            }
            *listed = Some(before);
        }
        match own {
            Some((instance, State::Live)) => self.end(instance),
            Some((instance, State::Leaving)) => self.begin(now, known, instance),
            None => return,
        }
        *listed = own.map(|(instance, _)| instance.into());
    }

    /// Returns whether an instance gets no more requests at `now`.
    pub fn has_left(&self, now: Duration, instance: &str) -> bool {
        let known = self.known.load();
        let mut departures = known.iter();
        departures.any(|departure| *departure.instance == *instance && now >= departure.refused)
    }

    fn begin(&self, now: Duration, known: Duration, instance: &str) {
        let mut departures = Vec::clone(&self.known.load());
        if departures.iter().any(|known| *known.instance == *instance) {
            return;
        }
        let refused = (now + GRACE).min(known + UNKNOWN_MAX);
        log::info!(
            target: "dependency", dependency = "upstream", outcome = "leaving",
            instance = instance, unknown_ms = now.saturating_sub(known).as_millis() as u64;
            "the host list no longer has the upstream as live"
        );
        departures.push(Departure {
            instance: instance.into(),
            refused,
        });
        let excess = departures.len().saturating_sub(KEPT);
        departures.drain(..excess);
        self.known.store(Arc::new(departures));
    }

    fn end(&self, instance: &str) {
        let mut known = Vec::clone(&self.known.load());
        known.retain(|departure| *departure.instance != *instance);
        self.known.store(Arc::new(known));
    }
}
