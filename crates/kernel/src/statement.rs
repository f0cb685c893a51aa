//! What targets state about themselves in the header fields of their responses.

use std::time::Duration;

use celeryshore_model::Dialect;
use celeryshore_model::HttpResponse;
use celeryshore_model::Incarnation;
use celeryshore_model::Rate;
use serde::Serialize;
use serde::Serializer;
use serde::ser::SerializeStruct;

/// What a target last stated about itself.
///
/// The admitting node reads it from the responses of its target and adds it to its
/// replies. Forwarding nodes return it with their requests, so that an admitting node
/// that was restarted learns it before it sends anything to the target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetStatement {
    /// Requests per second that the target takes from all nodes together; absent if it
    /// states no limit.
    pub rate_limit: Option<Rate>,
    /// Whether it is about to leave. This doesn't change before its incarnation ends.
    pub is_leaving: bool,
    /// Incarnation of the target.
    pub target: Incarnation,
    /// Time since the response that the statement was read from.
    pub age: Duration,
}

impl TargetStatement {
    /// Returns `true` if the statement restricts what the target may be sent.
    ///
    /// # Example
    ///
    /// ```
    /// use celeryshore_kernel::TargetStatement;
    /// use celeryshore_model::Rate;
    ///
    /// let mut statement = TargetStatement::default();
    /// assert!(!statement.is_restrictive());
    /// statement.rate_limit = Some(Rate::from_per_mille(9_500));
    /// assert!(statement.is_restrictive());
    /// ```
    #[must_use]
    pub const fn is_restrictive(&self) -> bool {
        self.rate_limit.is_some() || self.is_leaving
    }
}

impl Serialize for TargetStatement {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut state = serializer.serialize_struct("TargetStatement", 4)?;
        let rate_limit = self.rate_limit.map(|rate| rate.to_string());
        state.serialize_field("rate_limit", &rate_limit)?;
        state.serialize_field("is_leaving", &self.is_leaving)?;
        state.serialize_field("target", &self.target)?;
        state.serialize_field("age_ms", &self.age.as_millis())?;
        state.end()
    }
}

/// What one response of a target states about the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseStatement {
    /// Its rate limit.
    pub rate: StatedRate,
    /// Whether it is about to leave.
    pub is_leaving: bool,
}

impl ResponseStatement {
    /// Reads the statement from the header fields of a response.
    ///
    /// # Example
    ///
    /// ```
    /// use celeryshore_kernel::ResponseStatement;
    /// use celeryshore_model::Dialect;
    /// use celeryshore_model::Header;
    /// use celeryshore_model::HttpResponse;
    ///
    /// let response = HttpResponse {
    ///     headers: vec![Header::new("x-leaving", "1")],
    ///     ..HttpResponse::default()
    /// };
    /// let statement = ResponseStatement::read(&Dialect::default(), &response);
    /// assert!(statement.is_leaving);
    /// ```
    #[must_use]
    pub fn read(dialect: &Dialect, response: &HttpResponse) -> Self {
        let leaving = dialect.leaving.as_ref();
        let leaving = leaving.and_then(|name| response.header(name));
        Self {
            rate: StatedRate::read(dialect, response),
            is_leaving: leaving.is_some_and(|value| value == "1"),
        }
    }
}

/// Rate limit in one response of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatedRate {
    /// The response has no such field.
    Absent,
    /// The field isn't a finite number of at least zero.
    Unreadable,
    /// Requests per second that the target takes from all nodes together.
    Limit(Rate),
}

impl StatedRate {
    /// Reads the rate limit from a response.
    ///
    /// # Example
    ///
    /// ```
    /// use celeryshore_kernel::StatedRate;
    /// use celeryshore_model::Dialect;
    /// use celeryshore_model::Header;
    /// use celeryshore_model::HttpResponse;
    /// use celeryshore_model::Rate;
    ///
    /// let dialect = Dialect::default();
    /// let mut response = HttpResponse::default();
    /// assert_eq!(StatedRate::read(&dialect, &response), StatedRate::Absent);
    /// response.headers = vec![Header::new("x-rate-limit", "9.5")];
    /// let limit = StatedRate::Limit(Rate::from_per_mille(9_500));
    /// assert_eq!(StatedRate::read(&dialect, &response), limit);
    /// response.headers = vec![Header::new("x-rate-limit", "-1")];
    /// assert_eq!(StatedRate::read(&dialect, &response), StatedRate::Unreadable);
    /// ```
    #[must_use]
    pub fn read(dialect: &Dialect, response: &HttpResponse) -> Self {
        let field = dialect.rate_limit.as_ref();
        let Some(value) = field.and_then(|name| response.header(name)) else {
            return Self::Absent;
        };
        parse_rate(value).map_or(Self::Unreadable, Self::Limit)
    }
}

/// Parses a number of requests per second. A number beyond the range of [`Rate`] becomes
/// the highest rate.
fn parse_rate(value: &[u8]) -> Option<Rate> {
    const MAX: Rate = Rate::from_per_mille(u64::MAX);
    let per_second: f64 = std::str::from_utf8(value).ok()?.trim().parse().ok()?;
    let is_valid = per_second.is_finite() && per_second >= 0.0;
    is_valid.then(|| Rate::from_f64(per_second.abs()).unwrap_or(MAX))
}
