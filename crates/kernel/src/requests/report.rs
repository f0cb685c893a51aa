//! What the log tells of a request that was not answered at its first try.

use std::time::Duration;

use bytes::Bytes;
use celeryshore_model::KindId;
use celeryshore_model::UpstreamName;
use celeryshore_model::Version;
use derive_more::Display;

use crate::NotRun;
use crate::Unknown;

/// A decision about a request, with what decided it.
#[derive(Clone, Debug, Display)]
#[display("{kind} {step}, {tried} tried")]
pub struct RequestReport {
    /// Number that the caller gave the request, if its dialect has one.
    pub request: Option<Bytes>,
    /// Request kind.
    pub kind: KindId,
    /// What was decided on.
    pub step: RequestStep,
    /// Upstreams that it was handed to so far.
    pub tried: usize,
    /// Time left until its deadline.
    pub remaining: Duration,
    /// Version that it was routed under.
    pub version: Version,
}

/// What happened to a request.
#[derive(Clone, Debug, Display)]
pub enum RequestStep {
    /// A node refused it.
    #[display("refused by {upstream}: {reason}")]
    Refused {
        /// Upstream that it was handed to.
        upstream: UpstreamName,
        /// Why.
        reason: NotRun,
    },
    /// It may have run.
    #[display("unknown at {upstream}: {reason}")]
    Unknown {
        /// Upstream that it was handed to.
        upstream: UpstreamName,
        /// Why.
        reason: Unknown,
    },
    /// No node could be reached with it.
    #[display("never sent to {upstream}")]
    NeverSent {
        /// Upstream that it was to be handed to.
        upstream: UpstreamName,
    },
    /// There is no further upstream for it.
    #[display("no upstream left")]
    NoUpstream,
    /// Its deadline passed.
    #[display("deadline passed")]
    Deadline,
}
