//! Headers of requests: which are forwarded, and how their values are read.

use std::str::FromStr;

use http::StatusCode;
use http::header::{HeaderMap, HeaderName};

use super::Refusal;

/// Returns the headers without the hop-by-hop headers and those that the
/// `Connection` header names.
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    const HOP_BY_HOP: [HeaderName; 8] = [
        http::header::CONNECTION,
        http::header::HOST,
        http::header::PROXY_AUTHENTICATE,
        http::header::PROXY_AUTHORIZATION,
        http::header::TE,
        http::header::TRAILER,
        http::header::TRANSFER_ENCODING,
        http::header::UPGRADE,
    ];
    let connection_options: Vec<String> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut forwarded = headers.clone();
    for name in HOP_BY_HOP {
        forwarded.remove(name);
    }
    forwarded.remove("keep-alive");
    for name in connection_options {
        forwarded.remove(name.as_str());
    }
    forwarded
}

/// Parses a header as a number or address; `None` if the header is missing.
///
/// # Errors
///
/// Returns a refusal if the value cannot be parsed as `N` or has a plus sign,
/// or if [`header_text`] refuses it.
pub fn parse_header<N: FromStr>(
    headers: &HeaderMap,
    name: &'static str,
) -> Result<Option<N>, Refusal> {
    match header_text(headers, name)? {
        None => Ok(None),
        Some(value) => match value.trim().parse() {
            Ok(number) if !value.starts_with('+') => Ok(Some(number)),
            _ => Err(malformed_header(name, "a whole number")),
        },
    }
}

/// Reads a header as text; `None` if the header is missing.
///
/// # Errors
///
/// Returns a refusal if the value has other than visible ASCII characters, or
/// if the header occurs twice.
pub fn header_text(headers: &HeaderMap, name: &'static str) -> Result<Option<String>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(malformed_header(name, "one value"));
    }
    match value.to_str() {
        Ok(value) => Ok(Some(value.into())),
        Err(_) => Err(malformed_header(name, "visible ASCII characters")),
    }
}

/// Returns the refusal of a request whose header `name` is malformed.
pub(super) fn malformed_header(name: &str, accepted: &str) -> Refusal {
    Refusal::not_run(
        StatusCode::BAD_REQUEST,
        format!("header {name}: expected {accepted}"),
    )
}
