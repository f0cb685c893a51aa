//! Log entries about requests.

use std::time::Duration;

use bytes::Bytes;
use celeryshore_model::KindId;
use celeryshore_model::Rate;
use celeryshore_model::UpstreamName;
use celeryshore_model::Version;
use celeryshore_model::WorkspaceName;
use derive_more::Display;

use crate::NotRun;
use crate::Unknown;
use crate::requests::Shortfall;

/// A step in the forwarding of a request, with the data that it depends on.
#[derive(Clone, Debug, Display)]
#[display("{} {step}, {tried} tried", kind_name(kind.as_ref()))]
pub struct RequestReport {
    /// Request identifier set by the caller, if the dialect has a field for it.
    pub request: Option<Bytes>,
    /// Request kind; absent if no route matches.
    pub kind: Option<KindId>,
    /// Workspace of the caller's key, if the request has one.
    pub workspace: Option<WorkspaceName>,
    /// Step that is reported.
    pub step: RequestStep,
    /// Number of upstreams that the request was sent to so far.
    pub tried: usize,
    /// Time left until its deadline.
    pub remaining: Duration,
    /// Configuration version in effect.
    pub version: Version,
}

/// What the local target newly states about itself.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum TargetReport {
    /// The target limits the requests that it takes from all nodes together.
    #[display("states a limit of {_0}")]
    RateLimited(Rate),
    /// The target limits them no longer.
    #[display("states no limit any more")]
    LimitLifted,
    /// The limit can't be read; the one before it stays.
    #[display("states a limit that is not a finite number of at least zero")]
    UnreadableLimit,
    /// The target is about to leave.
    #[display("states that it is leaving")]
    Leaving,
    /// Another node knows a limit that the target stated before this process started.
    #[display("stated a limit of {_0}, by a peer's request")]
    LimitFromPeer(Rate),
}

fn kind_name(kind: Option<&KindId>) -> String {
    kind.map_or_else(|| "unrouted".to_owned(), ToString::to_string)
}

/// A step in the forwarding of a request.
#[derive(Clone, Debug, Display)]
pub enum RequestStep {
    /// The request was sent to an upstream.
    #[display("sent to {upstream}")]
    Sent {
        /// Upstream that the balancer chose.
        upstream: UpstreamName,
    },
    /// This node refused the request before it chose an upstream.
    #[display("refused here: {reason}")]
    RefusedHere {
        /// Why the request is not forwarded.
        reason: NotRun,
    },
    /// A node refused the request.
    #[display("refused by {upstream}: {reason}")]
    Refused {
        /// Upstream that the request was sent to.
        upstream: UpstreamName,
        /// Reason given by the upstream's node or found by this one.
        reason: NotRun,
    },
    /// The request may have run.
    #[display("unknown at {upstream}: {reason}")]
    Unknown {
        /// Upstream that the request was sent to.
        upstream: UpstreamName,
        /// Reason given by the upstream's node or found by this one.
        reason: Unknown,
    },
    /// The upstream's node could not be reached.
    #[display("never sent to {upstream}")]
    NeverSent {
        /// Upstream that the balancer chose.
        upstream: UpstreamName,
    },
    /// The request can't be answered before this process is killed. It was refused, or isn't
    /// sent to a further upstream.
    #[display("refused here: leaving, {shortfall}")]
    TooLittleTime {
        /// Time left and time needed.
        shortfall: Shortfall,
    },
    /// The process is about to be killed while the request is open.
    #[display("ended by the stop of this node")]
    Stopped,
    /// No upstream is left to try.
    #[display("no upstream left")]
    NoUpstream,
    /// The deadline passed without a response.
    #[display("deadline passed")]
    Deadline,
}
