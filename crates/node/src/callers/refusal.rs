//! Answers that the callers' port gives before a request reaches the decisions.

use celeryshore_model::Dialect;
use celeryshore_model::Header;
use celeryshore_model::HttpResponse;

use crate::Error;
use crate::callers::answer::NOT_RUN;
use crate::error::Protocol;
use crate::http;

/// Why a request, or a connection, is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub(super) enum Refusal {
    /// The message is malformed.
    #[display("malformed")]
    Malformed,
    /// The header is too long.
    #[display("header-too-long")]
    Header,
    /// The body is too long.
    #[display("too-large")]
    Body,
    /// The message did not come to its end in time.
    #[display("timeout")]
    Timeout,
    /// There are too many connections.
    #[display("connections")]
    Connections,
}

impl Refusal {
    /// Returns how to refuse a request that could not be read; nothing if its
    /// connection broke.
    pub(super) fn of(err: &Error) -> Option<Self> {
        match err.protocol() {
            Some(Protocol::HeadLength) => Some(Self::Header),
            Some(Protocol::BodyLength) => Some(Self::Body),
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
            Self::Connections => 503,
        }
    }

    /// Writes the answer, after which the connection closes.
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
