//! Messages between the forwarding node and the admitting node of a request.
//!
//! An exchange consists of one request message and one reply message on its own
//! connection, so a late reply cannot be mistaken for the reply to another request.

use std::time::Duration;

use celeryshore_model::Attempt;
use celeryshore_model::Depth;
use celeryshore_model::Digest;
use celeryshore_model::HttpRequest;
use celeryshore_model::HttpResponse;
use celeryshore_model::Incarnation;
use celeryshore_model::KindId;
use celeryshore_model::Priority;
use celeryshore_model::RequestKey;
use celeryshore_model::UpstreamName;
use celeryshore_model::Version;
use celeryshore_model::VmName;
use derive_more::Display;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;

use crate::Inquiry;
use crate::KnownLoad;
use crate::LoadReport;
use crate::TargetStatement;
use crate::Vote;

/// First message of an exchange.
#[derive(Clone, Debug, From, PartialEq, Eq)]
pub enum PeerRequest {
    /// A request to run at the receiver's target.
    Handover(Box<Handover>),
    /// An inquiry about an idempotency key, which also sets a fence.
    Inquiry(Inquiry),
}

impl PeerRequest {
    /// Returns the version of the configuration in effect at the sender.
    ///
    /// # Example
    ///
    /// ```
    /// # use std::time::Duration;
    /// #
    /// # use celeryshore_kernel::Fence;
    /// # use celeryshore_kernel::Inquiry;
    /// use celeryshore_kernel::PeerRequest;
    /// # use celeryshore_model::Attempt;
    /// # use celeryshore_model::Digest;
    /// # use celeryshore_model::KindId;
    /// use celeryshore_model::Version;
    ///
    /// # let inquiry = Inquiry {
    /// #     from: "vm-1".parse()?,
    /// #     version: Version::default(),
    /// #     kind: KindId { service: "ordering".parse()?, kind: "order".parse()? },
    /// #     key: "order-17".parse()?,
    /// #     fingerprint: Digest::default(),
    /// #     fence: Fence { attempt: Attempt::new(2), sequence: 0, judge: "vm-1".parse()? },
    /// #     remaining: Duration::from_secs(1),
    /// # };
    /// let request = PeerRequest::from(inquiry);
    /// assert_eq!(request.version(), Version::default());
    /// # Ok::<(), celeryshore_model::Error>(())
    /// ```
    #[must_use]
    pub const fn version(&self) -> Version {
        match self {
            Self::Handover(handover) => handover.version,
            Self::Inquiry(inquiry) => inquiry.version,
        }
    }
}

/// Last message of an exchange.
#[derive(Clone, Debug, From, PartialEq, Eq)]
pub enum PeerReply {
    /// Reply to a forwarded request.
    Reply(Box<Reply>),
    /// Reply to an inquiry.
    Vote(Box<Vote>),
}

impl PeerReply {
    /// Returns the version of the configuration in effect at the sender.
    ///
    /// # Example
    ///
    /// ```
    /// use celeryshore_kernel::PeerReply;
    /// use celeryshore_kernel::Seen;
    /// use celeryshore_kernel::Vote;
    /// use celeryshore_model::Incarnation;
    /// use celeryshore_model::Version;
    ///
    /// let vote = Vote {
    ///     seen: Seen::Fenced,
    ///     version: Version::default(),
    ///     incarnation: Incarnation(1),
    /// };
    /// let reply = PeerReply::from(Box::new(vote));
    /// assert_eq!(reply.version(), Version::default());
    /// ```
    #[must_use]
    pub const fn version(&self) -> Version {
        match self {
            Self::Reply(reply) => reply.version,
            Self::Vote(vote) => vote.version,
        }
    }
}

/// Request that is forwarded to the admitting node of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handover {
    /// VM of the forwarding node.
    pub from: VmName,
    /// Version that the request was routed under.
    pub version: Version,
    /// Upstream that the forwarding node chose.
    pub upstream: UpstreamName,
    /// Kind of the request.
    pub kind: KindId,
    /// Delivery guarantee, from the semantics of the request kind.
    pub delivery: Delivery,
    /// Time left until the caller's deadline.
    pub remaining: Duration,
    /// Number of calls through the mesh between the first caller and this one.
    pub depth: Depth,
    /// Digest of method, path and body; identifies the request in the detection of
    /// poison requests.
    pub fingerprint: Digest,
    /// VMs whose target or node crashed while it ran a request with this fingerprint.
    pub crashed_vms: Vec<VmName>,
    /// Longest wait for a slot. The request is refused after it, so that the
    /// forwarding node can try another upstream. If absent, the request may wait
    /// until its deadline.
    pub max_wait: Option<Duration>,
    /// What the forwarding node knows of the target's own statements, if they restrict
    /// what it may be sent.
    pub statement: Option<TargetStatement>,
    /// Priority of the caller's workspace. Absent if the request has none, or if the
    /// forwarding node does not know workspaces.
    pub workspace_priority: Option<Priority>,
    /// Priority of the run that made the call. Absent if no run made it, or if the
    /// forwarding node doesn't know.
    pub caller_priority: Option<Priority>,
    /// Number of calls of the same run that were answered before this one; zero if the
    /// forwarding node doesn't know.
    pub earlier_calls: u32,
    /// The caller's HTTP request.
    pub request: HttpRequest,
}

/// Delivery guarantee of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Idempotent: the request may run more than once.
    Repeatable,
    /// At most once, without a key: only one attempt is made.
    Once,
    /// At most once, identified by an idempotency key.
    Keyed {
        /// Idempotency key from the caller.
        key: RequestKey,
        /// How often the caller has sent the key; absent if the caller does not state
        /// it.
        attempt: Option<Attempt>,
    },
}

/// Reply of the admitting node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Outcome of the request.
    pub outcome: ReplyOutcome,
    /// Load of the admitting node's target.
    pub load: LoadReport,
    /// Latest reports of other targets of the service that the admitting node knows.
    pub others: Vec<KnownLoad>,
    /// Time that the target took for this request; absent if it didn't respond.
    pub run_time: Option<Duration>,
    /// Longest run of the kind that the admitting node has seen lately at its target.
    pub longest_run: Option<Duration>,
    /// What the target last stated about itself; absent if the admitting node has no
    /// response of it yet.
    pub statement: Option<TargetStatement>,
    /// Version in effect at the admitting node.
    pub version: Version,
    /// Incarnation of the admitting node's process.
    pub incarnation: Incarnation,
}

/// Outcome of a forwarded request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplyOutcome {
    /// The target sent this complete response.
    Answered(HttpResponse),
    /// The request did not run, and this copy of it never will.
    NotRun {
        /// Why it did not run.
        reason: NotRun,
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
    /// The request may have run.
    Unknown(Unknown),
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRun {
    /// All slots are in use, and the queue is full or the wait would exceed the
    /// deadline.
    #[display("overloaded")]
    Overloaded,
    /// The rate limit that the target states leaves no room.
    #[display("rate-limited")]
    RateLimited,
    /// The target itself refused the request.
    #[display("shed")]
    Shed,
    /// The target is in cold start and at its limit.
    #[display("cold-start")]
    ColdStart,
    /// The node or its target is shutting down.
    #[display("leaving")]
    Leaving,
    /// Operators have taken the availability zone or the VM out of service.
    #[display("out-of-service")]
    OutOfService,
    /// The admitting node's configuration is older than the one that the request was
    /// routed under, or the forwarding node has no route for the request and a newer
    /// configuration may have one.
    #[display("behind")]
    Behind,
    /// The upstream or the request kind is not in the admitting node's configuration.
    #[display("not-here")]
    NotHere,
    /// The deadline passed before the request could start.
    #[display("deadline")]
    Deadline,
    /// The caller cancelled the request before it started.
    #[display("cancelled")]
    Cancelled,
    /// The connection to the target failed.
    #[display("target-down")]
    TargetDown,
    /// Targets crashed while they ran the same request.
    #[display("poison")]
    Poison,
    /// The idempotency key is malformed.
    #[display("bad-key")]
    BadKey,
    /// The idempotency key was used for another request before.
    #[display("key-reused")]
    KeyReused,
    /// The journal of idempotency keys is full.
    #[display("journal-full")]
    JournalFull,
    /// No upstream of the service accepts requests.
    #[display("no-upstream")]
    NoUpstream,
    /// No route matches the request.
    #[display("no-route")]
    NoRoute,
    /// The request has no key of a workspace.
    #[display("unknown-key")]
    UnknownKey,
    /// The quota of the workspace is used up.
    #[display("quota")]
    Quota,
    /// The node has not received a configuration yet.
    #[display("learning")]
    Learning,
    /// The request is larger than the service allows.
    #[display("too-large")]
    TooLarge,
    /// The nesting depth of the call exceeds the limit.
    #[display("too-deep")]
    TooDeep,
}

/// Why it is unknown whether a request ran.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Unknown {
    /// The exchange with the admitting node broke after the request was sent.
    #[display("peer-lost")]
    PeerLost,
    /// The connection to the target broke, or its response was incomplete.
    #[display("target-lost")]
    TargetLost,
    /// The deadline passed while the request ran.
    #[display("deadline")]
    Deadline,
    /// A node that may have run the key cannot be reached.
    #[display("witness-unreachable")]
    WitnessUnreachable,
    /// A node may have run the key in an earlier incarnation and has restarted since.
    #[display("witness-restarted")]
    WitnessRestarted,
    /// Another copy of the key takes precedence over this one.
    #[display("superseded")]
    Superseded,
    /// The key is older than the maximum age for duplicate checks.
    #[display("key-expired")]
    KeyExpired,
    /// A resend was refused before it was checked whether an earlier copy ran.
    #[display("not-judged")]
    NotJudged,
    /// The request ran, but its response is no longer stored.
    #[display("answer-gone")]
    AnswerGone,
}

/// Phase of a target, as seen by its admitting node.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The target is in cold start, or its phase is unknown.
    #[default]
    #[display("cold")]
    Cold,
    /// The target is warming up; its limit increases.
    #[display("warming")]
    Warming,
    /// The target accepts its full load.
    #[display("warm")]
    Warm,
    /// The target accepts no new requests.
    #[display("draining")]
    Draining,
    /// The target does not respond.
    #[display("down")]
    Down,
}
