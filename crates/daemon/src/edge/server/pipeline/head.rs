//! Heads of requests that wait behind another one.

use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING, UPGRADE};
use http::request::Parts;
use http::{HeaderName, HeaderValue, Method, Request, Version};

/// End of the head of a request.
const END: &[u8] = b"\r\n\r\n";
/// Maximum number of headers of a request that starts early.
const MAX_HEADERS: usize = 64;

/// Returns the length of the head at the start of `bytes`, or `None` if its end
/// has not arrived.
pub(super) fn length(bytes: &[u8]) -> Option<usize> {
    let start = bytes.windows(END.len()).position(|window| window == END)?;
    Some(start + END.len())
}

/// Parses a complete head. Returns `None` if it is malformed, if a body may
/// follow it, or if the connection may change its protocol or end after it.
pub(super) fn parse(bytes: &[u8]) -> Option<Parts> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let complete = httparse::Status::Complete(bytes.len());
    if parsed.parse(bytes).ok()? != complete || parsed.version? != 1 {
        return None;
    }
    let method = parsed.method?.parse().ok()?;
    if method != Method::GET && method != Method::HEAD {
        return None;
    }
    let (mut head, ()) = Request::new(()).into_parts();
    head.method = method;
    head.uri = parsed.path?.parse().ok()?;
    head.version = Version::HTTP_11;
    for header in parsed.headers {
        let name: HeaderName = header.name.parse().ok()?;
        if [CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING, UPGRADE].contains(&name) {
            return None;
        }
        let value = HeaderValue::from_bytes(header.value).ok()?;
        head.headers.append(name, value);
    }
    (!closes(&head.headers)).then_some(head)
}

/// Returns whether a message with these headers asks for the end of its
/// connection.
pub(super) fn closes(headers: &http::HeaderMap) -> bool {
    headers.get_all(CONNECTION).iter().any(|value| {
        let mut options = value.as_bytes().split(|byte| *byte == b',');
        options.any(|option| option.trim_ascii().eq_ignore_ascii_case(b"close"))
    })
}
