//! Limits and formats of accepted values, and checks that modules share.

use std::fmt::Display;
use std::ops::RangeInclusive;

use serde::de::DeserializeOwned;

use crate::fault::Fault;

/// Maximum size of a document in bytes, both as read and in canonical form.
///
/// The canonical form of a document with [`MAX_CLASSES`] classes and the
/// longest accepted fields takes 6.1 MB. Every document that passes the other
/// checks therefore also fits this limit.
pub const MAX_DOCUMENT_BYTES: usize = 8_000_000;

/// Maximum number of parts in a manifest.
///
/// Eight parts of [`MAX_VALUE_BYTES`](crate::manifest::MAX_VALUE_BYTES) hold
/// the largest document. More are allowed for publishers that split documents
/// into smaller parts.
pub const MAX_PARTS: usize = 16;

/// Maximum number of services: three times the design size of 200.
pub const MAX_SERVICES: usize = 600;

/// Maximum number of classes: sixteen for each of the [`MAX_SERVICES`].
///
/// The limit leaves room for operators who double or triple the routes of a
/// service. A version that is refused for its size would leave all hosts at the
/// previous version.
pub const MAX_CLASSES: usize = 9_600;

/// Maximum number of hosts: three times the design size of 1,100.
pub const MAX_HOSTS: usize = 3_300;

/// Maximum length of a name in bytes: that of a DNS label.
pub const MAX_NAME_BYTES: usize = 63;

/// Maximum length of a path prefix in bytes.
pub const MAX_PREFIX_BYTES: usize = 256;

/// Maximum length of a platform value's key in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// Accepted numbers of documents.
///
/// The maximum is 2^53 - 1, the greatest integer up to which JSON parsers that
/// use floating point represent all integers exactly.
pub const DOCUMENT_NUMBERS: RangeInclusive<u64> = 1..=9_007_199_254_740_991;

/// Accepted numbers of host lists; the default list has the number 0.
pub const LIST_NUMBERS: RangeInclusive<u64> = 0..=9_007_199_254_740_991;

/// Accepted latencies of a target and time-outs of a class, in milliseconds.
///
/// The maximum of 10 minutes leaves room for uploads.
pub const DURATIONS_MS: RangeInclusive<u32> = 1..=600_000;

/// Accepted maximum numbers of upstreams to which one request may be sent.
pub const ATTEMPT_LIMITS: RangeInclusive<u32> = 1..=100;

/// Accepted numbers of requests that a cold upstream tolerates in one second.
pub const COLD_REQUESTS_PER_S: RangeInclusive<u32> = 1..=1_000_000;

/// Maximum number of regions in which the requests of a class may run.
pub const MAX_HOMES: usize = 64;

/// Number of steps between 0 and 1 for quantiles and success shares, which have
/// at most 6 decimals.
///
/// Any JSON implementation reads and prints a number with at most 6 decimals
/// exactly. The hash of a document therefore stays the same when the document
/// is read and written again.
pub const FRACTION_STEPS: f64 = 1_000_000.0;

/// HTTP methods that a class may list.
pub const METHODS: [&str; 7] = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];

/// Clause for error messages that states which names are accepted.
pub const EXPECTED_NAME: &str = "expected 1 to 63 characters of a-z, 0-9, `-`, `_` and `.` that start and end with a letter or digit";

/// Clause for error messages that states which path prefixes are accepted.
pub const EXPECTED_PREFIX: &str = "expected a URL path of 1 to 256 characters that starts with `/` and has no empty, `.` or `..` segments";

/// Maximum length of a quoted value in an error message, in characters; a
/// longer value is truncated.
const MAX_QUOTE_CHARS: usize = 80;

/// Maximum length of a parser's message in an error message, in characters; a
/// longer message is truncated.
const MAX_REASON_CHARS: usize = 240;

/// Returns `text` truncated to 80 characters, escaped and in backticks, for
/// error messages.
pub fn quote(text: &str) -> String {
    let mut quoted: String = text
        .chars()
        .take(MAX_QUOTE_CHARS)
        .flat_map(char::escape_debug)
        .collect();
    if text.chars().nth(MAX_QUOTE_CHARS).is_some() {
        quoted.push('…');
    }
    format!("`{quoted}`")
}

/// Returns whether `text` is an accepted name, as [`EXPECTED_NAME`] states it.
pub fn is_name(text: &str) -> bool {
    let edge = |byte: &u8| byte.is_ascii_lowercase() || byte.is_ascii_digit();
    let bytes = text.as_bytes();
    bytes.len() <= MAX_NAME_BYTES
        && bytes.first().is_some_and(edge)
        && bytes.last().is_some_and(edge)
        && bytes
            .iter()
            .all(|byte| edge(byte) || matches!(byte, b'-' | b'_' | b'.'))
}

/// Returns whether `text` is an accepted path prefix, as [`EXPECTED_PREFIX`]
/// states it.
///
/// Prefixes are compared with request paths byte by byte. A prefix would never
/// match if it held characters that a request target cannot contain, or dot
/// segments, which clients resolve before they send a request.
pub fn is_prefix(text: &str) -> bool {
    let Some(path) = text.strip_prefix('/') else {
        return false;
    };
    let segments: Vec<&str> = path.split('/').collect();
    let last = segments.len() - 1;
    text.len() <= MAX_PREFIX_BYTES
        && is_rfc3986_path(path.as_bytes())
        && segments.iter().enumerate().all(|(index, segment)| {
            !matches!(*segment, "." | "..") && (index == last || !segment.is_empty())
        })
}

/// Returns whether `bytes` consist of path characters of RFC 3986 and valid
/// percent escapes.
fn is_rfc3986_path(bytes: &[u8]) -> bool {
    let mut rest = bytes;
    loop {
        rest = match rest {
            [] => return true,
            [b'%', a, b, rest @ ..] if a.is_ascii_hexdigit() && b.is_ascii_hexdigit() => rest,
            [byte, rest @ ..]
                if byte.is_ascii_alphanumeric() || b"-._~!$&'()*+,;=:@/".contains(byte) =>
            {
                rest
            }
            _ => return false,
        };
    }
}

/// Checks that `text` is an accepted name.
///
/// # Errors
///
/// Returns [`Fault::Value`] if [`is_name`] does not accept `text`.
pub fn check_name(field: impl Display, text: &str) -> Result<(), Fault> {
    if is_name(text) {
        return Ok(());
    }
    Err(Fault::value(field, quote(text), EXPECTED_NAME))
}

/// Checks that `value` is in `range`.
///
/// # Errors
///
/// Returns [`Fault::Value`] if `value` is out of range.
pub fn check_range<Number: Copy + Display + PartialOrd>(
    field: impl Display,
    value: Number,
    range: &RangeInclusive<Number>,
) -> Result<(), Fault> {
    if range.contains(&value) {
        return Ok(());
    }
    let accepted = format!(
        "expected an integer from {} to {}",
        range.start(),
        range.end()
    );
    Err(Fault::value(field, format!("`{value}`"), accepted))
}

/// Checks that a list of `found` entries has at most `max`.
///
/// # Errors
///
/// Returns [`Fault::Value`] for a longer list.
pub fn check_count(field: &str, found: usize, max: usize) -> Result<(), Fault> {
    if found <= max {
        return Ok(());
    }
    let accepted = format!("expected at most {max}");
    Err(Fault::value(field, format!("{found} entries"), accepted))
}

/// Checks that a value of `found` bytes has at most `max`.
///
/// # Errors
///
/// Returns [`Fault::Value`] for a larger value.
pub fn check_size(field: &str, found: usize, max: usize) -> Result<(), Fault> {
    if found <= max {
        return Ok(());
    }
    let accepted = format!("expected at most {max}");
    Err(Fault::value(field, format!("{found} bytes"), accepted))
}

/// Parses JSON; the error message starts with the path of the invalid field.
///
/// # Errors
///
/// Returns [`Fault::Malformed`] for bytes that are not the JSON of a `Value`.
pub(crate) fn parse<Value: DeserializeOwned>(bytes: &[u8]) -> Result<Value, Fault> {
    let mut reader = serde_json::Deserializer::from_slice(bytes);
    let value = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let path = error.path().to_string();
        if path == "." {
            malformed(&error.inner().to_string())
        } else {
            malformed(&format!("{path}: {}", error.inner()))
        }
    })?;
    reader
        .end()
        .map_err(|error| malformed(&error.to_string()))?;
    Ok(value)
}

fn malformed(reason: &str) -> Fault {
    let mut short: String = reason.chars().take(MAX_REASON_CHARS).collect();
    if reason.chars().nth(MAX_REASON_CHARS).is_some() {
        short.push('…');
    }
    Fault::Malformed { reason: short }
}
