//! Error type of this crate.

use std::fmt;

/// Result of encoding, decoding or exchanging messages.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of a message that violates the protocol, or of a failed call.
///
/// # Example
///
/// ```
/// use bytes::Bytes;
/// use celeryshore_wire::Category;
/// use celeryshore_wire::RequestFrame;
///
/// let err = RequestFrame::decode(Bytes::from_static(b"\0\0\0\x01\xff")).unwrap_err();
/// assert_eq!(err.classify(), Category::Syntax);
/// ```
pub struct Error {
    inner: Box<Inner>,
}

enum Inner {
    Syntax(prost::DecodeError),
    MissingField(&'static str),
    InvalidValue(&'static str),
    Model(celeryshore_model::Error),
    Call(Box<tonic::Status>),
    TooLong { length: u64, limit: u64 },
}

/// Category of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Category {
    /// The bytes are not a valid Protocol Buffers message.
    #[display("syntax")]
    Syntax,
    /// A required field is missing, or a field has an invalid value.
    #[display("content")]
    Content,
    /// A frame or a pull reply exceeds its size limit.
    #[display("length")]
    Length,
    /// A gRPC call failed before its reply was complete.
    #[display("call")]
    Call,
}

impl Error {
    pub(crate) fn missing_field(field: &'static str) -> Self {
        Inner::MissingField(field).into()
    }

    pub(crate) fn invalid_value(field: &'static str) -> Self {
        Inner::InvalidValue(field).into()
    }

    pub(crate) fn too_long(length: u64, limit: u64) -> Self {
        Inner::TooLong { length, limit }.into()
    }

    /// Returns the category of this error.
    #[must_use]
    pub fn classify(&self) -> Category {
        match *self.inner {
            Inner::Syntax(_) => Category::Syntax,
            Inner::MissingField(_) | Inner::InvalidValue(_) | Inner::Model(_) => Category::Content,
            Inner::TooLong { .. } => Category::Length,
            Inner::Call(_) => Category::Call,
        }
    }
}

impl From<Inner> for Error {
    fn from(inner: Inner) -> Self {
        Self {
            inner: Box::new(inner),
        }
    }
}

impl From<prost::DecodeError> for Error {
    fn from(err: prost::DecodeError) -> Self {
        Inner::Syntax(err).into()
    }
}

impl From<celeryshore_model::Error> for Error {
    fn from(err: celeryshore_model::Error) -> Self {
        Inner::Model(err).into()
    }
}

impl From<tonic::Status> for Error {
    fn from(err: tonic::Status) -> Self {
        Inner::Call(Box::new(err)).into()
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &*self.inner {
            Inner::Syntax(err) => write!(f, "malformed message: {err}"),
            Inner::MissingField(field) => write!(f, "message has no {field}"),
            Inner::InvalidValue(field) => write!(f, "invalid value in field {field}"),
            Inner::Model(err) => err.fmt(f),
            Inner::Call(err) => write!(f, "gRPC call failed: {}", err.code()),
            Inner::TooLong { length, limit } => {
                write!(
                    f,
                    "message of {length} bytes exceeds the limit of {limit} bytes"
                )
            }
        }
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Error({self})")
    }
}

impl std::error::Error for Error {}
