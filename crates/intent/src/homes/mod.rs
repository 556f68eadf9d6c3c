//! Homes of classes that no listed host serves.
//!
//! A class may name regions that do not exist, or be split over a service that
//! has no upstream in its homes. Documents and host lists change independently,
//! so that neither is a fault of the document. Operators are told of both.

use std::collections::BTreeSet;
use std::fmt;

use crate::snapshot::Snapshot;

/// Homes of a class that no listed host serves.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Gap {
    /// No listed host is in a region that the class names as a home.
    Region {
        /// Name of the class.
        class: String,
        /// The region.
        region: String,
    },
    /// No listed upstream of a service of the class is in one of the homes.
    Service {
        /// Name of the class.
        class: String,
        /// The service.
        service: String,
    },
}

impl fmt::Display for Gap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Region { class, region } => {
                write!(f, "class {class}: no listed host is in its home {region}")
            }
            Self::Service { class, service } => write!(
                f,
                "class {class}: no listed upstream of service {service} is in its homes; \
                 requests for that service are refused"
            ),
        }
    }
}

/// Returns the gaps in the homes of all classes, in the order of the classes.
pub fn gaps(snapshot: &Snapshot) -> Vec<Gap> {
    let hosts = snapshot.list.hosts.iter();
    let regions: BTreeSet<&str> = hosts.map(|host| host.region.as_str()).collect();
    let mut gaps = Vec::new();
    let classes = snapshot.document.classes.iter();
    for class in classes.filter(|class| !class.homes.is_empty()) {
        let homes = class.homes.iter();
        let unknown = homes.filter(|home| !regions.contains(home.as_str()));
        gaps.extend(unknown.map(|region| Gap::Region {
            class: class.name.clone(),
            region: region.clone(),
        }));
        let shares = class.split.iter().filter(|share| share.weight > 0);
        let parts: Vec<&String> = shares.map(|share| &share.service).collect();
        let services = match parts.is_empty() {
            true => vec![&class.service],
            false => parts,
        };
        let served = |service: &str| {
            let mut hosts = snapshot.hosts(service);
            hosts.any(|host| class.is_home(&host.region))
        };
        let unserved = services.into_iter().filter(|service| !served(service));
        gaps.extend(unserved.map(|service| Gap::Service {
            class: class.name.clone(),
            service: service.clone(),
        }));
    }
    gaps
}
