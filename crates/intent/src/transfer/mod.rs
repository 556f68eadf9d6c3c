//! Encoding of documents and deltas between daemons.
//!
//! A transfer is one byte for the format, the BLAKE3 hash of the content
//! (32 bytes), and the content in a raw deflate stream. The content is one
//! byte for the kind and a JSON text. The hash detects a torn or corrupted
//! transfer before its content is parsed.

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

/// Largest content of a transfer after inflating, in bytes.
///
/// A delta that replaces all classes by as many others carries the names of
/// the old ones besides the new document, which still fits.
pub const MAX_INFLATED_BYTES: usize = bound::MAX_DOCUMENT_BYTES + 1;

/// Largest transfer, in bytes. Deflate adds 5 bytes for each block of content
/// that it stores uncompressed, far less than the 64 KiB allowed here.
pub const MAX_TRANSFER_BYTES: usize = MAX_INFLATED_BYTES + 65_536;

/// Format of a transfer; other formats are refused.
const FORMAT: u8 = 1;

const KIND_DOCUMENT: u8 = 0;
const KIND_DELTA: u8 = 1;

/// Bytes before the deflate stream: format and hash.
const HEADER_BYTES: usize = 33;

/// Capacity reserved before inflating, in bytes. The content of a typical
/// delta fits, and a small message cannot reserve more.
const INITIAL_CAPACITY_BYTES: usize = 4_096;

/// Content of a transfer.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// What turns a document that the receiver holds into a newer one.
    Delta(Box<Delta>),
    /// A whole, checked document.
    Document(Arc<Document>),
}

/// Encodes `content`.
///
/// # Panics
///
/// Never: the content holds no value that JSON cannot express, and writing
/// to memory does not fail.
pub fn encode(content: &Content) -> Vec<u8> {
    let (kind, json) = match content {
        Content::Document(document) => (KIND_DOCUMENT, document.canonical()),
        Content::Delta(delta) => (
            KIND_DELTA,
            serde_json::to_vec(delta).expect("a delta is always expressible in JSON"),
        ),
    };
    let mut plain = Vec::with_capacity(json.len() + 1);
    plain.push(kind);
    plain.extend_from_slice(&json);
    let mut bytes = vec![FORMAT];
    bytes.extend_from_slice(&Hash::of(&plain).0);
    let mut encoder = DeflateEncoder::new(bytes, Compression::default());
    encoder.write_all(&plain).expect("memory takes all writes");
    encoder.finish().expect("memory takes all writes")
}

/// Decodes a transfer.
///
/// A document in the result is checked. A delta is checked when it is
/// applied. At most [`MAX_INFLATED_BYTES`] and one byte are inflated.
///
/// # Errors
///
/// Returns [`Fault::Transfer`] or [`Fault::Mismatch`] for a torn, corrupted
/// or too large transfer, or the fault that [`document::validate`] finds.
pub fn decode(bytes: &[u8]) -> Result<Content, Fault> {
    parse(&inflate(bytes)?)
}

/// Parses content that [`inflate`] returned.
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

/// Returns the JSON text of a whole document in content that [`inflate`]
/// returned.
pub(crate) fn document_json(content: &[u8]) -> Option<&[u8]> {
    match content.split_first() {
        Some((&KIND_DOCUMENT, json)) => Some(json),
        _ => None,
    }
}

/// Returns the content, whose hash is as the header states.
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
