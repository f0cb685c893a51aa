//! Messages between the handing node and the admitting node about one request.
//!
//! An exchange is one request message and one reply message on a connection of
//! its own, so a late or crossed reply cannot be taken for another's.

use std::time::Duration;

use celeryshore_model::Attempt;
use celeryshore_model::Depth;
use celeryshore_model::Digest;
use celeryshore_model::HttpRequest;
use celeryshore_model::HttpResponse;
use celeryshore_model::Incarnation;
use celeryshore_model::KindId;
use celeryshore_model::RequestKey;
use celeryshore_model::UpstreamName;
use celeryshore_model::Version;
use celeryshore_model::VmName;
use derive_more::Display;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;

use crate::Inquiry;
use crate::Vote;

/// First message of an exchange.
#[derive(Clone, Debug, From, PartialEq, Eq)]
pub enum PeerRequest {
    /// A request to run at the receiver's target.
    Handover(Box<Handover>),
    /// A question about an idempotency key, which also leaves a fence.
    Inquiry(Inquiry),
}

impl PeerRequest {
    /// Returns the version that the sender acts under.
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
    /// Reply to a hand-over.
    Reply(Box<Reply>),
    /// Reply to an inquiry.
    Vote(Box<Vote>),
}

impl PeerReply {
    /// Returns the version that the sender acts under.
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

/// A request on its way to the node that admits work to its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handover {
    /// Node that hands the request over.
    pub from: VmName,
    /// Version that the request was routed under.
    pub version: Version,
    /// Upstream that was chosen.
    pub upstream: UpstreamName,
    /// Request kind.
    pub kind: KindId,
    /// How the request is delivered, by the semantics of its kind.
    pub delivery: Delivery,
    /// Time left until the caller's deadline.
    pub remaining: Duration,
    /// Calls of the mesh between the first caller and this one.
    pub depth: Depth,
    /// Digest of method, path and body; names the request in poison counts.
    pub fingerprint: Digest,
    /// VMs whose target or node was lost while it ran this same request.
    pub crashed_vms: Vec<VmName>,
    /// Longest wait for a slot after which the request is refused, so that its
    /// node can try another upstream; absent if it may wait until its deadline.
    pub max_wait: Option<Duration>,
    /// The request itself.
    pub request: HttpRequest,
}

/// How a request is delivered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Idempotent: may be run again.
    Repeatable,
    /// At most once, without a key: one attempt only.
    Once,
    /// At most once, named by a key.
    Keyed {
        /// The caller's key.
        key: RequestKey,
        /// How often the caller has sent the key; absent if the caller does not say.
        attempt: Option<Attempt>,
    },
}

/// Reply of the admitting node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// What became of the request.
    pub outcome: ReplyOutcome,
    /// Load of the admitting node's target.
    pub load: LoadReport,
    /// Version in force at the admitting node.
    pub version: Version,
    /// Life of the admitting node's process.
    pub incarnation: Incarnation,
}

/// What became of a request that was handed over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplyOutcome {
    /// The target's whole answer.
    Answered(HttpResponse),
    /// It certainly did not run, and this copy never will.
    NotRun {
        /// Why it did not run.
        reason: NotRun,
        /// When to come back.
        retry_after: Duration,
    },
    /// It may have run.
    Unknown(Unknown),
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRun {
    /// All slots are taken and the queue is full, or its wait exceeds the deadline.
    #[display("overloaded")]
    Overloaded,
    /// The target itself refused it.
    #[display("shed")]
    Shed,
    /// The target in cold start can bear no more.
    #[display("cold-start")]
    ColdStart,
    /// The node or its target is leaving.
    #[display("leaving")]
    Leaving,
    /// Operators have taken the zone or the VM out.
    #[display("out-of-service")]
    OutOfService,
    /// The receiver's configuration is older than the one the request was routed under.
    #[display("behind")]
    Behind,
    /// The upstream or the kind does not exist in the receiver's configuration.
    #[display("not-here")]
    NotHere,
    /// The deadline passed before it could start.
    #[display("deadline")]
    Deadline,
    /// It was given up by its caller before it started.
    #[display("cancelled")]
    Cancelled,
    /// The target cannot be connected to.
    #[display("target-down")]
    TargetDown,
    /// Targets were lost while they ran this same request.
    #[display("poison")]
    Poison,
    /// The idempotency key is malformed.
    #[display("bad-key")]
    BadKey,
    /// The same key came with another request.
    #[display("key-reused")]
    KeyReused,
    /// The journal has no room for another key.
    #[display("journal-full")]
    JournalFull,
    /// No upstream of the service may take work.
    #[display("no-upstream")]
    NoUpstream,
    /// No route takes the request.
    #[display("no-route")]
    NoRoute,
    /// The node has not yet learned a configuration.
    #[display("learning")]
    Learning,
    /// The request is larger than the service allows.
    #[display("too-large")]
    TooLarge,
    /// The call lies deeper than calls may be nested.
    #[display("too-deep")]
    TooDeep,
}

/// Why nobody can say whether a request ran.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Unknown {
    /// The exchange with the admitting node broke after the request was sent.
    #[display("peer-lost")]
    PeerLost,
    /// The target's connection broke, or its answer was not whole.
    #[display("target-lost")]
    TargetLost,
    /// The deadline passed while it ran.
    #[display("deadline")]
    Deadline,
    /// A node that may have run the key cannot be asked.
    #[display("witness-unreachable")]
    WitnessUnreachable,
    /// A node that may have run the key in an earlier life does not remember.
    #[display("witness-restarted")]
    WitnessRestarted,
    /// Another copy of the key is being judged or has taken its place.
    #[display("superseded")]
    Superseded,
    /// The key is older than the time for which keys are judged.
    #[display("key-expired")]
    KeyExpired,
    /// The resend was refused before anybody judged whether an earlier copy ran.
    #[display("not-judged")]
    NotJudged,
    /// It ran, but its answer is no longer held.
    #[display("answer-gone")]
    AnswerGone,
}

/// Load of a target, as the node that admits its work sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LoadReport {
    /// Requests that run or wait.
    pub in_flight: u32,
    /// Requests that may run at one time now.
    pub limit: u32,
    /// Phase of the target.
    pub phase: Phase,
    /// Expected wait of one more request.
    pub wait: Duration,
    /// Usual time that the target takes for a request.
    pub service_time: Duration,
}

/// Phase of a target, as the node that admits its work sees it.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Nothing is known, or the target is in cold start.
    #[default]
    #[display("cold")]
    Cold,
    /// The target bears more and more.
    #[display("warming")]
    Warming,
    /// The target bears its full load.
    #[display("warm")]
    Warm,
    /// The target takes no new work.
    #[display("draining")]
    Draining,
    /// The target does not answer.
    #[display("down")]
    Down,
}
