//! Accepted sizes and values, and the checks that several modules share.

use std::fmt::Display;
use std::ops::RangeInclusive;

use serde::de::DeserializeOwned;

use crate::fault::Fault;

/// Largest document, in bytes, as it is read and in canonical form.
///
/// A document of [`MAX_CLASSES`] classes with the longest accepted fields takes
/// 6.1 MB in canonical form, so that each document that passes the other
/// checks also fits this bound.
pub const MAX_DOCUMENT_BYTES: usize = 8_000_000;

/// Largest number of parts that a manifest may name.
///
/// Eight parts of [`crate::manifest::MAX_VALUE_BYTES`] hold the largest document.
/// The rest is for publishers that cut smaller parts.
pub const MAX_PARTS: usize = 16;

/// Largest number of services: three times the design size of 200.
pub const MAX_SERVICES: usize = 600;

/// Largest number of classes: sixteen for each of [`MAX_SERVICES`]. An operator may
/// double or triple the routes of a service; a version that is refused for its
/// size leaves all hosts at the one before.
pub const MAX_CLASSES: usize = 9_600;

/// Largest number of hosts: three times the design size of 1,100.
pub const MAX_HOSTS: usize = 3_300;

/// Longest name, in bytes: the length of a DNS label.
pub const MAX_NAME_BYTES: usize = 63;

/// Longest path prefix, in bytes.
pub const MAX_PREFIX_BYTES: usize = 256;

/// Longest key of a platform value, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// Accepted numbers of documents.
///
/// The upper end is 2^53 - 1, the greatest integer that JSON readers based on
/// floating point keep exactly.
pub const DOCUMENT_NUMBERS: RangeInclusive<u64> = 1..=9_007_199_254_740_991;

/// Accepted numbers of host lists.
pub const LIST_NUMBERS: RangeInclusive<u64> = 0..=9_007_199_254_740_991;

/// Accepted latencies of a target, in milliseconds: up to 10 minutes, which
/// leaves room for uploads.
pub const LATENCY_MS: RangeInclusive<u32> = 1..=600_000;

/// Accepted numbers of upstreams that a request may be handed to.
pub const ATTEMPTS: RangeInclusive<u32> = 1..=100;

/// Number of steps between 0 and 1 for quantiles and success shares.
///
/// With at most 6 decimals, a share is read and printed exactly by any JSON
/// implementation, so that the hash of a document survives being read and
/// written again.
pub const FRACTION_STEPS: f64 = 1_000_000.0;

/// HTTP methods that a class may list.
pub const METHODS: [&str; 7] = ["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];

/// Accepted form of a name, as error texts state it.
pub const NAME_FORM: &str =
    "expected 1 to 63 characters of a-z, 0-9, `-`, `_` and `.` that start and end with a letter or digit";

/// Accepted form of a path prefix, as error texts state it.
pub const PREFIX_FORM: &str = "expected a URL path of 1 to 256 characters that starts with `/` and has no empty, `.` or `..` segments";

/// Longest quotation of a refused value in an error text, in characters.
const MAX_QUOTE_CHARS: usize = 80;

/// Longest parser message in an error text, in characters.
const MAX_REASON_CHARS: usize = 240;

/// Returns `text` in backticks, escaped and shortened to 80 characters.
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

/// Returns whether `text` is a name: see [`NAME_FORM`].
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

/// Returns whether `text` is a path prefix: see [`PREFIX_FORM`].
///
/// Requests are matched byte by byte. A prefix with characters that no request
/// target can hold, or with segments that clients resolve before they send,
/// would never match.
pub fn is_prefix(text: &str) -> bool {
    let Some(path) = text.strip_prefix('/') else {
        return false;
    };
    let segments: Vec<&str> = path.split('/').collect();
    let last = segments.len() - 1;
    text.len() <= MAX_PREFIX_BYTES
        && is_rfc3986_path(path.as_bytes())
        && segments.iter().enumerate().all(|(at, segment)| {
            !matches!(*segment, "." | "..") && (at == last || !segment.is_empty())
        })
}

/// Returns whether `bytes` are path characters of RFC 3986 with valid percent escapes.
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

/// Checks that `text` is a name.
///
/// # Errors
///
/// Returns [`Fault::Value`] for other text.
pub fn check_name(field: impl Display, text: &str) -> Result<(), Fault> {
    if is_name(text) {
        return Ok(());
    }
    Err(Fault::value(field, quote(text), NAME_FORM))
}

/// Checks that `value` is in `range`.
///
/// # Errors
///
/// Returns [`Fault::Value`] otherwise.
pub fn check_range<Number: Copy + Display + PartialOrd>(
    field: impl Display,
    value: Number,
    range: &RangeInclusive<Number>,
) -> Result<(), Fault> {
    if range.contains(&value) {
        return Ok(());
    }
    let accepted = format!("expected a number from {} to {}", range.start(), range.end());
    Err(Fault::value(field, format!("`{value}`"), accepted))
}

/// Checks that a list has at most `most` entries.
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

/// Checks that a value has at most `most` bytes.
///
/// # Errors
///
/// Returns [`Fault::Value`] for a longer value.
pub fn check_size(field: &str, found: usize, max: usize) -> Result<(), Fault> {
    if found <= max {
        return Ok(());
    }
    let accepted = format!("expected at most {max}");
    Err(Fault::value(field, format!("{found} bytes"), accepted))
}

/// Parses JSON; the fault names the path of the refused field.
///
/// # Errors
///
/// Returns [`Fault::Malformed`] for other content.
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
