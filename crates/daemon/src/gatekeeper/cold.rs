//! What the daemon learns of a cold upstream, and the questions to it.

use std::sync::Arc;
use std::time::Duration;

use savorylane_intent::document::ColdStart;
use savorylane_intent::hosts::Host;
use savorylane_policy::cold::{Counts, Limits, Sign, Source};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::Gatekeeper;
use crate::kernel::Context;

/// Time within which the upstream must answer a question.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(500);

/// Wakes [`run`] when there may be a change to log or a question to ask.
#[derive(Debug, Default)]
pub(super) struct Signal(Notify);

/// Instances that requests and host lists named, and the cold start that the
/// latest list stated.
#[derive(Debug, Default)]
pub(super) struct Seen {
    /// The latest instance and the one before it. Requests of entries that
    /// have an older list still name the one before.
    instances: [String; 2],
    listed_ms: u32,
}

impl Seen {
    /// Records an instance. Returns whether it replaces another one that was
    /// known.
    pub(super) fn record(&mut self, instance: &str) -> bool {
        if self.instances.iter().any(|known| known == instance) {
            return false;
        }
        let [latest, before] = &mut self.instances;
        let replaces = !latest.is_empty();
        *before = std::mem::replace(latest, instance.to_owned());
        self.listed_ms = 0;
        replaces
    }

    /// Records the entry of this host in a list. Returns the time for which the
    /// upstream stays cold if the list states a cold start that previous lists
    /// did not.
    fn record_entry(&mut self, instance: &str, cold_ms: u32) -> Option<Duration> {
        self.record(instance);
        let known = std::mem::replace(&mut self.listed_ms, cold_ms);
        (cold_ms > 0 && cold_ms != known).then(|| Duration::from_millis(cold_ms.into()))
    }
}

impl Gatekeeper {
    /// Records `own`, the entry of this host in a list that comes into force;
    /// `None` if the list has no such entry.
    pub fn on_own_host(&self, own: Option<&Host>) {
        let Some((instance, host)) = own.and_then(|host| Some((host.instance.as_ref()?, host)))
        else {
            return;
        };
        let now = self.now();
        let mut inner = self.lock();
        if let Some(left) = inner.seen.record_entry(instance, host.cold_ms) {
            inner.gate.cold_mut().on_entry(now, left);
        }
        self.cold.0.notify_one();
    }

    /// Returns the effects of the limit of a cold upstream, and whether the
    /// limit is in force.
    pub fn cold_counts(&self) -> (Counts, bool) {
        let now = self.now();
        let inner = self.lock();
        let cold = inner.gate.cold();
        (cold.counts(), cold.is_limited(now))
    }

    /// Wakes [`run`] if there is a change to log or a question to ask.
    pub(super) fn notify_cold(&self, inner: &super::Inner, now: Duration) {
        if inner.gate.cold().is_due(now) {
            self.cold.0.notify_one();
        }
    }

    /// Puts the limits of a cold upstream in force, and logs what changed since
    /// the last call. Returns whether the upstream should be asked now, and else
    /// the time until that may be so.
    fn update_cold(&self, limits: Option<Limits>) -> (bool, Option<Duration>) {
        let now = self.now();
        let mut inner = self.lock();
        let cold = inner.gate.cold_mut();
        cold.set_limits(now, limits);
        if let (Some(change), Some(limits)) = (cold.take_change(), limits) {
            let (source, left_ms) = (change.source.name(), change.left.as_millis() as u64);
            // Silence is common at upstreams with few requests, where the limit
            // holds none of them back.
            let level = match change.source {
                Source::Sign(Sign::Silence) => log::Level::Debug,
                _ => log::Level::Info,
            };
            log::log!(
                target: "dependency", level, dependency = "upstream",
                outcome = if left_ms > 0 { "cold" } else { "warm" },
                source = source, left_ms = left_ms, requests_per_s = limits.requests_per_s;
                "the upstream counts as cold for {left_ms} ms, by its {source}"
            );
        }
        let wait = cold.next_question_at(now).map(|at| at.saturating_sub(now));
        (cold.should_ask(now), wait)
    }

    /// Asks the upstream how long it stays cold, and lets requests start that
    /// the limit no longer holds back.
    async fn ask_cold(&self, path: &str) {
        self.lock().gate.cold_mut().on_question(self.now());
        let answer = self.upstream.fetch_cold_left(path);
        let left = tokio::time::timeout(QUESTION_TIMEOUT, answer).await;
        let left = left.ok().flatten();
        let now = self.now();
        let mut inner = self.lock();
        match (left, inner.gate.cold().limits()) {
            (Some(left), Some(limits)) if !limits.is_credible(left) => log::warn!(
                target: "dependency", dependency = "upstream", outcome = "cold";
                "the upstream states that it stays cold for {left:?}, which is not credible"
            ),
            (None, _) => log::warn!(
                target: "dependency", dependency = "upstream", outcome = "cold";
                "the upstream does not say at {path} whether it is cold"
            ),
            _ => {}
        }
        inner.gate.on_cold_report(now, left);
        inner.perform_actions(now);
        self.changed.notify_one();
    }
}

/// Keeps the limits of a cold upstream as the document in force states them, and
/// asks the upstream how long it stays cold when that is due, until `stop` is
/// cancelled.
pub async fn run(context: &Arc<Context>, stop: CancellationToken) {
    tokio::select! {
        () = watch(context) => {}
        () = stop.cancelled() => {}
    }
}

async fn watch(context: &Context) {
    let gatekeeper = &context.gatekeeper;
    let mut current = context.config.subscribe();
    loop {
        current.borrow_and_update();
        let cold_start = own_cold_start(context);
        let path = cold_start
            .as_ref()
            .and_then(|cold| cold.health_path.as_deref());
        let (due, wait) = gatekeeper.update_cold(cold_start.as_ref().map(Limits::from));
        if let (true, Some(path)) = (due, path) {
            gatekeeper.ask_cold(path).await;
            continue;
        }
        let next_question = async {
            match wait {
                Some(wait) => tokio::time::sleep(wait).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            changed = current.changed() => if changed.is_err() { return },
            () = gatekeeper.cold.0.notified() => {}
            () = next_question => {}
        }
    }
}

/// Returns the limits of a cold upstream of this host's service, if the document
/// in force has any.
fn own_cold_start(context: &Context) -> Option<ColdStart> {
    let snapshot = context.config.snapshot()?;
    let mut services = snapshot.document.services.iter();
    let own = services.find(|service| service.name == context.settings.service)?;
    own.cold_start.clone()
}
