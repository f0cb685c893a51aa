//! Error type of the stand-ins.

use std::io;

use derive_more::Display;
use derive_more::From;

/// Result with this package's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Error of a stand-in or of its client.
#[derive(Debug, Display, From)]
pub enum Error {
    /// A socket operation failed.
    #[display("network error: {_0}")]
    Io(io::Error),
    /// The peer sent an invalid HTTP message.
    #[display("HTTP error: {_0}")]
    Http(http_types::Error),
    /// A JSON document can't be parsed or written.
    #[display("JSON error: {_0}")]
    Json(serde_json::Error),
    /// A query parameter or a header field has an invalid value.
    #[display("invalid value of {name}: {found:?}")]
    #[from(skip)]
    Parameter {
        /// Name of the parameter or header field.
        name: &'static str,
        /// Value that was found.
        found: String,
    },
    /// The peer rejected a request.
    #[display("request rejected with status {status}: {text}")]
    #[from(skip)]
    Refused {
        /// HTTP status code.
        status: u16,
        /// Body of the response.
        text: String,
    },
    /// The peer did not respond within the timeout.
    #[display("no answer in time")]
    #[from(skip)]
    Timeout,
}

impl std::error::Error for Error {}
