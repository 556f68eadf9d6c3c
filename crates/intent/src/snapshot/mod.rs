//! Immutable view that a request is routed by from start to end.

use std::collections::BTreeMap;

use crate::document::{Class, Document};
use crate::hosts::{Host, List};
use crate::version::Version;

/// A document in force together with the hosts of its services.
///
/// Invariant: every class names a service of `services`; asserted by
/// [`Snapshot::build`].
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Version in force.
    pub version: Version,
    /// The document.
    pub document: Document,
    /// The host list.
    pub list: List,
    /// Indices into `list.hosts`, by service.
    pub services: BTreeMap<String, Vec<usize>>,
}

impl Snapshot {
    /// Builds a snapshot.
    ///
    /// # Panics
    ///
    /// Panics if a class names a service that the document does not hold;
    /// [`crate::document::validate`] refuses such a document.
    pub fn build(document: Document, list: List) -> Self {
        let mut services: BTreeMap<String, Vec<usize>> = document
            .services
            .iter()
            .map(|service| (service.name.clone(), Vec::new()))
            .collect();
        for (index, host) in list.hosts.iter().enumerate() {
            if let Some(hosts) = services.get_mut(&host.service) {
                hosts.push(index);
            }
        }
        for class in &document.classes {
            assert!(
                services.contains_key(&class.service),
                "class {} routes to service {}, which the snapshot lacks",
                class.name,
                class.service
            );
        }
        Self {
            version: document.version(),
            document,
            list,
            services,
        }
    }

    /// Returns the class with the longest matching prefix for a request.
    pub fn class(&self, method: &str, path: &str) -> Option<&Class> {
        self.document
            .classes
            .iter()
            .filter(|class| path.starts_with(&class.path_prefix))
            .filter(|class| class.methods.iter().any(|m| m == method))
            .max_by_key(|class| class.path_prefix.len())
    }

    /// Returns the positions in `list.hosts` of the hosts that run `service`.
    pub fn indices(&self, service: &str) -> &[usize] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the hosts that run `service`.
    pub fn hosts(&self, service: &str) -> impl Iterator<Item = &Host> {
        self.services
            .get(service)
            .into_iter()
            .flatten()
            .map(|&index| &self.list.hosts[index])
    }

    /// Returns the host called `name`.
    pub fn host(&self, name: &str) -> Option<&Host> {
        self.list.hosts.iter().find(|host| host.name == name)
    }
}
