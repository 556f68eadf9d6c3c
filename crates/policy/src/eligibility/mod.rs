//! Eligibility of upstreams: which upstreams a request may use, and what rules
//! out the others.
//!
//! The rules here are conditions. They hold for every attempt of a request,
//! whatever the load and the distance of the upstreams are; those decide among
//! the eligible ones in [`route`](crate::route).

use std::fmt;

use savorylane_intent::document::Class;
use savorylane_intent::hosts::{Host, State};

/// Reason why a request must not use an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exclusion {
    /// The host list shows the upstream as leaving.
    NotLive,
    /// The upstream is in a region that is not a home of the class.
    OutsideHomes,
    /// Operators evacuate the data centre of the upstream.
    Evacuated,
    /// The host is unreachable according to membership.
    Unroutable,
}

impl Exclusion {
    /// All exclusions, in the order in which they are reported.
    pub const ALL: [Self; 4] = [
        Self::NotLive,
        Self::OutsideHomes,
        Self::Evacuated,
        Self::Unroutable,
    ];

    /// Returns whether the exclusion rules out `host` for requests of `class`.
    fn applies(self, class: &Class, host: &Host, routable: bool) -> bool {
        match self {
            // Without an instance, membership decides whether a host is live.
            Self::NotLive => host.instance.is_some() && host.state != State::Live,
            Self::OutsideHomes => !class.is_home(&host.region),
            Self::Evacuated => host.evacuated,
            Self::Unroutable => !routable,
        }
    }

    /// Returns the text of the exclusion in the reason of a refusal.
    fn text(self) -> &'static str {
        match self {
            Self::NotLive => "not live",
            Self::OutsideHomes => "outside the homes",
            Self::Evacuated => "evacuated",
            Self::Unroutable => "not routable",
        }
    }
}

/// Checks that requests of `class` may use the upstream of `host`; `routable`
/// states whether membership finds the host reachable.
///
/// # Errors
///
/// Returns the first [`Exclusion`] that applies.
pub fn check(class: &Class, host: &Host, routable: bool) -> Result<(), Exclusion> {
    let mut exclusions = Exclusion::ALL.into_iter();
    let found = exclusions.find(|exclusion| exclusion.applies(class, host, routable));
    found.map_or(Ok(()), Err)
}

/// Returns whether a retry of `class` may have to leave `region`, because the
/// region is not a home, or because evacuations rule out all upstreams that it
/// has among `hosts`, the hosts of the service.
///
/// A retry otherwise stays in the region of its entry. A region without any
/// upstream of the service does not count as barred.
pub fn is_region_barred<'a>(
    class: &Class,
    region: &str,
    hosts: impl IntoIterator<Item = &'a Host>,
) -> bool {
    if !class.is_home(region) {
        return true;
    }
    let in_region = hosts.into_iter().filter(|host| host.region == region);
    let mut live = in_region
        .filter(|host| host.state == State::Live)
        .peekable();
    live.peek().is_some() && live.all(|host| host.evacuated)
}

/// Number of a service's upstreams, and how many of them each exclusion rules
/// out. Several exclusions may rule out the same upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// Number of listed upstreams.
    pub listed: usize,
    excluded: [usize; Exclusion::ALL.len()],
}

impl Tally {
    /// Adds the upstream of `host`.
    pub fn add(&mut self, class: &Class, host: &Host, routable: bool) {
        self.listed += 1;
        for (count, exclusion) in self.excluded.iter_mut().zip(Exclusion::ALL) {
            *count += usize::from(exclusion.applies(class, host, routable));
        }
    }

    /// Returns the number of upstreams that `exclusion` rules out.
    pub fn excluded_by(&self, exclusion: Exclusion) -> usize {
        self.excluded[exclusion as usize]
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} listed", self.listed)?;
        for exclusion in Exclusion::ALL {
            let of_them = match exclusion {
                Exclusion::NotLive => "of them ",
                _ => "",
            };
            let count = self.excluded_by(exclusion);
            write!(f, ", {count} {of_them}{}", exclusion.text())?;
        }
        Ok(())
    }
}
