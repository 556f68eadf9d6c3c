//! The configuration, as a reader follows it.

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

/// Follows the configuration.
pub(super) struct Follower<'a> {
    store: &'a Store,
    /// Revision up to which all versions are known; 0 for none.
    revision: u64,
    pace: Pace,
    delay: Delay,
}

impl<'a> Follower<'a> {
    /// Returns a follower that goes on from what is known of the store.
    pub(super) fn open(store: &'a Store) -> Self {
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

    /// Follows the versions. Where the link is slow, those between two readings
    /// are passed over.
    pub(super) async fn follow(&mut self) {
        let mut read_newest = self.revision == 0;
        // The first answer shows at once that what is known holds.
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
                    log::info!("the history of the configuration is gone; reading it again");
                    read_newest = true;
                }
                Err(fault) => {
                    let (store, delay) = (self.store, &mut self.delay);
                    store.await_recovery(Keyspace::Config, &fault, delay).await;
                }
            }
        }
    }

    /// Takes an answer, and waits as the link asks for. Returns whether the
    /// newest version is read next, without those before it.
    async fn apply(&mut self, batch: Batch) -> bool {
        self.delay.reset();
        log_batch(&batch);
        let known = self.revision;
        self.revision = batch.revision;
        let passed = batch.transfer.body_time;
        // A reading that brings nothing newer ends a series.
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

    /// Offers a version on a thread that requests do not wait for.
    async fn offer(&self, document: Document) {
        let context = Arc::clone(&self.store.context);
        let offered = tokio::task::spawn_blocking(move || {
            let offer = |store: &mut adopt::Store| store.offer_document(document);
            context.config.offer(&context.trail, PLATFORM_SOURCE, offer)
        });
        // It ends with an error only if the runtime ends.
        if let Ok(Outcome::Refused { reason, .. }) = offered.await {
            log::error!("the configuration of the store is refused: {reason}");
        }
    }
}
