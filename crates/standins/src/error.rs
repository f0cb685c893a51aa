//! The one error of this package.

use std::io;

use derive_more::Display;
use derive_more::From;

/// Result of this package's functions.
pub type Result<T> = std::result::Result<T, Error>;

/// A failure of a stand-in or of its client.
#[derive(Debug, Display, From)]
pub enum Error {
    /// The network failed.
    #[display("network: {_0}")]
    Io(io::Error),
    /// The other end did not speak HTTP.
    #[display("HTTP: {_0}")]
    Http(http_types::Error),
    /// A JSON document was malformed.
    #[display("JSON: {_0}")]
    Json(serde_json::Error),
    /// A query parameter was malformed.
    #[display("parameter {name}: found {found:?}")]
    #[from(skip)]
    Parameter {
        /// Name of the parameter.
        name: &'static str,
        /// Its value.
        found: String,
    },
    /// The other end refused a request.
    #[display("refused with {status}: {text}")]
    #[from(skip)]
    Refused {
        /// Status code.
        status: u16,
        /// The answer's body.
        text: String,
    },
    /// The other end was silent for longer than the limit.
    #[display("no answer in time")]
    #[from(skip)]
    Timeout,
}

impl std::error::Error for Error {}
