//! The intent document that operators publish.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::fault::Fault;
use crate::version::{Hash, Version};

/// Services and classes of work, with a target for each class.
///
/// Invariant of a value that [`validate`] returned: every class names a
/// service of the document, names are unique, and both lists are sorted by
/// name.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Number of the version; greater numbers win.
    pub number: u64,
    /// Name of the deployment.
    pub deployment: String,
    /// Services that classes route to.
    pub services: Vec<Service>,
    /// Classes of work.
    pub classes: Vec<Class>,
}

/// A service; the host list tells which hosts run it.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub name: String,
}

/// Expected length of a class's work. Long work never takes all slots.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Work {
    /// Work of about the same, small length.
    Short,
    /// Uploads and other work that can run many times longer.
    Long,
}

/// A class of work: which requests belong to it and how they are served.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Unique name.
    pub name: String,
    /// Service that runs the work.
    pub service: String,
    /// Requests whose path starts with this belong to the class.
    pub path_prefix: String,
    /// Upper-case HTTP methods that belong to the class.
    pub methods: Vec<String>,
    /// Expected length of the work.
    pub work: Work,
    /// Whether running the work twice has the effect of running it once.
    pub idempotent: bool,
    /// What must be met.
    pub target: Target,
    /// Under overload, classes with a higher value are shed first.
    #[serde(default)]
    pub shed_order: u8,
}

/// How quickly and how reliably a class must be served.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Latency that `quantile` of the answers must not exceed, milliseconds.
    pub latency_ms: u32,
    /// Share of the answers within `latency_ms`, above 0 and below 1.
    pub quantile: f64,
    /// Share of the requests that must be answered with success, 0 to 1.
    pub success: f64,
}

impl Document {
    /// Returns the canonical bytes: compact JSON, lists sorted by name.
    ///
    /// # Panics
    ///
    /// Never: the document holds no value that JSON cannot express.
    pub fn canonical(&self) -> Vec<u8> {
        let mut sorted = self.clone();
        sorted.services.sort();
        sorted.classes.sort_by(|a, b| a.name.cmp(&b.name));
        serde_json::to_vec(&sorted).expect("a document is always expressible in JSON")
    }

    /// Returns the version: number and hash of the canonical bytes.
    pub fn version(&self) -> Version {
        Version {
            number: self.number,
            hash: Hash::of(&self.canonical()),
        }
    }
}

/// Parses and checks a document.
///
/// The result depends on `bytes` alone.
///
/// # Errors
///
/// Returns the first [`Fault`] found.
pub fn validate(bytes: &[u8]) -> Result<Document, Fault> {
    let mut document: Document =
        serde_json::from_slice(bytes).map_err(|error| Fault::Malformed {
            reason: error.to_string(),
        })?;
    let mut services = BTreeSet::new();
    for service in &document.services {
        if !services.insert(service.name.as_str()) {
            return Err(Fault::Duplicate {
                field: "services".into(),
                name: service.name.clone(),
            });
        }
    }
    let mut classes = BTreeSet::new();
    for class in &document.classes {
        if !classes.insert(class.name.as_str()) {
            return Err(Fault::Duplicate {
                field: "classes".into(),
                name: class.name.clone(),
            });
        }
        if !services.contains(class.service.as_str()) {
            return Err(Fault::Dangling {
                class: class.name.clone(),
                service: class.service.clone(),
            });
        }
    }
    document.services.sort();
    document.classes.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(document)
}
