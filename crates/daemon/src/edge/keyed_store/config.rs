//! Follower of the configuration in the store.

use std::sync::Arc;
use std::time::Duration;

use savorylane_distribution::pace::Pace;
use savorylane_distribution::source::MAX_RESUME_AGE;
use savorylane_intent::Document;
use savorylane_intent::adopt::{self, Outcome};
use savorylane_membership::backoff::Delay;
use savorylane_platform::store::{Batch, Fault, Keyspace, Update};

use super::{Store, log_batch};
use crate::audit::Event;
use crate::config::PLATFORM_SOURCE;

/// Reads new versions of the configuration from the store and offers them for
/// adoption.
pub(super) struct Follower<'a> {
    store: &'a Store,
    /// Revision up to which all versions are known; 0 if none is.
    revision: u64,
    pace: Pace,
    delay: Delay,
}

impl<'a> Follower<'a> {
    /// Returns a follower that resumes from the revision that the daemon knows,
    /// unless its knowledge is older than [`MAX_RESUME_AGE`].
    pub(super) fn new(store: &'a Store) -> Self {
        let distribution = &store.context.distribution;
        let age = distribution.age.at(store.context.now());
        let can_resume = age.is_some_and(|age| age <= MAX_RESUME_AGE);
        Self {
            store,
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
                true => client.read(Keyspace::Config).await,
                false => {
                    let wait = match first {
                        true => Duration::ZERO,
                        false => self.store.watch_timeout(),
                    };
                    client.watch(Keyspace::Config, self.revision, wait).await
                }
            };
            match answer.and_then(|batch| batch.at_least(self.revision)) {
                Ok(batch) => {
                    first = false;
                    read_newest = self.apply(batch).await;
                }
                Err(Fault::Compacted) => {
                    log::info!(
                        "the store compacted the history of the configuration; reading the newest version"
                    );
                    read_newest = true;
                }
                Err(fault) => {
                    let (store, delay) = (self.store, &mut self.delay);
                    store.await_recovery(Keyspace::Config, &fault, delay).await;
                }
            }
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
        let changed = batch.changes.iter().any(|change| change.revision > known);
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
        self.store.on_answer(Keyspace::Config);
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
