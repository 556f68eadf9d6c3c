//! Adoption of offered documents: the version in force never decreases.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::delta::{self, Change, Delta};
use crate::document::{self, Document};
use crate::fault::Fault;
use crate::manifest::Manifest;
use crate::transfer::{self, Content};
use crate::version::{Hash, Version};

/// Maximum number of earlier documents that are kept as bases of deltas.
///
/// At 850 changes a day, four documents cover about 7 minutes on average. A
/// peer that lags further receives the complete document. With the document in
/// force, five documents of the maximum size take well below the 64 MB of
/// memory for control work.
pub const MAX_BASES: usize = 4;

/// Maximum number of refused documents and manifests that are remembered.
///
/// An evicted document or manifest that is offered again is read once more.
pub const MAX_REFUSED: usize = 256;

/// A document with its version, which is kept because computing it takes a hash
/// of the entire document.
#[derive(Clone, Debug, PartialEq)]
pub struct Accepted {
    /// Version of the document.
    pub version: Version,
    /// The checked document.
    pub document: Arc<Document>,
}

/// The document in force, earlier documents, and hashes of refused ones.
///
/// Invariants:
///
/// - The version of `current` only increases.
/// - Every document has passed [`Document::check`].
#[derive(Clone, Debug, Default)]
pub struct Store {
    /// Document in force; `None` until one is adopted.
    pub current: Option<Accepted>,
    /// Earlier documents, most recent first; at most [`MAX_BASES`].
    pub bases: VecDeque<Accepted>,
    /// Hashes of refused documents and manifests, most recent first; at most
    /// [`MAX_REFUSED`].
    pub refused: VecDeque<Hash>,
}

/// Result of an offer, which the audit log records.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Outcome {
    /// The offered document was adopted.
    Adopted {
        /// Previous version in force, if any.
        from: Option<Version>,
        /// Adopted version.
        to: Version,
        /// Changes from the previous document.
        changes: Vec<Change>,
    },
    /// The offered version or a greater one is already in force.
    Ignored {
        /// Offered version.
        offered: Version,
        /// Version in force.
        in_force: Version,
    },
    /// The content is invalid. The hash of a document or manifest that is
    /// itself invalid is remembered, so that the content is not fetched again.
    Refused {
        /// Announced version, if any.
        offered: Option<Version>,
        /// Message of the [`Fault`].
        reason: String,
    },
    /// The content was torn or corrupted when read or transferred, and may be
    /// read again.
    Torn {
        /// Announced version, if any.
        offered: Option<Version>,
        /// Message of the [`Fault`].
        reason: String,
    },
    /// The base document of the delta is not in the store, so that the complete
    /// document is needed.
    Baseless {
        /// Version of the delta's result.
        offered: Version,
        /// Version that the delta applies to.
        base: Version,
    },
}

impl Store {
    /// Returns the version in force.
    pub fn version(&self) -> Option<Version> {
        self.current.as_ref().map(|current| current.version)
    }

    /// Returns whether a document of `version` should be fetched: whether the
    /// version is greater than the one in force and not known to be invalid.
    pub fn should_fetch(&self, version: Version) -> bool {
        self.version() < Some(version) && !self.refused.contains(&version.hash)
    }

    /// Returns whether the parts of `manifest` should be fetched.
    pub fn should_fetch_manifest(&self, manifest: &Manifest) -> bool {
        self.should_fetch(manifest.version()) && !self.refused.contains(&manifest_hash(manifest))
    }

    /// Offers a manifest with the `values` of its parts, as read from the
    /// platform.
    ///
    /// A refusal is remembered under the hash of the manifest itself. If the
    /// parts have the stated hash of the document, the refusal is also
    /// remembered under that hash: only then does the content prove that the
    /// version itself is invalid. A faulty manifest therefore cannot block a
    /// valid document with the same number and hash that arrives later.
    pub fn offer_parts(&mut self, manifest: &Manifest, values: &[&[u8]]) -> Outcome {
        let offered = manifest.version();
        if let Some(in_force) = self.version()
            && offered <= in_force
        {
            return Outcome::Ignored { offered, in_force };
        }
        let bytes = match manifest.concat(values) {
            Ok(bytes) => bytes,
            Err(fault @ Fault::Mismatch { .. }) => return torn(Some(offered), &fault),
            Err(fault) if values.len() != manifest.parts.len() => {
                return torn(Some(offered), &fault);
            }
            Err(fault) => {
                self.remember_refusal(manifest_hash(manifest));
                return refused(Some(offered), &fault);
            }
        };
        let document = match document::validate(&bytes) {
            Ok(document) => document,
            Err(fault) => {
                self.remember_refusal(manifest_hash(manifest));
                if Hash::of(&bytes) == manifest.hash {
                    self.remember_refusal(manifest.hash);
                }
                return refused(Some(offered), &fault);
            }
        };
        if let Err(fault) = manifest.confirm(&document) {
            self.remember_refusal(manifest_hash(manifest));
            return refused(Some(offered), &fault);
        }
        self.offer_document(document)
    }

    /// Offers a transfer that was received from a peer.
    pub fn offer_transfer(&mut self, bytes: &[u8]) -> Outcome {
        let bytes = match transfer::inflate(bytes) {
            Ok(bytes) => bytes,
            Err(fault) => return torn(None, &fault),
        };
        let content = match transfer::parse(&bytes) {
            Ok(content) => content,
            Err(fault) => {
                if let Some(json) = transfer::document_json(&bytes) {
                    self.remember_refusal(Hash::of(json));
                }
                return refused(None, &fault);
            }
        };
        let delta = match content {
            Content::Document(document) => {
                return self.offer_document(Arc::unwrap_or_clone(document));
            }
            Content::Delta(delta) => delta,
        };
        let offered = delta.version;
        if let Some(in_force) = self.version()
            && offered <= in_force
        {
            return Outcome::Ignored { offered, in_force };
        }
        let Some(base) = self.find(delta.base.hash) else {
            return Outcome::Baseless {
                offered,
                base: delta.base,
            };
        };
        match delta.apply_unchecked(&base.document, base.version) {
            Ok(document) => self.offer_versioned(document, offered),
            Err(fault) => refused(Some(offered), &fault),
        }
    }

    /// Offers a document, which is adopted if it is valid and its version is
    /// greater than the version in force.
    pub fn offer_document(&mut self, mut document: Document) -> Outcome {
        document.sort();
        let offered = document.version();
        self.offer_versioned(document, offered)
    }

    /// Offers a sorted document with the version `offered`.
    fn offer_versioned(&mut self, document: Document, offered: Version) -> Outcome {
        if let Some(in_force) = self.version()
            && offered <= in_force
        {
            return Outcome::Ignored { offered, in_force };
        }
        if let Err(fault) = document.check() {
            self.remember_refusal(offered.hash);
            return refused(Some(offered), &fault);
        }
        let accepted = Accepted {
            version: offered,
            document: Arc::new(document),
        };
        let old = self.current.replace(accepted.clone());
        let changes = delta::changes(old.as_ref().map(|old| &*old.document), &accepted.document);
        let from = old.as_ref().map(|old| old.version);
        if let Some(old) = old {
            self.bases.push_front(old);
            self.bases.truncate(MAX_BASES);
        }
        Outcome::Adopted {
            from,
            to: offered,
            changes,
        }
    }

    /// Returns the content that updates a peer with the document `base` to the
    /// version in force, or `None` if no version is in force.
    ///
    /// The content is a delta if the store has the base and the delta names
    /// fewer classes than the document has, and otherwise the complete
    /// document.
    ///
    /// # Panics
    ///
    /// Never: every delta can be written as JSON.
    pub fn content_since(&self, base: Option<Hash>) -> Option<Content> {
        let current = self.current.as_ref()?;
        let complete = Content::Document(Arc::clone(&current.document));
        let Some(base) = base.and_then(|hash| self.find(hash)) else {
            return Some(complete);
        };
        let delta = Delta::between_versions(
            (&base.document, base.version),
            (&current.document, current.version),
        );
        match delta.class_count() < current.document.classes.len() {
            true => Some(Content::Delta(Box::new(delta))),
            false => Some(complete),
        }
    }

    /// Returns the document in force or the base that has the hash `hash`.
    pub fn find(&self, hash: Hash) -> Option<&Accepted> {
        self.current
            .iter()
            .chain(&self.bases)
            .find(|accepted| accepted.version.hash == hash)
    }

    /// Remembers the hash of a refused document or manifest.
    fn remember_refusal(&mut self, hash: Hash) {
        if self.refused.contains(&hash) {
            return;
        }
        self.refused.push_front(hash);
        self.refused.truncate(MAX_REFUSED);
    }
}

/// Returns the hash of the manifest itself, including the hashes of its parts.
fn manifest_hash(manifest: &Manifest) -> Hash {
    Hash::of(&manifest.to_json())
}

fn refused(offered: Option<Version>, fault: &Fault) -> Outcome {
    Outcome::Refused {
        offered,
        reason: fault.to_string(),
    }
}

fn torn(offered: Option<Version>, fault: &Fault) -> Outcome {
    Outcome::Torn {
        offered,
        reason: fault.to_string(),
    }
}
