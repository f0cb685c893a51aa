//! Error type of this crate.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use crate::settings::PortName;

/// Alias for a `Result` with the error type [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Error while a node starts or runs.
///
/// # Example
///
/// ```
/// use celeryshore_node::Category;
/// use celeryshore_node::Settings;
///
/// let err = "vm: 7\n".parse::<Settings>().unwrap_err();
/// assert_eq!(err.classify(), Category::Settings);
/// ```
pub struct Error {
    inner: Box<Inner>,
}

enum Inner {
    Usage(getopts::Fail),
    SettingsMissing,
    Read {
        path: PathBuf,
        err: io::Error,
    },
    Yaml(serde_yaml_ng::Error),
    AddressConflict {
        left: PortName,
        right: PortName,
        addr: SocketAddr,
    },
    InvalidValue {
        key: &'static str,
        expected: &'static str,
    },
    Bind {
        port: PortName,
        addr: SocketAddr,
        err: io::Error,
    },
    Io(io::Error),
    Http(http_types::Error),
    Protocol(Protocol),
    Rules(celeryshore_rules::Error),
    Wire(celeryshore_wire::Error),
}

/// Violation of a protocol by the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub(crate) enum Protocol {
    #[display("connection closed within a message")]
    Closed,
    #[display("header is not well-formed")]
    Head,
    #[display("header is too long")]
    HeadLength,
    #[display("body is too long")]
    BodyLength,
    #[display("body is shorter than its length")]
    BodyShort,
    #[display("success without the target's signature")]
    Unsigned,
    #[display("bodies exceed the memory for them")]
    Memory,
    #[display("too many responses to other requests")]
    Stale,
    #[display("response names no request on a connection that was used before")]
    Unattributed,
    #[display("no answer in time")]
    Timeout,
}

/// Category of an [`Error`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Category {
    /// Invalid command line.
    #[display("usage")]
    Usage,
    /// Settings file that cannot be read or is invalid.
    #[display("settings")]
    Settings,
    /// Port that cannot be opened.
    #[display("port")]
    Port,
    /// Failed input or output.
    #[display("io")]
    Io,
    /// Violation of a protocol by another process, or a timeout.
    #[display("protocol")]
    Protocol,
    /// Invalid rules text.
    #[display("rules")]
    Rules,
}

impl Error {
    pub(crate) fn settings_missing() -> Self {
        Inner::SettingsMissing.into()
    }

    pub(crate) fn read(path: PathBuf, err: io::Error) -> Self {
        Inner::Read { path, err }.into()
    }

    pub(crate) fn address_conflict(left: PortName, right: PortName, addr: SocketAddr) -> Self {
        Inner::AddressConflict { left, right, addr }.into()
    }

    pub(crate) fn invalid_value(key: &'static str, expected: &'static str) -> Self {
        Inner::InvalidValue { key, expected }.into()
    }

    pub(crate) fn bind(port: PortName, addr: SocketAddr, err: io::Error) -> Self {
        Inner::Bind { port, addr, err }.into()
    }

    pub(crate) fn protocol(&self) -> Option<Protocol> {
        match *self.inner {
            Inner::Protocol(protocol) => Some(protocol),
            _ => None,
        }
    }

    /// Returns `true` if the other end sent a malformed message.
    pub(crate) fn is_malformed(&self) -> bool {
        match &*self.inner {
            Inner::Http(_) | Inner::Protocol(_) => true,
            Inner::Io(err) => err.kind() == io::ErrorKind::InvalidData,
            _ => false,
        }
    }

    /// Returns the category of this error.
    #[must_use]
    pub fn classify(&self) -> Category {
        match *self.inner {
            Inner::Usage(_) | Inner::SettingsMissing => Category::Usage,
            Inner::Read { .. }
            | Inner::Yaml(_)
            | Inner::AddressConflict { .. }
            | Inner::InvalidValue { .. } => Category::Settings,
            Inner::Bind { .. } => Category::Port,
            Inner::Io(_) => Category::Io,
            Inner::Http(_) | Inner::Protocol(_) | Inner::Wire(_) => Category::Protocol,
            Inner::Rules(_) => Category::Rules,
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

impl From<getopts::Fail> for Error {
    fn from(err: getopts::Fail) -> Self {
        Inner::Usage(err).into()
    }
}

impl From<serde_yaml_ng::Error> for Error {
    fn from(err: serde_yaml_ng::Error) -> Self {
        Inner::Yaml(err).into()
    }
}

impl From<io::Error> for Error {
    fn from(err: io::Error) -> Self {
        Inner::Io(err).into()
    }
}

impl From<http_types::Error> for Error {
    fn from(err: http_types::Error) -> Self {
        Inner::Http(err).into()
    }
}

impl From<Protocol> for Error {
    fn from(err: Protocol) -> Self {
        Inner::Protocol(err).into()
    }
}

impl From<celeryshore_rules::Error> for Error {
    fn from(err: celeryshore_rules::Error) -> Self {
        Inner::Rules(err).into()
    }
}

impl From<celeryshore_wire::Error> for Error {
    fn from(err: celeryshore_wire::Error) -> Self {
        Inner::Wire(err).into()
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &*self.inner {
            Inner::Usage(err) => err.fmt(f),
            Inner::SettingsMissing => f.write_str("--settings FILE is required"),
            Inner::Read { path, err } => {
                write!(f, "cannot read settings file {}: {err}", path.display())
            }
            Inner::Yaml(err) => err.fmt(f),
            Inner::AddressConflict { left, right, addr } => {
                write!(
                    f,
                    "settings {left} and {right} have the same address {addr}"
                )
            }
            Inner::InvalidValue { key, expected } => {
                write!(f, "invalid setting {key}: expected {expected}")
            }
            Inner::Bind { port, addr, err } => {
                write!(f, "cannot open {port} port at {addr}: {err}")
            }
            Inner::Io(err) => err.fmt(f),
            Inner::Http(err) => write!(f, "malformed HTTP message: {err}"),
            Inner::Protocol(err) => err.fmt(f),
            Inner::Rules(err) => err.fmt(f),
            Inner::Wire(err) => err.fmt(f),
        }
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Error({self})")
    }
}

impl std::error::Error for Error {}
