//! Answer bodies with hashes, which callers verify.

use savorylane_intent::Hash;
use serde::{Deserialize, Serialize};

/// First line of an answer's body, in JSON. `fill` bytes of padding follow it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// Request id that the upstream received.
    pub request: String,
    /// Length of the request body in bytes.
    pub received: usize,
    /// Hash of the request body.
    pub digest: Hash,
    /// Length of the padding in bytes.
    pub fill: usize,
    /// Hash of the padding.
    pub fill_digest: Hash,
}

/// Reason why an answer fails verification.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The answer is corrupt: bytes are missing, added or changed.
    NotWhole,
    /// The answer belongs to another request.
    NotOwn,
}

/// Returns the answer to the request with the id `request` and the body `body`,
/// with `fill` bytes of padding.
///
/// # Panics
///
/// Never: an answer can always be written as JSON.
pub fn encode(request: &str, body: &[u8], fill: usize) -> Vec<u8> {
    let seed = Hash::of(request.as_bytes()).0;
    let padding: Vec<u8> = seed.iter().copied().cycle().take(fill).collect();
    let answer = Answer {
        request: request.to_owned(),
        received: body.len(),
        digest: Hash::of(body),
        fill,
        fill_digest: Hash::of(&padding),
    };
    let mut bytes = serde_json::to_vec(&answer).unwrap();
    bytes.push(b'\n');
    bytes.extend_from_slice(&padding);
    bytes
}

/// Verifies that `answer` is intact and belongs to the request with the id
/// `request` and the body `body`.
///
/// # Errors
///
/// Returns the first [`Fault`] found.
pub fn check(request: &str, body: &[u8], answer: &[u8]) -> Result<(), Fault> {
    let end = answer.iter().position(|&byte| byte == b'\n');
    let (line, fill) = answer.split_at(end.ok_or(Fault::NotWhole)?);
    let fill = &fill[1..];
    let answer: Answer = serde_json::from_slice(line).map_err(|_| Fault::NotWhole)?;
    if fill.len() != answer.fill || Hash::of(fill) != answer.fill_digest {
        return Err(Fault::NotWhole);
    }
    if answer.request != request || answer.received != body.len() || answer.digest != Hash::of(body)
    {
        return Err(Fault::NotOwn);
    }
    Ok(())
}
