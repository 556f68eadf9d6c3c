//! Choice of the host that serves a request.

use std::sync::atomic::{AtomicU32, Ordering};

use rand::Rng;
use rand::RngExt;

/// How far a host is from the daemon that chooses.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// The daemon's own host.
    Host,
    /// Another host of the same data centre.
    DataCentre,
    /// Another data centre of the same region.
    Region,
    /// Another region.
    Far,
}

/// What a daemon knows of one host. Updated with atomics on the request path.
#[derive(Debug, Default)]
pub struct Estimate {
    running: AtomicU32,
}

impl Estimate {
    /// Counts a request that is sent to the host.
    pub fn begin(&self) {
        self.running.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the end of a request.
    pub fn end(&self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the requests of this daemon that the host has not answered.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::Relaxed)
    }
}

/// A host that may serve the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// What is known of the host.
    pub estimate: &'a Estimate,
    /// How far it is.
    pub distance: Distance,
}

/// Returns the index of the candidate that serves the request, or `None` if
/// there is none.
pub fn choose<R: Rng>(rng: &mut R, candidates: &[Candidate<'_>]) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    let first = rng.random_range(0..candidates.len());
    let second = rng.random_range(0..candidates.len());
    let cost = |index: usize| {
        let candidate = &candidates[index];
        (candidate.estimate.running(), candidate.distance)
    };
    Some(if cost(second) < cost(first) {
        second
    } else {
        first
    })
}
