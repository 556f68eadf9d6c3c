//! Encoding of documents and deltas for transfers between daemons.
//!
//! A transfer consists of one byte for the format, the BLAKE3 hash of the
//! content (32 bytes), and the content as a raw deflate stream. The content
//! consists of one byte for its kind and a JSON text. The hash detects a
//! truncated or corrupted transfer before its content is parsed.

use std::io::{Read, Write};
use std::sync::Arc;

use flate2::Compression;
use flate2::bufread::DeflateDecoder;
use flate2::write::DeflateEncoder;

use crate::bound;
use crate::delta::Delta;
use crate::document::{self, Document};
use crate::fault::Fault;
use crate::version::Hash;

/// Maximum size of a transfer's content after inflation, in bytes.
///
/// This also suffices for the largest delta, which replaces all classes of a
/// document: it contains the names of the old classes and all new classes.
pub const MAX_INFLATED_BYTES: usize = bound::MAX_DOCUMENT_BYTES + 1;

/// Maximum size of a transfer, in bytes.
///
/// Deflate adds 5 bytes to each block that it stores uncompressed, in total far
/// less than the 64 KiB that are allowed here.
pub const MAX_TRANSFER_BYTES: usize = MAX_INFLATED_BYTES + 65_536;

/// The only accepted format of a transfer.
const FORMAT: u8 = 1;

/// Kind of content that is a complete document.
const KIND_DOCUMENT: u8 = 0;
/// Kind of content that is a delta.
const KIND_DELTA: u8 = 1;

/// Number of bytes before the deflate stream: format and hash.
const HEADER_BYTES: usize = 33;

/// Capacity that is reserved before inflation, in bytes.
///
/// The content of a typical delta fits, and a small message cannot cause a
/// larger allocation.
const INITIAL_CAPACITY_BYTES: usize = 4_096;

/// Content of a transfer.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// Changes that turn a document of the receiver into a newer one.
    Delta(Box<Delta>),
    /// A complete, checked document.
    Document(Arc<Document>),
}

/// Encodes `content` as a transfer.
///
/// # Panics
///
/// Never: all content can be written as JSON, and writing to memory does not
/// fail.
pub fn encode(content: &Content) -> Vec<u8> {
    let (kind, json) = match content {
        Content::Document(document) => (KIND_DOCUMENT, document.canonical()),
        Content::Delta(delta) => (
            KIND_DELTA,
            serde_json::to_vec(delta).expect("a delta can be written as JSON"),
        ),
    };
    let mut plain = Vec::with_capacity(json.len() + 1);
    plain.push(kind);
    plain.extend_from_slice(&json);
    let mut bytes = vec![FORMAT];
    bytes.extend_from_slice(&Hash::of(&plain).0);
    let mut encoder = DeflateEncoder::new(bytes, Compression::default());
    encoder
        .write_all(&plain)
        .expect("writing to memory does not fail");
    encoder.finish().expect("writing to memory does not fail")
}

/// Decodes a transfer.
///
/// A returned document has been checked. A delta is checked when it is applied.
/// At most [`MAX_INFLATED_BYTES`] + 1 bytes are inflated.
///
/// # Errors
///
/// Returns [`Fault::Transfer`] or [`Fault::Mismatch`] for a truncated or
/// corrupted transfer, [`Fault::Value`] for one that is too large,
/// [`Fault::Malformed`] for content that is not JSON of the expected shape, or
/// the fault that [`document::validate`] finds.
pub fn decode(bytes: &[u8]) -> Result<Content, Fault> {
    parse(&inflate(bytes)?)
}

/// Parses the inflated content of a transfer, and checks a document.
pub(crate) fn parse(content: &[u8]) -> Result<Content, Fault> {
    match content.split_first() {
        Some((&KIND_DOCUMENT, json)) => Ok(Content::Document(Arc::new(document::validate(json)?))),
        Some((&KIND_DELTA, json)) => Ok(Content::Delta(Box::new(bound::parse(json)?))),
        kind => Err(Fault::Transfer {
            reason: match kind {
                Some((kind, _)) => format!("found content of kind {kind}; expected kind 0 or 1"),
                None => "found no content; expected a document or a delta".into(),
            },
        }),
    }
}

/// Returns the JSON text of a document from the inflated content of a transfer,
/// or `None` if the content is no document.
pub(crate) fn document_json(content: &[u8]) -> Option<&[u8]> {
    match content.split_first() {
        Some((&KIND_DOCUMENT, json)) => Some(json),
        _ => None,
    }
}

/// Inflates the content of a transfer, and checks its size and hash.
pub(crate) fn inflate(bytes: &[u8]) -> Result<Vec<u8>, Fault> {
    bound::check_size("transfer", bytes.len(), MAX_TRANSFER_BYTES)?;
    let Some((header, stream)) = bytes.split_first_chunk::<HEADER_BYTES>() else {
        return Err(Fault::Transfer {
            reason: format!(
                "found {} bytes; expected a header of {HEADER_BYTES} bytes",
                bytes.len()
            ),
        });
    };
    let [format, hash @ ..] = header;
    if *format != FORMAT {
        return Err(Fault::Transfer {
            reason: format!("found format {format}; expected format {FORMAT}"),
        });
    }
    let mut content = Vec::with_capacity(INITIAL_CAPACITY_BYTES);
    let mut decoder = DeflateDecoder::new(stream).take(MAX_INFLATED_BYTES as u64 + 1);
    decoder
        .read_to_end(&mut content)
        .map_err(|error| Fault::Transfer {
            reason: format!("invalid deflate stream: {error}"),
        })?;
    bound::check_size("transfer", content.len(), MAX_INFLATED_BYTES)?;
    let rest = decoder.into_inner().into_inner();
    if !rest.is_empty() {
        return Err(Fault::Transfer {
            reason: format!(
                "found {} bytes after the deflate stream; expected none",
                rest.len()
            ),
        });
    }
    let expected = Hash(*hash);
    let found = Hash::of(&content);
    if expected != found {
        return Err(Fault::Mismatch {
            what: "transfer".into(),
            expected,
            found,
        });
    }
    Ok(content)
}
