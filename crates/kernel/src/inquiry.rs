//! Messages of a judgement: may a key have run at another upstream?

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

/// Rank of a copy of a keyed request among its copies; the highest goes on.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[display("{attempt}@{judge}#{sequence}")]
pub struct Fence {
    /// How often the caller had sent the key.
    pub attempt: Attempt,
    /// Judgement number at the judging node.
    pub sequence: u64,
    /// Node that judges the copy.
    pub judge: VmName,
}

/// Question of a judging node: may the key have run at the receiver?
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Inquiry {
    /// Node that judges.
    pub from: VmName,
    /// Version under which the judge lists the witnesses.
    pub version: Version,
    /// Request kind.
    pub kind: KindId,
    /// The key.
    pub key: RequestKey,
    /// Digest of the request, to tell another request under the same key.
    pub fingerprint: Digest,
    /// Fence that the receiver is to set, if it has not seen the key.
    pub fence: Fence,
    /// Time left until the caller's deadline.
    pub remaining: Duration,
}

/// Answer of a witness to an inquiry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vote {
    /// What the witness has seen.
    pub seen: Seen,
    /// Version in force at the witness.
    pub version: Version,
    /// Life of the witness's process.
    pub incarnation: Incarnation,
}

/// What a witness has seen of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    /// Never seen, and now fenced.
    Fenced,
    /// A higher fence stands.
    Outranked(Fence),
    /// It ran to its end; the answer, if it is still held.
    Done(Option<HttpResponse>),
    /// It may have run, and nobody will know.
    Lost,
    /// The same key came with another request.
    OtherRequest,
    /// The witness is younger than the key, or has no room for a fence, and cannot say.
    TooYoung,
    /// The judge or the witness has an older list of upstreams than another judge.
    Behind,
}
