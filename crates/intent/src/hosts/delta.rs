//! Transfer of host lists between daemons: complete lists, and deltas to a list
//! that the receiver has.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Checked, Host, List, check_peer_list, deflate, inflate, malformed};
use crate::fault::Fault;
use crate::version::Hash;

/// Changes that turn one host list into another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// Hash of the list that the delta applies to.
    pub base: Hash,
    /// Hash of the result.
    pub hash: Hash,
    /// Number of the result.
    pub number: u64,
    /// Hosts of the result that the base lacks or that differ from the base.
    pub changed: Vec<Host>,
    /// Names of the hosts that only the base contains.
    pub removed: Vec<String>,
}

/// Content of a transfer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Content {
    /// A complete list.
    List(List),
    /// Changes to a list that the receiver has.
    Delta(Delta),
}

/// Returns the hash of a list whose hosts are sorted by name.
///
/// # Panics
///
/// Never: every list can be written as JSON.
pub fn hash(list: &List) -> Hash {
    Hash::of(&serde_json::to_vec(list).expect("a list can be written as JSON"))
}

impl Delta {
    /// Returns the delta from `base` to `next`.
    pub fn between(base: &List, next: &List) -> Self {
        let by_name = |list: &'_ List| -> BTreeMap<String, Host> {
            let hosts = list.hosts.iter().cloned();
            hosts.map(|host| (host.name.clone(), host)).collect()
        };
        let (old, new) = (by_name(base), by_name(next));
        let removed = old.keys().filter(|name| !new.contains_key(*name));
        Self {
            base: hash(base),
            hash: hash(next),
            number: next.number,
            removed: removed.cloned().collect(),
            changed: new
                .into_values()
                .filter(|host| old.get(&host.name) != Some(host))
                .collect(),
        }
    }

    /// Applies the delta to `base`. The hosts of the result are not checked; see
    /// [`Content::resolve`].
    ///
    /// # Errors
    ///
    /// Returns [`Fault::Mismatch`] if `base` or the result does not have the
    /// hash that the delta states.
    pub fn apply(&self, base: &List) -> Result<List, Fault> {
        check_hash("base list", self.base, hash(base))?;
        let mut hosts: BTreeMap<&str, &Host> = BTreeMap::new();
        for host in base.hosts.iter().chain(&self.changed) {
            hosts.insert(&host.name, host);
        }
        for name in &self.removed {
            hosts.remove(name.as_str());
        }
        let list = List {
            number: self.number,
            hosts: hosts.into_values().cloned().collect(),
        };
        check_hash("host list", self.hash, hash(&list))?;
        Ok(list)
    }
}

impl Content {
    /// Returns the list that this content makes of `known`, the list in force,
    /// without the hosts that may not be in a list.
    ///
    /// # Errors
    ///
    /// Returns a [`Fault`] if a delta does not apply to `known`, or if the
    /// result has too many hosts.
    pub fn resolve(self, known: &List) -> Result<Checked, Fault> {
        match self {
            Self::List(list) => check_peer_list(list),
            Self::Delta(delta) => check_peer_list(delta.apply(known)?),
        }
    }
}

fn check_hash(what: &str, expected: Hash, found: Hash) -> Result<(), Fault> {
    if expected == found {
        return Ok(());
    }
    Err(Fault::Mismatch {
        what: what.into(),
        expected,
        found,
    })
}

/// Returns the content that updates a daemon with the list `base` to `next`.
///
/// The content is a delta if it names fewer hosts than `next` has. Without a
/// base, or if the delta is no smaller, the content is the complete list.
pub fn content_since(base: Option<&List>, next: &List) -> Content {
    let Some(base) = base else {
        return Content::List(next.clone());
    };
    let delta = Delta::between(base, next);
    match delta.changed.len() + delta.removed.len() < next.hosts.len() {
        true => Content::Delta(delta),
        false => Content::List(next.clone()),
    }
}

/// Encodes content for a peer as compressed JSON.
///
/// # Panics
///
/// Never: all content can be written as JSON, and writing to memory does not
/// fail.
pub fn encode(content: &Content) -> Vec<u8> {
    deflate(&serde_json::to_vec(content).expect("content can be written as JSON"))
}

/// Decodes content of a peer. Its hosts are not checked; see
/// [`Content::resolve`].
///
/// # Errors
///
/// Returns [`Fault::Malformed`] if the content is truncated or corrupted or
/// inflates to more than [`MAX_LIST_BYTES`](super::MAX_LIST_BYTES).
pub fn decode(bytes: &[u8]) -> Result<Content, Fault> {
    serde_json::from_slice(&inflate(bytes)?).map_err(|error| malformed(&error))
}
