//! Queue of changed records that heartbeats carry.

use std::collections::{BTreeMap, HashMap};

/// Bit of an order that puts it after, that is more recent than, all others.
const URGENT: u64 = 1 << 63;

/// Changed hosts in order of their last change, each with the number of times
/// that it is still to be sent. Urgent changes precede all others: with many
/// suspicions under way, a `leaving` would otherwise wait behind newer ones for
/// longer than the 3 s that it may take.
///
/// Invariant: `orders` maps each queued host to its key in `queue`.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    queue: BTreeMap<u64, (u32, u16)>,
    orders: HashMap<u32, u64>,
    next: u64,
}

impl Queue {
    /// Queues `host` as the most recent change, to be sent `times`.
    pub fn push(&mut self, host: u32, times: u16, urgent: bool) {
        self.remove(host);
        self.next += 1;
        let order = if urgent {
            self.next | URGENT
        } else {
            self.next
        };
        self.queue.insert(order, (host, times));
        self.orders.insert(host, order);
    }

    /// Removes `host`.
    pub fn remove(&mut self, host: u32) {
        if let Some(order) = self.orders.remove(&host) {
            self.queue.remove(&order);
        }
    }

    /// Returns up to `limit` most recent changes that `wanted` accepts and
    /// counts each as sent once. It looks at no more than `4 * limit` changes.
    pub fn take(&mut self, limit: usize, mut wanted: impl FnMut(u32) -> bool) -> Vec<u32> {
        let mut taken = Vec::new();
        let mut spent = Vec::new();
        for (&order, (host, times)) in self.queue.iter_mut().rev().take(4 * limit) {
            if taken.len() == limit {
                break;
            }
            if !wanted(*host) {
                continue;
            }
            taken.push(*host);
            *times = times.saturating_sub(1);
            if *times == 0 {
                spent.push((order, *host));
            }
        }
        for (order, host) in spent {
            self.queue.remove(&order);
            self.orders.remove(&host);
        }
        if self.queue.is_empty() {
            // A hash map keeps its memory after a burst otherwise.
            self.orders.shrink_to_fit();
        }
        taken
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
