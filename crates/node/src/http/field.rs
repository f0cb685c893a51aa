//! Removal of hop-by-hop header fields.

use bytes::Bytes;
use celeryshore_model::Header;
use http_types::headers::Headers;

const HOP_BY_HOP: [&str; 13] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "trailers",
    "transfer-encoding",
    "upgrade",
];

/// Returns the end-to-end fields of a message: all but the hop-by-hop fields and those
/// that its `Connection` field names.
pub(super) fn end_to_end(headers: &Headers) -> Vec<Header> {
    let named = headers
        .get("connection")
        .map(|v| v.last().as_str().to_owned());
    let named = named.unwrap_or_default().to_ascii_lowercase();
    let is_named = |name: &str| named.split(',').any(|n| n.trim() == name);
    let mut fields = Vec::new();
    for (name, values) in headers {
        if HOP_BY_HOP.contains(&name.as_str()) || is_named(name.as_str()) {
            continue;
        }
        for value in values {
            push(&mut fields, name.as_str(), value.as_str());
        }
    }
    fields
}

/// Adds a field, unless its value has a line break: the decoder adds such a date if a
/// message has none.
fn push(fields: &mut Vec<Header>, name: &str, value: &str) {
    if value.contains(['\r', '\n']) {
        return;
    }
    let name = Bytes::copy_from_slice(name.as_bytes());
    let value = Bytes::copy_from_slice(value.as_bytes());
    fields.push(Header::new(name, value));
}
