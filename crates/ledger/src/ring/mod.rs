//! Rings of hosts that hold idempotency keys: the members of a ring, the member
//! that holds a key, and the lease that lets a daemon act as a holder.

use savorylane_intent::Hash;
use savorylane_intent::hosts::{List, State};
use savorylane_wire::control::{Ring, Scope};

mod coverage;
mod lease;
mod restore;

pub use coverage::{Coverage, MAX_HISTORY};
pub use lease::Lease;

/// Maximum number of members of a ring. A ring of this size tolerates the
/// failure of three members.
pub const MAX_MEMBERS: usize = 7;

/// Computes the ring of `scope` from a host list.
///
/// - Candidates are the live hosts of the home region, whatever their service:
///   with two hosts per service and region, a ring of one service's hosts would
///   stop when one host failed.
/// - Hosts in state `leaving` are not members, so that the ring changes while
///   they still run and can confirm the change to a new holder.
/// - Sizes above 2 are odd, because the additional member of an even ring does
///   not make it tolerate another failure.
pub fn compute(list: &List, scope: &Scope) -> Ring {
    let mut scored: Vec<(u64, &str)> = list
        .hosts
        .iter()
        .filter(|host| host.state == State::Live)
        .filter(|host| scope.home.as_ref().is_none_or(|home| *home == host.region))
        .map(|host| {
            let home = scope.home.as_deref().unwrap_or_default();
            let score = score(
                &[b"ring", scope.service.as_bytes(), home.as_bytes()],
                &host.name,
            );
            (score, host.name.as_str())
        })
        .collect();
    scored.sort_by(|a, b| b.cmp(a));
    let mut count = scored.len().min(MAX_MEMBERS);
    if count > 2 && count.is_multiple_of(2) {
        count -= 1;
    }
    let mut members: Vec<String> = scored[..count]
        .iter()
        .map(|(_, name)| (*name).to_string())
        .collect();
    members.sort();
    build(scope.clone(), list.number, members)
}

/// Builds the ring with the given members. `number` is the number of the host
/// list from which the ring was computed.
///
/// # Panics
///
/// Panics in debug builds if `members` is not sorted by name.
pub fn build(scope: Scope, number: u64, members: Vec<String>) -> Ring {
    debug_assert!(members.is_sorted(), "the ring hash needs sorted members");
    let mut hasher = blake3::Hasher::new();
    hash_field(&mut hasher, scope.service.as_bytes());
    // Distinguishes an empty home region from none.
    hash_field(&mut hasher, &[u8::from(scope.home.is_some())]);
    hash_field(
        &mut hasher,
        scope.home.as_deref().unwrap_or_default().as_bytes(),
    );
    for member in &members {
        hash_field(&mut hasher, member.as_bytes());
    }
    Ring {
        scope,
        number,
        members,
        hash: Hash(*hasher.finalize().as_bytes()),
    }
}

/// Returns the member that holds `key`, or `None` for an empty ring.
pub fn holder<'a>(ring: &'a Ring, key: &str) -> Option<&'a str> {
    highest_scoring(ring.members.iter().map(String::as_str), key.as_bytes())
}

/// Returns the host with the highest rendezvous score for `subject`.
pub(crate) fn highest_scoring<'a>(
    hosts: impl Iterator<Item = &'a str>,
    subject: &[u8],
) -> Option<&'a str> {
    hosts.max_by_key(|host| (score(&[b"holder", subject], host), *host))
}

/// Returns the size of a majority of `members`.
pub(crate) fn majority(members: usize) -> usize {
    members / 2 + 1
}

/// Returns the rendezvous score of `host` for the subject given by `fields`.
fn score(fields: &[&[u8]], host: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for bytes in fields {
        hash_field(&mut hasher, bytes);
    }
    hash_field(&mut hasher, host.as_bytes());
    let mut head = [0; 8];
    head.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(head)
}

/// Hashes a field prefixed with its length, so that different lists of fields
/// never yield the same input.
pub(crate) fn hash_field(hasher: &mut blake3::Hasher, bytes: &[u8]) {
    hasher.update(&(bytes.len() as u64).to_le_bytes());
    hasher.update(bytes);
}
