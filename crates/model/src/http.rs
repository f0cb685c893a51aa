//! Complete HTTP messages, as passed between the HTTP codec and the kernel.

use bytes::Bytes;

/// Header field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Name of the field in lower case.
    pub name: Bytes,
    /// Value of the field.
    pub value: Bytes,
}

impl Header {
    /// Creates a header field from a lower-case name and a value.
    #[must_use]
    pub fn new(name: impl Into<Bytes>, value: impl Into<Bytes>) -> Self {
        Self {
            name: name.into(),
            value: value.into(),
        }
    }
}

/// Request with its complete body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpRequest {
    /// Method in upper case.
    pub method: Bytes,
    /// Value of the `Host` header, without a port.
    pub host: Bytes,
    /// Path and query as the caller sent them.
    pub path: Bytes,
    /// End-to-end header fields.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Bytes,
}

impl HttpRequest {
    /// Returns the first value of a header field, by its lower-case name.
    #[must_use]
    pub fn header(&self, name: &[u8]) -> Option<&Bytes> {
        find(&self.headers, name)
    }
}

/// Response with its complete body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// End-to-end header fields.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Returns the first value of a header field, by its lower-case name.
    #[must_use]
    pub fn header(&self, name: &[u8]) -> Option<&Bytes> {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [Header], name: &[u8]) -> Option<&'a Bytes> {
    headers.iter().find(|h| h.name == name).map(|h| &h.value)
}
