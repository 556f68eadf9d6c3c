//! Limit of the open connections from one address.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, PoisonError};

/// Number of open connections by address.
pub(super) type Open = Arc<Mutex<HashMap<IpAddr, usize>>>;

/// Permit for one connection, which counts against the limit of its address.
pub(super) struct Permit {
    open: Open,
    address: IpAddr,
}

impl Permit {
    /// Takes a permit for a connection from `address`. Returns `None` if `max`
    /// connections from there are open.
    pub(super) fn acquire(open: &Open, address: IpAddr, max: usize) -> Option<Self> {
        let mut counts = open.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts.entry(address).or_default();
        if *count >= max {
            return None;
        }
        *count += 1;
        Some(Self {
            open: Arc::clone(open),
            address,
        })
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut counts = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = counts.get_mut(&self.address) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.address);
            }
        }
    }
}
