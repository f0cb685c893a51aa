//! Header fields by which callers, nodes and targets tell each other about a call.

use bytes::Bytes;

/// Names of header fields, in lower case.
///
/// The default are the product's own. A platform whose callers and targets use
/// others brings a dialect of its own; a field that it leaves out is neither
/// read nor written.
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
    /// Milliseconds left until the caller gives up.
    pub deadline: Bytes,
    /// Calls of the mesh between the first caller and this one.
    pub depth: Option<Bytes>,
    /// Outcome of a call, on answers to callers.
    pub outcome: Option<Bytes>,
    /// Why there is no answer of the target, on answers to callers.
    pub reason: Option<Bytes>,
    /// Number of one request, which its answer repeats.
    pub request_id: Option<Bytes>,
    /// Mark that a target puts on each answer of its own.
    pub signature: Option<Bytes>,
    /// Name of the target that is meant; any other refuses the request.
    pub expected_target: Option<Bytes>,
    /// Service of the VM that a request comes from.
    pub caller_service: Option<Bytes>,
    /// Mark on an answer whose request the target did not run.
    pub not_run: Bytes,
    /// Name of the target, on its health answers.
    pub target_name: Option<Bytes>,
    /// Milliseconds that a target stays in cold start, on its health answers.
    pub cold_remaining: Option<Bytes>,
    /// Whether a time to come back may be a fraction of a second.
    pub allows_fractional_retry_after: bool,
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
            signature: None,
            expected_target: None,
            caller_service: None,
            not_run: name(b"x-not-run"),
            target_name: None,
            cold_remaining: None,
            allows_fractional_retry_after: false,
        }
    }
}
