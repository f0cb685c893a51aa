//! Parsing of query parameters.

use std::time::Duration;

use http_types::Request;

use crate::Error;
use crate::Result;

/// Query parameters of a request.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use celeryshore_standins::Query;
/// use http_types::Method;
/// use http_types::Request;
///
/// let req = Request::new(Method::Get, "http://10.0.0.1/v1/kv/rules?raw&index=7&wait=30s");
/// let query = Query::from_request(&req);
/// assert_eq!(query.number("index")?, Some(7));
/// assert_eq!(query.duration("wait")?, Some(Duration::from_secs(30)));
/// assert!(query.get("raw").is_some());
/// # Ok::<(), celeryshore_standins::Error>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Query(Vec<(String, String)>);

impl Query {
    /// Parses the query string of a request.
    #[must_use]
    pub fn from_request(req: &Request) -> Self {
        Self(req.url().query_pairs().into_owned().collect())
    }

    /// Returns the first value of a parameter.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        let pair = self.0.iter().find(|(n, _)| n == name)?;
        Some(&pair.1)
    }

    /// Returns the value of a numeric parameter.
    ///
    /// # Errors
    ///
    /// Fails if the value isn't an unsigned integer.
    pub fn number(&self, name: &'static str) -> Result<Option<u64>> {
        let parse = |v: &str| v.parse().map_err(|_| invalid_parameter(name, v));
        self.get(name).map(parse).transpose()
    }

    /// Returns the value of a duration parameter, such as `30s`.
    ///
    /// # Errors
    ///
    /// Fails if the value isn't a duration.
    pub fn duration(&self, name: &'static str) -> Result<Option<Duration>> {
        let parse = |v: &str| humantime::parse_duration(v).map_err(|_| invalid_parameter(name, v));
        self.get(name).map(parse).transpose()
    }
}

fn invalid_parameter(name: &'static str, found: &str) -> Error {
    Error::Parameter {
        name,
        found: found.to_owned(),
    }
}
