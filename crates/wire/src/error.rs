//! The one error of this package.

use std::fmt;

/// Result of this package's functions.
pub type Result<T> = std::result::Result<T, Error>;

/// A message that is not what the protocol allows.
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
    Missing(&'static str),
    Value(&'static str),
    Model(celeryshore_model::Error),
    Call(Box<tonic::Status>),
    Length { length: u64, limit: u64 },
}

/// What is wrong with a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Category {
    /// The bytes are no message.
    #[display("syntax")]
    Syntax,
    /// A field is missing or has a value that it cannot have.
    #[display("content")]
    Content,
    /// The frame is longer than its limit.
    #[display("length")]
    Length,
    /// The call did not come to a whole reply.
    #[display("call")]
    Call,
}

impl Error {
    pub(crate) fn missing(field: &'static str) -> Self {
        Inner::Missing(field).into()
    }

    pub(crate) fn value(field: &'static str) -> Self {
        Inner::Value(field).into()
    }

    pub(crate) fn length(length: u64, limit: u64) -> Self {
        Inner::Length { length, limit }.into()
    }

    /// Returns what is wrong with the message.
    #[must_use]
    pub fn classify(&self) -> Category {
        match *self.inner {
            Inner::Syntax(_) => Category::Syntax,
            Inner::Missing(_) | Inner::Value(_) | Inner::Model(_) => Category::Content,
            Inner::Length { .. } => Category::Length,
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
            Inner::Missing(field) => write!(f, "missing field {field}"),
            Inner::Value(field) => write!(f, "value out of range in field {field}"),
            Inner::Model(err) => err.fmt(f),
            Inner::Call(err) => write!(f, "call failed: {}", err.code()),
            Inner::Length { length, limit } => {
                write!(
                    f,
                    "frame of {length} bytes exceeds the limit of {limit} bytes"
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
