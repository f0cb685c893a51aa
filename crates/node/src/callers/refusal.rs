//! Responses to requests and connections that are refused before they reach the
//! kernel.

use celeryshore_model::Dialect;
use celeryshore_model::Header;
use celeryshore_model::HttpResponse;

use crate::Error;
use crate::callers::answer::NOT_RUN;
use crate::error::Protocol;
use crate::http;

/// Reason to refuse a request or a connection; its text is the value of the reason
/// header and of the metric's label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub(super) enum Refusal {
    /// The request is not valid HTTP.
    #[display("malformed")]
    Malformed,
    /// The header is longer than allowed.
    #[display("header-too-long")]
    Header,
    /// The body is longer than allowed.
    #[display("too-large")]
    Body,
    /// The request was not received completely in time.
    #[display("timeout")]
    Timeout,
    /// The bodies that the node holds leave no memory for another one.
    #[display("memory")]
    Memory,
    /// The limit on open connections is reached.
    #[display("connections")]
    Connections,
}

impl Refusal {
    /// Returns the refusal of a request that could not be read, or `None` if its
    /// connection broke and no response can be sent.
    pub(super) fn from_error(err: &Error) -> Option<Self> {
        match err.protocol() {
            Some(Protocol::HeadLength) => Some(Self::Header),
            Some(Protocol::BodyLength) => Some(Self::Body),
            Some(Protocol::Memory) => Some(Self::Memory),
            Some(Protocol::Timeout) => Some(Self::Timeout),
            Some(Protocol::Closed | Protocol::BodyShort) => None,
            _ => err.is_malformed().then_some(Self::Malformed),
        }
    }

    fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::Timeout => 408,
            Self::Body => 413,
            Self::Header => 431,
            Self::Memory | Self::Connections => 503,
        }
    }

    /// Encodes the response, which announces that the connection closes.
    pub(super) async fn encode(self, dialect: &Dialect) -> Vec<u8> {
        let outcome = dialect
            .outcome
            .iter()
            .map(|n| Header::new(n.clone(), NOT_RUN));
        let reason = dialect.reason.iter();
        let reason = reason.map(|n| Header::new(n.clone(), self.to_string()));
        let response = HttpResponse {
            status: self.status(),
            headers: outcome.chain(reason).collect(),
            body: bytes::Bytes::new(),
        };
        http::encode_response(&response, b"GET", true)
            .await
            .unwrap_or_default()
    }
}
