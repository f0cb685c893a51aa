//! Journal entry of one idempotency key.

use celeryshore_model::Digest;
use celeryshore_model::HttpResponse;
use celeryshore_model::Time;

use crate::Fence;

/// Journal entry of one idempotency key.
#[derive(Debug)]
pub(super) struct Entry<W> {
    /// Digest of the first request that arrived with the key.
    pub(super) fingerprint: Digest,
    pub(super) state: KeyState<W>,
    /// Time of the latest copy, inquiry or outcome.
    pub(super) last_used: Time,
}

/// State of a key on this node.
#[derive(Debug)]
pub(super) enum KeyState<W> {
    /// Refused here before it ran; it may run on another node.
    Refused,
    /// Fenced by a duplicate check; copies of a lower attempt are superseded.
    Fenced(Fence),
    /// Running, with those who wait for its outcome.
    Running(Vec<W>),
    /// Finished; contains the response if it is still stored.
    Done(Option<HttpResponse>),
    /// May have run; the outcome is unknown.
    Lost,
}

/// Returns the size of the headers and the body of a response, in bytes.
pub(super) fn response_size(response: &HttpResponse) -> u64 {
    let headers: usize = response
        .headers
        .iter()
        .map(|h| h.name.len() + h.value.len())
        .sum();
    u64::try_from(headers + response.body.len()).unwrap_or(u64::MAX)
}
