//! Differences between documents: deltas that daemons apply, and changes that
//! are listed for operators and in the audit log.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::document::{Class, Document, Limits, Service, Target};
use crate::fault::Fault;
use crate::version::Version;

/// Changes that turn the document of version `base` into that of `version`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Delta {
    /// Version that the delta applies to.
    pub base: Version,
    /// Version of the result.
    pub version: Version,
    /// Deployment of the result.
    pub deployment: String,
    /// Services that only the result contains.
    pub added_services: Vec<Service>,
    /// Services that differ between the base and the result, as in the result.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changed_services: Vec<Service>,
    /// Names of the services that only the base contains.
    pub removed_services: Vec<String>,
    /// Classes that only the result contains.
    pub added_classes: Vec<Class>,
    /// Classes that differ between the base and the result, as in the result.
    pub changed_classes: Vec<Class>,
    /// Names of the classes that only the base contains.
    pub removed_classes: Vec<String>,
    /// Limits of the result.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<Limits>,
}

impl Delta {
    /// Returns the delta from `base` to `next`.
    pub fn between(base: &Document, next: &Document) -> Self {
        Self::between_versions((base, base.version()), (next, next.version()))
    }

    /// Returns the delta between documents whose versions are known, so that
    /// neither document is hashed.
    pub(crate) fn between_versions(
        (base, base_version): (&Document, Version),
        (next, next_version): (&Document, Version),
    ) -> Self {
        let mut delta = Self {
            base: base_version,
            version: next_version,
            deployment: next.deployment.clone(),
            added_services: Vec::new(),
            changed_services: Vec::new(),
            removed_services: Vec::new(),
            added_classes: Vec::new(),
            changed_classes: Vec::new(),
            removed_classes: Vec::new(),
            limits: next.limits,
        };
        for pair in pairs(&base.services, &next.services, |service| &service.name) {
            match pair {
                (None, None) => {}
                (Some(old), Some(new)) if old == new => {}
                (Some(_), Some(new)) => delta.changed_services.push(new.clone()),
                (None, Some(new)) => delta.added_services.push(new.clone()),
                (Some(old), None) => delta.removed_services.push(old.name.clone()),
            }
        }
        for pair in pairs(&base.classes, &next.classes, |class| &class.name) {
            match pair {
                (None, None) => {}
                (Some(old), Some(new)) if old == new => {}
                (Some(_), Some(new)) => delta.changed_classes.push(new.clone()),
                (None, Some(new)) => delta.added_classes.push(new.clone()),
                (Some(old), None) => delta.removed_classes.push(old.name.clone()),
            }
        }
        delta
    }

    /// Returns the number of classes that the delta adds, changes or removes.
    pub fn class_count(&self) -> usize {
        self.added_classes.len() + self.changed_classes.len() + self.removed_classes.len()
    }

    /// Applies the delta to `base` and returns the checked result.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::Mismatch`] if `base` or the result does not have the
    /// hash that the delta states, [`Fault::Value`] or [`Fault::Duplicate`] if
    /// the changes do not fit the base, or the fault that [`Document::check`]
    /// finds.
    pub fn apply(&self, base: &Document) -> Result<Document, Fault> {
        let document = self.apply_unchecked(base, base.version())?;
        document.check()?;
        Ok(document)
    }

    /// Applies the delta to `base`, whose version is `version`.
    ///
    /// The result has the version that the delta states, but its fields are not
    /// checked.
    pub(crate) fn apply_unchecked(
        &self,
        base: &Document,
        version: Version,
    ) -> Result<Document, Fault> {
        check_version("base", self.base, version)?;
        let mut services: BTreeMap<&str, &Service> = BTreeMap::new();
        for service in &base.services {
            services.insert(&service.name, service);
        }
        let mut classes: BTreeMap<&str, &Class> = BTreeMap::new();
        for class in &base.classes {
            classes.insert(&class.name, class);
        }
        for name in &self.removed_services {
            check_present("removed_services", name, services.remove(name.as_str()))?;
        }
        for service in &self.changed_services {
            check_present(
                "changed_services",
                &service.name,
                services.insert(&service.name, service),
            )?;
        }
        for service in &self.added_services {
            check_absent(
                "added_services",
                &service.name,
                services.insert(&service.name, service),
            )?;
        }
        for name in &self.removed_classes {
            check_present("removed_classes", name, classes.remove(name.as_str()))?;
        }
        for class in &self.changed_classes {
            check_present(
                "changed_classes",
                &class.name,
                classes.insert(&class.name, class),
            )?;
        }
        for class in &self.added_classes {
            check_absent(
                "added_classes",
                &class.name,
                classes.insert(&class.name, class),
            )?;
        }
        let mut document = Document {
            number: self.version.number,
            deployment: self.deployment.clone(),
            services: services.into_values().cloned().collect(),
            classes: classes.into_values().cloned().collect(),
            limits: self.limits,
        };
        document.sort();
        check_version("result", self.version, document.version())?;
        Ok(document)
    }
}

/// Checks that a document has the version `expected`; `what` names the document
/// in the error.
fn check_version(what: &str, expected: Version, found: Version) -> Result<(), Fault> {
    if expected.hash != found.hash {
        return Err(Fault::Mismatch {
            what: what.into(),
            expected: expected.hash,
            found: found.hash,
        });
    }
    if expected.number != found.number {
        return Err(Fault::value(
            format_args!("{what}.number"),
            format!("`{}`", expected.number),
            format!("expected the document's number, {}", found.number),
        ));
    }
    Ok(())
}

/// Checks that the base document had an item called `name`, given as
/// `previous`.
fn check_present<Item>(field: &str, name: &str, previous: Option<Item>) -> Result<(), Fault> {
    match previous {
        Some(_) => Ok(()),
        None => Err(Fault::value(
            field,
            crate::bound::quote(name),
            "expected a name that the base document holds",
        )),
    }
}

/// Checks that there was no item called `name` before an addition.
fn check_absent<Item>(field: &str, name: &str, previous: Option<Item>) -> Result<(), Fault> {
    match previous {
        None => Ok(()),
        Some(_) => Err(Fault::Duplicate {
            field: field.into(),
            name: name.into(),
        }),
    }
}

/// Pairs the items of two lists by name, sorted by name.
fn pairs<'a, Item>(
    old: &'a [Item],
    new: &'a [Item],
    name: impl Fn(&Item) -> &str,
) -> Vec<(Option<&'a Item>, Option<&'a Item>)> {
    let by_name = |items: &'a [Item]| {
        let mut items: Vec<&Item> = items.iter().collect();
        items.sort_by(|a, b| name(a).cmp(name(b)));
        items.into_iter().peekable()
    };
    let (mut old, mut new) = (by_name(old), by_name(new));
    let mut pairs = Vec::with_capacity(new.len());
    loop {
        let order = match (old.peek(), new.peek()) {
            (None, None) => return pairs,
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (Some(old), Some(new)) => name(old).cmp(name(new)),
        };
        pairs.push(match order {
            Ordering::Less => (old.next(), None),
            Ordering::Equal => (old.next(), new.next()),
            Ordering::Greater => (None, new.next()),
        });
    }
}

/// A change from one document to the next.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "change")]
pub enum Change {
    /// The deployment was renamed.
    Deployment {
        /// Old name.
        from: String,
        /// New name.
        to: String,
    },
    /// A service was added.
    ServiceAdded {
        /// Name of the service.
        service: String,
    },
    /// A service was removed.
    ServiceRemoved {
        /// Name of the service.
        service: String,
    },
    /// A class and its target were added.
    TargetSet {
        /// Name of the class.
        class: String,
        /// Target of the class.
        target: Target,
    },
    /// The target of a class has changed.
    TargetChanged {
        /// Name of the class.
        class: String,
        /// Old target.
        from: Target,
        /// New target.
        to: Target,
    },
    /// A class and its target were removed.
    TargetWithdrawn {
        /// Name of the class.
        class: String,
        /// Last target of the class.
        target: Target,
    },
    /// A field of a class other than its target has changed.
    ClassChanged {
        /// Name of the class.
        class: String,
        /// Name of the field.
        field: String,
        /// Old value.
        from: String,
        /// New value.
        to: String,
    },
}

/// Returns the changes from `old` to `new`. Without an old document, all
/// services and classes of `new` are additions.
pub fn changes(old: Option<&Document>, new: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    if let Some(old) = old
        && old.deployment != new.deployment
    {
        changes.push(Change::Deployment {
            from: old.deployment.clone(),
            to: new.deployment.clone(),
        });
    }
    let services = old.map_or(&[][..], |old| &old.services);
    for pair in pairs(services, &new.services, |service| &service.name) {
        match pair {
            (Some(_), Some(_)) | (None, None) => {}
            (None, Some(new)) => changes.push(Change::ServiceAdded {
                service: new.name.clone(),
            }),
            (Some(old), None) => changes.push(Change::ServiceRemoved {
                service: old.name.clone(),
            }),
        }
    }
    let classes = old.map_or(&[][..], |old| &old.classes);
    for pair in pairs(classes, &new.classes, |class| &class.name) {
        match pair {
            (None, None) => {}
            (Some(old), Some(new)) => push_class_changes(&mut changes, old, new),
            (None, Some(new)) => changes.push(Change::TargetSet {
                class: new.name.clone(),
                target: new.target,
            }),
            (Some(old), None) => changes.push(Change::TargetWithdrawn {
                class: old.name.clone(),
                target: old.target,
            }),
        }
    }
    changes
}

/// Appends the changes of one class to `changes`.
fn push_class_changes(changes: &mut Vec<Change>, old: &Class, new: &Class) {
    if old == new {
        return;
    }
    if old.target != new.target {
        changes.push(Change::TargetChanged {
            class: new.name.clone(),
            from: old.target,
            to: new.target,
        });
    }
    for ((field, from), (_, to)) in class_fields(old).into_iter().zip(class_fields(new)) {
        if from != to {
            changes.push(Change::ClassChanged {
                class: new.name.clone(),
                field: field.into(),
                from,
                to,
            });
        }
    }
}

/// Returns the names and values of the fields that [`Change::ClassChanged`]
/// reports.
fn class_fields(class: &Class) -> [(&'static str, String); 6] {
    [
        ("service", class.service.clone()),
        ("path_prefix", class.path_prefix.clone()),
        ("methods", class.methods.join(",")),
        ("work", class.work.to_string()),
        ("idempotent", class.idempotent.to_string()),
        ("shed_order", class.shed_order.to_string()),
    ]
}
