//! What a journal holds of one key.

use celeryshore_model::Digest;
use celeryshore_model::HttpResponse;
use celeryshore_model::Time;

use crate::Fence;

/// One key.
#[derive(Debug)]
pub(super) struct Entry<W> {
    /// Digest of the request that came with the key.
    pub(super) fingerprint: Digest,
    /// Where the key stands.
    pub(super) state: State<W>,
    /// When the key was last heard of.
    pub(super) touched: Time,
}

/// Where a key stands.
#[derive(Debug)]
pub(super) enum State<W> {
    /// Refused here; it may run at another node.
    Passed,
    /// A copy of at least this rank is being judged.
    Fenced(Fence),
    /// It runs; these wait for its end.
    Running(Vec<W>),
    /// It ran; the answer, if it is still held.
    Done(Option<HttpResponse>),
    /// It may have run.
    Lost,
}

/// Returns the bytes that an answer occupies.
pub(super) fn size_of(answer: &HttpResponse) -> u64 {
    let headers: usize = answer
        .headers
        .iter()
        .map(|h| h.name.len() + h.value.len())
        .sum();
    u64::try_from(headers + answer.body.len()).unwrap_or(u64::MAX)
}
