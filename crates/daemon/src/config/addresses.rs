//! Addresses of the hosts of the deployment.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{PoisonError, RwLock};

use savorylane_intent::hosts::List;

/// Maximum number of addresses that are remembered.
const MAX_ADDRESSES: usize = 16_384;

/// Addresses of the hosts of all lists that were in force, with their names. A
/// host that leaves is no longer listed while it completes the requests of its
/// callers.
#[derive(Debug, Default)]
pub(super) struct Addresses(RwLock<HashMap<IpAddr, String>>);

impl Addresses {
    /// Records the hosts of a list that comes into force.
    pub(super) fn record(&self, list: &List) {
        let mut names = self.0.write().unwrap_or_else(PoisonError::into_inner);
        if names.len() > MAX_ADDRESSES {
            names.clear();
        }
        for host in &list.hosts {
            let address = host.data.ip();
            if names.get(&address) != Some(&host.name) {
                names.insert(address, host.name.clone());
            }
        }
    }

    /// Returns whether a host other than `own` has or had this address.
    pub(super) fn is_other(&self, address: IpAddr, own: &str) -> bool {
        let names = self.0.read().unwrap_or_else(PoisonError::into_inner);
        names.get(&address).is_some_and(|name| name != own)
    }
}
