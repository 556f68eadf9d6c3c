//! Adoption of offered documents: the version in force never goes back.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::delta::{self, Change, Delta};
use crate::document::{self, Document};
use crate::fault::Fault;
use crate::manifest::Manifest;
use crate::transfer::{self, Content};
use crate::version::{Hash, Version};

/// Number of earlier documents kept as bases of deltas.
///
/// At 850 changes a day, four cover about 7 minutes on average. A peer that
/// lags further receives the whole document. Five documents of the largest
/// size stay well below the 64 MB of memory for control work.
pub const MAX_BASES: usize = 4;

/// Number of refused documents and manifests that are remembered.
///
/// An entry that is displaced costs one more read if it is offered again.
pub const MAX_REFUSED: usize = 256;

/// A document with its version, which takes a hash of all its bytes.
#[derive(Clone, Debug, PartialEq)]
pub struct Accepted {
    /// Version of the document.
    pub version: Version,
    /// The checked document.
    pub document: Arc<Document>,
}

/// The document in force, earlier ones, and what was refused.
///
/// Invariants: the version of `current` only ever becomes greater, and every
/// document has passed [`Document::check`].
#[derive(Clone, Debug, Default)]
pub struct Store {
    /// Document in force; `None` until one is adopted.
    pub current: Option<Accepted>,
    /// Earlier documents, the latest first; at most [`MAX_BASES`].
    pub bases: VecDeque<Accepted>,
    /// Hashes of refused documents and manifests, the latest first; at most
    /// [`MAX_REFUSED`].
    pub refused: VecDeque<Hash>,
}

/// What became of an offer; the audit log records it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Outcome {
    /// The offered document is in force now.
    Adopted {
        /// Version that was in force before.
        from: Option<Version>,
        /// Version in force.
        to: Version,
        /// Targets set, changed and withdrawn, and other changes.
        changes: Vec<Change>,
    },
    /// The offered version is in force already, or a greater one is.
    Ignored {
        /// Offered version.
        offered: Version,
        /// Version in force.
        in_force: Version,
    },
    /// The content is invalid. A document or manifest that is itself invalid
    /// is remembered and not wanted again.
    Refused {
        /// Version that was announced, where one was.
        offered: Option<Version>,
        /// Text of the [`Fault`].
        reason: String,
    },
    /// The offer was torn or corrupted on its way, and may be read again.
    Torn {
        /// Version that was announced, where one was.
        offered: Option<Version>,
        /// Text of the [`Fault`].
        reason: String,
    },
    /// The delta applies to a document that the store does not hold; the
    /// whole document is needed.
    Baseless {
        /// Version that the delta leads to.
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

    /// Returns whether a document of `version` would be adopted, as far as is
    /// known before it is read.
    pub fn should_fetch(&self, version: Version) -> bool {
        self.version() < Some(version) && !self.refused.contains(&version.hash)
    }

    /// Returns whether the parts of `manifest` are worth reading.
    pub fn should_fetch_manifest(&self, manifest: &Manifest) -> bool {
        self.should_fetch(manifest.version()) && !self.refused.contains(&manifest_hash(manifest))
    }

    /// Offers the parts of a manifest that was read from the platform.
    ///
    /// A refusal is remembered under the manifest's own hash. It is also
    /// remembered under the document's hash if the parts have that hash: only
    /// then does the content prove that the version itself is invalid. A
    /// faulty manifest therefore cannot block a good document of the same
    /// number and hash that arrives later.
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

    /// Offers a document, and adopts it if it is valid and its version is
    /// greater than that in force.
    pub fn offer_document(&mut self, mut document: Document) -> Outcome {
        document.sort();
        let offered = document.version();
        self.offer_versioned(document, offered)
    }

    /// Offers a sorted document whose version is known.
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

    /// Returns what brings a peer with document `base` to the version in
    /// force: the delta if the base is held and the delta is smaller, and
    /// otherwise the whole document. `None` if no version is in force.
    ///
    /// # Panics
    ///
    /// Never: a delta holds no value that JSON cannot express.
    pub fn content_since(&self, base: Option<Hash>) -> Option<Content> {
        let current = self.current.as_ref()?;
        let whole = Content::Document(Arc::clone(&current.document));
        let Some(base) = base.and_then(|hash| self.find(hash)) else {
            return Some(whole);
        };
        let delta = Delta::between_versions(
            (&base.document, base.version),
            (&current.document, current.version),
        );
        match delta.class_count() < current.document.classes.len() {
            true => Some(Content::Delta(Box::new(delta))),
            false => Some(whole),
        }
    }

    /// Returns the held document with hash `hash`.
    pub fn find(&self, hash: Hash) -> Option<&Accepted> {
        self.current
            .iter()
            .chain(&self.bases)
            .find(|accepted| accepted.version.hash == hash)
    }

    fn remember_refusal(&mut self, hash: Hash) {
        if self.refused.contains(&hash) {
            return;
        }
        self.refused.push_front(hash);
        self.refused.truncate(MAX_REFUSED);
    }
}

/// Returns the hash of the manifest itself, with the hashes of its parts.
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
