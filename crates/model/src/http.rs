//! Whole HTTP messages, between the codec at the border and the decisions.

use bytes::Bytes;

/// One header field. Names are lower case.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Name of the field in lower case.
    pub name: Bytes,
    /// Value of the field.
    pub value: Bytes,
}

impl Header {
    /// Makes a header field.
    #[must_use]
    pub fn new(name: impl Into<Bytes>, value: impl Into<Bytes>) -> Self {
        Self {
            name: name.into(),
            value: value.into(),
        }
    }
}

/// A request with its whole body.
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
    /// The whole body.
    pub body: Bytes,
}

impl HttpRequest {
    /// Returns the first value of a header field, by its lower-case name.
    #[must_use]
    pub fn header(&self, name: &[u8]) -> Option<&Bytes> {
        find(&self.headers, name)
    }
}

/// An answer with its whole body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// End-to-end header fields.
    pub headers: Vec<Header>,
    /// The whole body.
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
