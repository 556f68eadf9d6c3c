//! Immutable view of the configuration. A request is routed by the same view
//! from start to end.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::document::{Class, Document};
use crate::hosts::{Host, List};
use crate::version::Version;

/// The document in force and the hosts of its services.
///
/// Invariant: every class refers only to keys of `services`, which
/// [`Snapshot::build`] asserts.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Version in force.
    pub version: Version,
    /// Document in force.
    pub document: Arc<Document>,
    /// Host list in force, sorted by name.
    pub list: List,
    /// Indices into `list.hosts`, by service.
    pub services: BTreeMap<String, Vec<usize>>,
    /// Classes in the order of their path prefixes.
    pub routes: Vec<Route>,
}

/// Entry of a class in the order of path prefixes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Route {
    /// Index into `document.classes`.
    pub class: usize,
    /// Index of the nearest earlier route whose path prefix is a prefix of this
    /// route's path prefix, or equal to it.
    pub parent: Option<usize>,
}

impl Snapshot {
    /// Builds a snapshot after sorting `document` and `list` by name.
    ///
    /// # Panics
    ///
    /// Panics if a class refers to a service that the document does not
    /// contain. [`crate::document::validate`] refuses such a document.
    pub fn build(mut document: Document, list: List) -> Self {
        document.sort();
        let version = document.version();
        Self::build_with_version(version, Arc::new(document), list)
    }

    /// Builds a snapshot of a sorted document with a known version, after
    /// sorting `list` by name. The document is neither hashed nor copied.
    ///
    /// # Panics
    ///
    /// Panics under the same condition as [`Snapshot::build`].
    pub fn build_with_version(version: Version, document: Arc<Document>, mut list: List) -> Self {
        list.hosts.sort_by(|a, b| a.name.cmp(&b.name));
        let services = index_services(&document, &list);
        for class in &document.classes {
            let split = class.split.iter().map(|share| &share.service);
            for service in split.chain([&class.service]) {
                assert!(
                    services.contains_key(service),
                    "class {} refers to service {service}, which the document does not contain",
                    class.name,
                );
            }
        }
        Self {
            version,
            routes: build_routes(&document.classes),
            document,
            list,
            services,
        }
    }

    /// Returns the class of a request: the match with the longest path prefix.
    pub fn class(&self, authority: Option<&str>, method: &str, path: &str) -> Option<&Class> {
        let index = self.class_index(authority, method, path)?;
        Some(&self.document.classes[index])
    }

    /// Returns the index of a request's class in `document.classes`.
    ///
    /// Classes with another authority are skipped. Of two matching classes with
    /// the same prefix, the one with an authority is chosen.
    ///
    /// A binary search finds the last route whose prefix sorts at or before
    /// `path`. Every string that sorts between a prefix of `path` and `path`
    /// itself starts with that prefix. All routes whose prefix matches are
    /// therefore this route or its ancestors, and walking up the parents visits
    /// them from the longest prefix to the shortest.
    pub fn class_index(&self, authority: Option<&str>, method: &str, path: &str) -> Option<usize> {
        let classes = &self.document.classes;
        let after = self
            .routes
            .partition_point(|route| classes[route.class].path_prefix.as_str() <= path);
        let mut next = after.checked_sub(1);
        while let Some(index) = next {
            let route = self.routes[index];
            let class = &classes[route.class];
            let authority_matches =
                class.authority.is_none() || class.authority.as_deref() == authority;
            if authority_matches
                && path.starts_with(&class.path_prefix)
                && class.accepts_method(method)
            {
                return Some(route.class);
            }
            next = route.parent;
        }
        None
    }

    /// Returns the class with the name `name`.
    pub fn class_named(&self, name: &str) -> Option<&Class> {
        let classes = &self.document.classes;
        let index = classes
            .binary_search_by(|class| class.name.as_str().cmp(name))
            .ok()?;
        Some(&classes[index])
    }

    /// Returns the indices into `list.hosts` of the hosts that run `service`.
    pub fn host_indices(&self, service: &str) -> &[usize] {
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

    /// Returns the host with the name `name`.
    pub fn host(&self, name: &str) -> Option<&Host> {
        let index = self.host_index(name)?;
        Some(&self.list.hosts[index])
    }

    /// Returns the index in `list.hosts` of the host with the name `name`.
    pub fn host_index(&self, name: &str) -> Option<usize> {
        self.list
            .hosts
            .binary_search_by(|host| host.name.as_str().cmp(name))
            .ok()
    }

    /// Returns a snapshot of the same document with another host list.
    ///
    /// Unlike [`Snapshot::build`], this does not hash the document.
    pub fn with_list(&self, mut list: List) -> Self {
        list.hosts.sort_by(|a, b| a.name.cmp(&b.name));
        Self {
            version: self.version,
            services: index_services(&self.document, &list),
            routes: self.routes.clone(),
            document: Arc::clone(&self.document),
            list,
        }
    }
}

/// Returns the indices of each service's hosts. Hosts of services that the
/// document does not contain are left out.
fn index_services(document: &Document, list: &List) -> BTreeMap<String, Vec<usize>> {
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
    services
}

/// Returns the routes in the order of path prefixes. Among equal prefixes, the
/// class without an authority comes first.
fn build_routes(classes: &[Class]) -> Vec<Route> {
    let mut order: Vec<usize> = (0..classes.len()).collect();
    let key = |class: usize| (&classes[class].path_prefix, &classes[class].authority);
    order.sort_by(|&a, &b| key(a).cmp(&key(b)));
    let mut routes: Vec<Route> = Vec::with_capacity(order.len());
    for class in order {
        let prefix = &classes[class].path_prefix;
        let mut parent = routes.len().checked_sub(1);
        while let Some(index) = parent {
            if prefix.starts_with(&classes[routes[index].class].path_prefix) {
                break;
            }
            parent = routes[index].parent;
        }
        routes.push(Route { class, parent });
    }
    routes
}
