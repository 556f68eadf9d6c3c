//! Queue of changed records to disseminate with heartbeats.

use std::collections::{BTreeMap, HashMap};

/// Bit of a key that makes it greater than the keys of all changes that are not
/// urgent. The queue is read from the greatest key down.
const URGENT_BIT: u64 = 1 << 63;

/// Hosts whose records changed, each with the number of transmissions left.
///
/// The most recent change is sent first, and urgent changes precede all others:
/// while many hosts become suspects, a `leaving` record would otherwise wait
/// behind newer changes for longer than the 3 s within which it must have
/// reached all hosts.
///
/// Invariant: `keys` maps each queued host to its key in `queue`.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Host index and transmissions left, by key.
    queue: BTreeMap<u64, (u32, u16)>,
    keys: HashMap<u32, u64>,
    /// Last key assigned, without [`URGENT_BIT`].
    last_key: u64,
}

impl Queue {
    /// Queues `host` as the most recent change, to be sent `transmissions`
    /// times. Replaces an earlier entry of the host.
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

    /// Removes `host`, if it is queued.
    pub fn remove(&mut self, host: u32) {
        if let Some(key) = self.keys.remove(&host) {
            self.queue.remove(&key);
        }
    }

    /// Returns up to `limit` of the most recent changes that satisfy
    /// `predicate` and counts one transmission of each.
    ///
    /// At most `4 * limit` changes are examined.
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
            // Otherwise the hash map would keep its memory after a burst.
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
