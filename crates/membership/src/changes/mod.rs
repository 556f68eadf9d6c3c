//! Queue of changed records that heartbeats carry.

use std::collections::{BTreeMap, HashMap};

/// Bit of an order that puts it after, that is more recent than, all others.
const URGENT_BIT: u64 = 1 << 63;

/// Changed hosts in order of their last change, each with the number of times
/// that it is still to be sent. Urgent changes precede all others: with many
/// suspicions under way, a `leaving` would otherwise wait behind newer ones for
/// longer than the 3 s that it may take.
///
/// Invariant: `keys` maps each queued host to its key in `queue`.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    queue: BTreeMap<u64, (u32, u16)>,
    keys: HashMap<u32, u64>,
    last_key: u64,
}

impl Queue {
    /// Queues `host` as the most recent change, to be sent `transmissions`.
    pub fn push(&mut self, host: u32, transmissions: u16, urgent: bool) {
        self.remove(host);
        self.last_key += 1;
        let key = if urgent {
            self.last_key | URGENT_BIT
        } else {
            self.last_key
        };
        self.queue.insert(key, (host, transmissions));
        self.keys.insert(host, key);
    }

    /// Removes `host`.
    pub fn remove(&mut self, host: u32) {
        if let Some(key) = self.keys.remove(&host) {
            self.queue.remove(&key);
        }
    }

    /// Returns up to `limit` most recent changes that `predicate` accepts and
    /// counts each as sent once. It looks at no more than `4 * limit` changes.
    pub fn next_batch(&mut self, limit: usize, mut predicate: impl FnMut(u32) -> bool) -> Vec<u32> {
        let mut batch = Vec::new();
        let mut exhausted = Vec::new();
        for (&key, (host, transmissions)) in self.queue.iter_mut().rev().take(4 * limit) {
            if batch.len() == limit {
                break;
            }
            if !predicate(*host) {
                continue;
            }
            batch.push(*host);
            *transmissions = transmissions.saturating_sub(1);
            if *transmissions == 0 {
                exhausted.push((key, *host));
            }
        }
        for (key, host) in exhausted {
            self.queue.remove(&key);
            self.keys.remove(&host);
        }
        if self.queue.is_empty() {
            // A hash map keeps its memory after a burst otherwise.
            self.keys.shrink_to_fit();
        }
        batch
    }

    /// Returns the number of queued changes.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}
