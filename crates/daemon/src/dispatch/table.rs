//! Load estimates by host, and budgets and latencies by class.

use std::collections::HashMap;
use std::hash::Hash;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use savorylane_policy::patience::Patience;
use savorylane_policy::retry::{Budget, Latency, Settings};
use savorylane_policy::route::{Estimate, Mean};

/// Copy-on-write map: reads take no lock, and adding a key copies the map.
#[derive(Debug)]
struct Map<V>(ArcSwap<HashMap<String, Arc<V>>>);

impl<V> Map<V> {
    /// Returns the value of `key`, which is created if it is missing.
    fn get(&self, key: &str, create: impl FnOnce() -> V) -> Arc<V> {
        if let Some(value) = self.0.load().get(key) {
            return Arc::clone(value);
        }
        let fresh = Arc::new(create());
        self.0.rcu(|map| {
            let mut map = HashMap::clone(map);
            map.entry(key.into()).or_insert_with(|| Arc::clone(&fresh));
            map
        });
        self.0.load().get(key).map_or(fresh, Arc::clone)
    }

    fn retain<F: Fn(&str) -> bool>(&self, keep: F) {
        if self.0.load().keys().all(|key| keep(key)) {
            return;
        }
        self.0.rcu(|map| {
            let mut map = HashMap::clone(map);
            map.retain(|key, _| keep(key));
            map
        });
    }
}

impl<V> Default for Map<V> {
    fn default() -> Self {
        Self(ArcSwap::default())
    }
}

/// Retry and hedge budgets and latency of one class at this entry.
#[derive(Debug)]
pub struct Class {
    /// Retry budget.
    pub retry: Budget,
    /// Hedge budget.
    pub hedge: Budget,
    /// Counter of the round-robin policy.
    pub turn: AtomicUsize,
    latency: Mutex<Latency>,
}

impl Class {
    fn new(budgets: &Settings) -> Self {
        Self {
            retry: Budget::retry(budgets),
            hedge: Budget::hedge(budgets),
            turn: AtomicUsize::new(0),
            latency: Mutex::default(),
        }
    }

    /// Locks and returns the recent latencies.
    pub fn latency(&self) -> MutexGuard<'_, Latency> {
        self.latency.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Load estimates by host, and budgets and latencies by class.
#[derive(Debug, Default)]
pub struct Table {
    estimates: Map<Estimate>,
    classes: Map<Class>,
    /// Mean times of answers by the name of a class.
    means: Map<Mean>,
    patience: Map<Mutex<Patience>>,
    budgets: Settings,
}

impl Table {
    /// Creates an empty table whose classes get `budgets`.
    pub fn new(budgets: Settings) -> Self {
        Self {
            budgets,
            ..Self::default()
        }
    }

    /// Returns the estimate of a host, which is created if it is missing.
    pub fn estimate(&self, host: &str) -> Arc<Estimate> {
        self.estimates.get(host, Estimate::default)
    }

    /// Returns the budgets and latencies of a class, which are created if they
    /// are missing.
    pub fn class(&self, class: &str) -> Arc<Class> {
        self.classes.get(class, || Class::new(&self.budgets))
    }

    /// Returns the mean time of answers to requests of a class, which is created
    /// if it is missing.
    pub fn mean(&self, class: &str) -> Arc<Mean> {
        self.means.get(class, Mean::default)
    }

    /// Records the limit that a caller of a class announces at `now`. Returns
    /// the time since its first request, and the longest limit of its class.
    pub fn observe_limit(
        &self,
        class: &str,
        now: Duration,
        limit: Duration,
    ) -> (Duration, Duration) {
        let patience = self.patience.get(class, Mutex::default);
        let mut patience = patience.lock().unwrap_or_else(PoisonError::into_inner);
        (patience.observe(now, limit), patience.longest())
    }

    /// Removes the hosts and classes for which `keep_host` or `keep_class`
    /// returns false.
    pub fn retain<H, C>(&self, keep_host: H, keep_class: C)
    where
        H: Fn(&str) -> bool,
        C: Fn(&str) -> bool,
    {
        self.estimates.retain(keep_host);
        self.patience.retain(&keep_class);
        self.classes.retain(keep_class);
    }
}

/// Returns a hash of `value` that is stable within one process.
pub fn hash<T: Hash + ?Sized>(value: &T) -> u64 {
    use std::hash::{DefaultHasher, Hasher};
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
