//! Evacuations: data centres whose upstreams must get no requests until the
//! operators take it back.
//!
//! The operators write an item for each evacuated data centre into the store,
//! and remove it at the end. The items come from complete reads and from
//! watches, in any order.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::revision;

/// Time for which an evacuation that a store lacks after it came back from an
/// older copy still holds. Operators write again what the store has lost. An
/// evacuation that ends too soon sends requests where none may go; one that
/// ends late costs capacity only.
pub const REWRITE_GRACE: Duration = Duration::from_secs(5);

/// Maximum number of data centres that are remembered, far more than there are.
const MAX_DATA_CENTRES: usize = 1_000;

/// What is known of the evacuation of one data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Item {
    /// Revision of the last change.
    revision: u64,
    /// Whether the data centre is evacuated; an ended evacuation is kept, so
    /// that an older answer does not begin it again.
    active: bool,
    /// Time at which the evacuation ends because the store lost it.
    ends_at: Option<Duration>,
}

/// Evacuated data centres.
///
/// Invariant: an item changes only to a greater revision, and by a complete
/// read only if it is not newer than the read.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    items: BTreeMap<String, Item>,
    /// Revision of the last complete read; 0 if there was none.
    complete_at: u64,
    /// Revision of the last change of the evacuated data centres.
    changed_at: u64,
}

impl Evacuations {
    /// Returns the evacuations known at `revision`, before the store was read.
    pub fn seeded<'a>(revision: u64, data_centres: impl IntoIterator<Item = &'a str>) -> Self {
        let item = Item {
            revision: 0,
            active: true,
            ends_at: None,
        };
        let items = data_centres.into_iter();
        Self {
            items: items.map(|name| (name.to_owned(), item)).collect(),
            complete_at: revision,
            changed_at: revision,
        }
    }

    /// Records that an evacuation began or ended. Returns whether that changed
    /// the evacuated data centres.
    pub fn record(&mut self, revision: u64, data_centre: &str, active: bool) -> bool {
        let known = self.items.get(data_centre).copied();
        let known_at = known.map_or(0, |item| item.revision);
        let outdated = revision <= known_at || revision <= self.complete_at;
        if outdated || known.is_none() && self.items.len() >= MAX_DATA_CENTRES {
            return false;
        }
        let item = Item {
            revision,
            active,
            ends_at: None,
        };
        self.items.insert(data_centre.to_owned(), item);
        let changed = known.is_some_and(|item| item.active) != active;
        if changed {
            self.changed_at = self.changed_at.max(revision);
        }
        changed
    }

    /// Reconciles the evacuations with a complete read at `revision`, which
    /// lists the items `listed` with their revisions. Returns whether that
    /// changed the evacuated data centres.
    ///
    /// A read of a greater era may lack evacuations that the store has lost.
    /// They hold for [`REWRITE_GRACE`].
    pub fn reconcile(&mut self, now: Duration, revision: u64, listed: &[(u64, &str)]) -> bool {
        if revision < self.complete_at {
            return false;
        }
        let was_restored =
            self.complete_at > 0 && revision::era(revision) > revision::era(self.complete_at);
        let mut changed = false;
        for (name, item) in &mut self.items {
            let is_listed = listed.iter().any(|(_, listed)| listed == name);
            if is_listed || !item.active || item.revision > revision {
                continue;
            }
            if was_restored {
                item.ends_at = Some(now + REWRITE_GRACE);
            } else if item.ends_at.is_none() {
                item.active = false;
                item.revision = revision;
                changed = true;
            }
        }
        // The items of the read are not older than its revision allows, also if
        // an earlier complete read was of the same revision.
        self.complete_at = 0;
        for (at, name) in listed {
            changed |= self.record(*at, name, true);
            if let Some(item) = self
                .items
                .get_mut(*name)
                .filter(|item| item.revision <= revision)
            {
                item.ends_at = None;
            }
        }
        self.complete_at = revision;
        if changed {
            self.changed_at = self.changed_at.max(revision);
        }
        changed
    }

    /// Ends the evacuations that the store lost and that were not written
    /// again by `now`. Returns whether there was one.
    pub fn expire(&mut self, now: Duration) -> bool {
        let mut changed = false;
        for item in self.items.values_mut() {
            if item.active && item.ends_at.is_some_and(|at| now >= at) {
                item.active = false;
                item.ends_at = None;
                changed = true;
            }
        }
        changed
    }

    /// Adds evacuations that another daemon has learned of and whose revisions
    /// are not known.
    pub fn assume<'a>(&mut self, data_centres: impl IntoIterator<Item = &'a str>) {
        for data_centre in data_centres {
            let item = self.items.entry(data_centre.to_owned()).or_insert(Item {
                revision: 0,
                active: true,
                ends_at: None,
            });
            item.active = true;
        }
    }

    /// Returns whether the upstreams of `data_centre` must get no requests.
    pub fn contains(&self, data_centre: &str) -> bool {
        let item = self.items.get(data_centre);
        item.is_some_and(|item| item.active)
    }

    /// Returns the evacuated data centres.
    pub fn data_centres(&self) -> impl Iterator<Item = &str> {
        let items = self.items.iter().filter(|(_, item)| item.active);
        items.map(|(name, _)| name.as_str())
    }

    /// Returns the revision of the last change of the evacuated data centres.
    pub fn changed_at(&self) -> u64 {
        self.changed_at
    }
}
