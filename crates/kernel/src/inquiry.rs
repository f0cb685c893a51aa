//! Messages of the duplicate check for a keyed request: an inquiry to each node
//! that may have run the key, and its vote.

use std::time::Duration;

use celeryshore_model::Attempt;
use celeryshore_model::Digest;
use celeryshore_model::HttpResponse;
use celeryshore_model::Incarnation;
use celeryshore_model::KindId;
use celeryshore_model::RequestKey;
use celeryshore_model::Version;
use celeryshore_model::VmName;
use derive_more::Display;
use serde::Serialize;

/// Precedence of a copy of a keyed request over the other copies of its key.
///
/// Fences are ordered by attempt, then sequence, then inquiring node (`judge`). Only the
/// copy with the highest fence may run.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[display("{attempt}@{judge}#{sequence}")]
pub struct Fence {
    /// Attempt number of the copy: how often the caller has sent the key.
    pub attempt: Attempt,
    /// Number of the duplicate check at the inquiring node.
    pub sequence: u64,
    /// VM of the inquiring node.
    pub judge: VmName,
}

/// Inquiry whether a key may have run at the receiver, the witness.
///
/// The inquiry also sets a fence at the witness, so that no copy with a lower
/// fence can run there afterwards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Inquiry {
    /// VM of the inquiring node.
    pub from: VmName,
    /// Version of the configuration that the list of witnesses was taken from.
    pub version: Version,
    /// Kind of the request.
    pub kind: KindId,
    /// Idempotency key of the request.
    pub key: RequestKey,
    /// Digest of the request, which detects reuse of the key for another request.
    pub fingerprint: Digest,
    /// Fence that the witness sets if it has not seen the key.
    pub fence: Fence,
    /// Time left until the caller's deadline.
    pub remaining: Duration,
}

/// Reply of a witness to an inquiry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vote {
    /// What the witness knows about the key.
    pub seen: Seen,
    /// Version in effect at the witness.
    pub version: Version,
    /// Incarnation of the witness's process.
    pub incarnation: Incarnation,
}

/// What a witness knows about a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    /// The witness has not seen the key and has set the fence.
    Fenced,
    /// The witness has a higher fence for the key.
    Outranked(Fence),
    /// The request has run to completion; carries the response if it is still stored.
    Done(Option<HttpResponse>),
    /// The request may have run, and its outcome can no longer be determined.
    Lost,
    /// The witness has seen the key with another request.
    OtherRequest,
    /// The witness cannot tell, because its process started after the key was created
    /// or because it has no room for a fence.
    TooYoung,
    /// The inquiring node or the witness has an older list of upstreams than another
    /// inquiring node.
    Behind,
}
