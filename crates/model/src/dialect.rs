//! Names of the header fields that callers, nodes and targets exchange about a call.

use bytes::Bytes;

/// Names of header fields, in lower case.
///
/// The default is celeryshore's own dialect. An adapter provides another one for a
/// platform whose callers and targets use other names. A field without a name is
/// neither read nor written.
///
/// # Example
///
/// ```
/// use celeryshore_model::Dialect;
///
/// let dialect = Dialect::default();
/// assert_eq!(dialect.deadline, "celeryshore-deadline-ms");
/// assert!(dialect.signature.is_none());
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dialect {
    /// Milliseconds until the caller's deadline.
    pub deadline: Bytes,
    /// Number of calls through the mesh between the first caller and this one.
    pub depth: Option<Bytes>,
    /// Outcome of a call, on responses to callers.
    pub outcome: Option<Bytes>,
    /// Why there is no response of the target, on responses to callers.
    pub reason: Option<Bytes>,
    /// Identifier of a request, which is repeated on its response.
    pub request_id: Option<Bytes>,
    /// Character that separates the identifier of a run from the rest in those of its calls.
    pub call_separator: Option<u8>,
    /// Signature that a target puts on each of its responses.
    pub signature: Option<Bytes>,
    /// Name of the intended target; any other target refuses the request.
    pub expected_target: Option<Bytes>,
    /// Service of the VM that the request comes from.
    pub caller_service: Option<Bytes>,
    /// Key of the caller's workspace, on requests of callers.
    pub key: Option<Bytes>,
    /// Name of the caller's workspace, on requests to targets.
    pub workspace: Option<Bytes>,
    /// Marks a response to a request that the target did not run.
    pub not_run: Bytes,
    /// Name of the target, on its health check responses.
    pub target_name: Option<Bytes>,
    /// Milliseconds that the target stays in cold start, on its health check responses.
    pub cold_remaining: Option<Bytes>,
    /// Requests per second that the target takes from all nodes together, on its
    /// responses for as long as it limits them.
    pub rate_limit: Option<Bytes>,
    /// Marks the responses of a target that is about to leave.
    pub leaving: Option<Bytes>,
    /// Whether a retry delay sent to callers may be a fraction of a second.
    pub allows_fractional_retry_after: bool,
}

impl Dialect {
    /// Returns the names of the fields that a node reads in responses of targets, or
    /// that it writes itself.
    ///
    /// # Example
    ///
    /// ```
    /// use celeryshore_model::Dialect;
    ///
    /// let dialect = Dialect::default();
    /// assert!(dialect.response_fields().any(|name| name == "x-not-run"));
    /// ```
    pub fn response_fields(&self) -> impl Iterator<Item = &Bytes> {
        let optional = [
            &self.outcome,
            &self.reason,
            &self.request_id,
            &self.signature,
            &self.target_name,
            &self.cold_remaining,
            &self.rate_limit,
            &self.leaving,
        ];
        optional
            .into_iter()
            .flatten()
            .chain(std::iter::once(&self.not_run))
    }
}

impl Default for Dialect {
    fn default() -> Self {
        let name = Bytes::from_static;
        Self {
            deadline: name(b"celeryshore-deadline-ms"),
            depth: Some(name(b"celeryshore-depth")),
            outcome: Some(name(b"celeryshore-outcome")),
            reason: Some(name(b"celeryshore-reason")),
            request_id: None,
            call_separator: None,
            signature: None,
            expected_target: None,
            caller_service: None,
            key: Some(name(b"celeryshore-key")),
            workspace: Some(name(b"celeryshore-workspace")),
            not_run: name(b"x-not-run"),
            target_name: None,
            cold_remaining: None,
            rate_limit: Some(name(b"x-rate-limit")),
            leaving: Some(name(b"x-leaving")),
            allows_fractional_retry_after: false,
        }
    }
}
