//! Follower of what the operators write into the store: the configuration and
//! the evacuations.

use std::sync::Arc;
use std::time::Duration;

use savorylane_distribution::pace::Pace;
use savorylane_distribution::source::MAX_RESUME_AGE;
use savorylane_intent::Document;
use savorylane_intent::adopt::{self, Outcome};
use savorylane_membership::backoff::Delay;
use savorylane_platform::store::{Batch, Change, Fault, Keyspace, Update};

use super::{Part, Store, log_batch};
use crate::audit::Event;
use crate::config::PLATFORM_SOURCE;
use crate::settings::Adapter;

/// Reads new versions of the configuration from the store and offers them for
/// adoption, and passes evacuations to the follower of the entries.
pub(super) struct Follower<'a> {
    store: &'a Store,
    adapter: &'a Adapter,
    /// Revision up to which all versions are known; 0 if none is.
    revision: u64,
    pace: Pace,
    delay: Delay,
}

impl<'a> Follower<'a> {
    /// Returns a follower that resumes from the revision that the daemon knows,
    /// unless its knowledge is older than [`MAX_RESUME_AGE`].
    pub(super) fn new(store: &'a Store, adapter: &'a Adapter) -> Self {
        let distribution = &store.context.distribution;
        let age = distribution.age.at(store.context.now());
        let can_resume = age.is_some_and(|age| age <= MAX_RESUME_AGE);
        Self {
            store,
            adapter,
            revision: if can_resume {
                distribution.revision()
            } else {
                0
            },
            pace: Pace::default(),
            delay: Delay::default(),
        }
    }

    /// Follows the versions. On a slow link, only the newest version is read
    /// and intermediate versions are skipped.
    pub(super) async fn follow(&mut self) {
        let mut read_newest = self.revision == 0;
        // The first watch does not wait, so that its answer immediately
        // confirms that the known version is current.
        let mut first = true;
        loop {
            let client = &self.store.config;
            let answer = match read_newest {
                true => client.read(Keyspace::Operator).await,
                false => {
                    let wait = match first {
                        true => Duration::ZERO,
                        false => self.store.watch_timeout(),
                    };
                    client.watch(Keyspace::Operator, self.revision, wait).await
                }
            };
            match answer.and_then(|batch| batch.at_least(self.revision)) {
                Ok(batch) => {
                    first = false;
                    self.apply_evacuations(&batch, read_newest);
                    read_newest = self.apply(batch).await;
                }
                Err(fault @ (Fault::Compacted | Fault::Restored { .. })) => {
                    log::info!("reading the newest version of the configuration: {fault}");
                    read_newest = true;
                }
                Err(fault) => {
                    self.store.evacuations.on_lost();
                    let (store, delay) = (self.store, &mut self.delay);
                    store.await_recovery(Part::Operator, &fault, delay).await;
                }
            }
        }
    }

    /// Passes the evacuations of an answer on; `complete` states whether it
    /// contains all of them.
    fn apply_evacuations(&self, batch: &Batch, complete: bool) {
        let (store, now) = (self.store, self.store.context.now());
        let changed = match complete {
            true => store.evacuations.apply_full(now, self.adapter, batch),
            false => store.evacuations.apply_changes(now, self.adapter, batch),
        };
        if changed {
            store.evacuations.notify();
        }
    }

    /// Applies an answer, then pauses according to the rate of the link.
    /// Returns whether to read only the newest version next.
    async fn apply(&mut self, batch: Batch) -> bool {
        self.delay.reset();
        log_batch(&batch);
        let known = self.revision;
        self.revision = batch.revision;
        let passed = batch.transfer.body_time;
        // A read without a newer version ends a series of changes.
        let is_newer =
            |change: &Change| matches!(change.update, Update::Config(_)) && change.revision > known;
        let changed = batch.changes.iter().any(is_newer);
        let newest = batch.changes.into_iter().rev();
        let mut versions = newest.filter_map(|change| match change.update {
            Update::Config(version) => Some(version),
            _ => None,
        });
        match versions.next() {
            Some(Ok(document)) => self.offer(document).await,
            Some(Err(fault)) => self.store.context.trail.record(Event::Refused {
                source: PLATFORM_SOURCE.into(),
                reason: fault.to_string(),
            }),
            None => {}
        }
        self.store.context.distribution.on_revision(self.revision);
        self.store.on_answer(Part::Operator);
        if !changed {
            return false;
        }
        self.pace.on_transfer(passed);
        tokio::time::sleep(self.pace.pause()).await;
        self.pace.is_slow()
    }

    /// Offers a version on a blocking thread, so that requests are not delayed.
    async fn offer(&self, document: Document) {
        let context = Arc::clone(&self.store.context);
        let offered = tokio::task::spawn_blocking(move || {
            let offer = |store: &mut adopt::Store| store.offer_document(document);
            context.config.offer(&context.trail, PLATFORM_SOURCE, offer)
        });
        // Joining the task fails only if the runtime shuts down.
        if let Ok(Outcome::Refused { reason, .. }) = offered.await {
            log::error!("refused the configuration from the store: {reason}");
        }
    }
}
