//! Events and actions of `Fleet`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use celeryshore_model::Digest;
use celeryshore_model::Index;
use celeryshore_model::Snapshot;
use celeryshore_model::Time;
use celeryshore_model::Version;
use celeryshore_model::VmName;
use celeryshore_model::ZoneName;
use derive_more::Display;
use derive_more::From;

use super::message::Datagram;
use super::prepare::Prepare;
use super::prepare::Prepared;
use super::pull::PullReply;
use super::pull::PullRequest;
use crate::MemberState;

/// Identifier of a pull that this node sent, assigned by
/// [`Fleet`](crate::Fleet).
#[derive(Clone, Copy, Debug, Default, Display, From, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PullId(pub u64);

/// Identifier of a pull that a peer sent to this node, assigned by the driver.
#[derive(Clone, Copy, Debug, Default, Display, From, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct InboundPullId(pub u64);

/// Identifier of a call to the platform, assigned by [`Fleet`](crate::Fleet).
#[derive(Clone, Copy, Debug, Default, Display, From, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReadId(pub u64);

/// Input of [`Fleet`](crate::Fleet).
#[derive(Clone, Debug)]
pub enum FleetEvent {
    /// A datagram arrived.
    Received {
        /// Address of the sender.
        from: SocketAddr,
        /// The datagram.
        datagram: Box<Datagram>,
    },
    /// A peer requested a newer configuration.
    PullReceived {
        /// Identifier of the pull.
        inbound: InboundPullId,
        /// The request.
        request: PullRequest,
    },
    /// A peer replied to a pull.
    Pulled {
        /// Identifier of the pull.
        pull: PullId,
        /// The reply.
        reply: PullReply,
    },
    /// A pull failed before its reply was complete.
    PullFailed {
        /// Identifier of the pull.
        pull: PullId,
    },
    /// The platform responded to a read.
    Read {
        /// Identifier of the read.
        read: ReadId,
        /// The response.
        answer: ReadAnswer,
    },
    /// A read of the platform failed.
    ReadFailed {
        /// Identifier of the read.
        read: ReadId,
        /// Reason of the failure.
        failure: ReadFailure,
    },
    /// A preparation finished.
    Prepared(Box<Prepared>),
    /// A peer routed a request under a newer version than this node has.
    CatchUp {
        /// Version of the request.
        version: Version,
        /// VM of the peer that has the version.
        from: VmName,
    },
    /// The time requested by [`FleetAction::WakeAt`] was reached.
    Tick,
    /// This node must leave the fleet.
    Drain,
}

/// Output of [`Fleet`](crate::Fleet), executed by the driver.
#[derive(Clone, Debug)]
pub enum FleetAction {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// The datagram.
        datagram: Box<Datagram>,
    },
    /// Request a newer configuration from a peer.
    Pull {
        /// Identifier of the pull.
        pull: PullId,
        /// Address on which the peer serves its configuration.
        control: SocketAddr,
        /// The request.
        request: PullRequest,
        /// Time at which the driver gives up.
        deadline: Time,
    },
    /// Reply to a peer's pull.
    PullReply {
        /// Identifier of the pull.
        inbound: InboundPullId,
        /// The reply.
        reply: PullReply,
    },
    /// Read from the platform.
    Read {
        /// Identifier of the read.
        read: ReadId,
        /// What is read.
        query: ReadQuery,
        /// Time at which the driver gives up.
        deadline: Time,
    },
    /// Cancel a read.
    AbandonRead {
        /// Identifier of the read.
        read: ReadId,
    },
    /// Run a preparation outside the state machine and report its result with
    /// [`FleetEvent::Prepared`].
    Prepare(Box<Prepare>),
    /// A new configuration took effect.
    Configured(Arc<Snapshot>),
    /// The state of a member changed.
    Member {
        /// VM of the member.
        vm: VmName,
        /// New state from the point of view of this node.
        state: MemberState,
    },
    /// Occurrence that is logged for operators.
    Report(Report),
    /// Send [`FleetEvent::Tick`] at this time.
    WakeAt(Time),
}

/// Query to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadQuery {
    /// The rules key. The platform responds once its index differs from `index`
    /// or the wait is over.
    Rules {
        /// Last known index. If absent, the platform responds immediately.
        index: Option<Index>,
        /// Maximum time for which the platform may delay its response.
        wait: Duration,
    },
    /// A part of the rules.
    Part {
        /// Key of the part, as named by the manifest.
        key: String,
    },
    /// The list of VMs.
    Vms,
}

/// Response of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadAnswer {
    /// A value of the key-value store.
    Value {
        /// Index of the response.
        index: Index,
        /// The value.
        value: Bytes,
    },
    /// VMs that the list of VMs marks as leaving.
    Leaving(Vec<VmName>),
}

/// Reason why a read failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum ReadFailure {
    /// The connection failed or broke.
    #[display("unreachable")]
    Unreachable,
    /// No response arrived in time.
    #[display("timeout")]
    Timeout,
    /// The platform responded with an error status, or the key does not exist.
    #[display("status")]
    Status,
    /// The response is truncated, too long or has no index.
    #[display("malformed")]
    Malformed,
}

/// Occurrence that is logged for operators.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Report {
    /// A rules text failed validation and was refused as a whole.
    #[display("refused rules text {digest:?}: {error}")]
    Refused {
        /// Digest of the rules text.
        digest: Digest,
        /// Reason of the refusal.
        error: celeryshore_rules::Error,
    },
    /// The platform responded with an older version than the one in effect.
    #[display("platform answered with older index {index}")]
    StaleSource {
        /// Index of the response.
        index: Index,
    },
    /// The process was frozen. It polls its peers before it counts as fresh
    /// again.
    #[display("clock jumped by {} ms", jump.as_millis())]
    Frozen {
        /// Length of the clock jump.
        jump: Duration,
    },
    /// The node entered the fresh stage.
    #[display("view is fresh again")]
    Fresh,
    /// Most members of a zone failed at the same time.
    #[display("zone {zone} lost")]
    ZoneLost {
        /// Affected zone.
        zone: ZoneName,
    },
    /// A lost zone answers again.
    #[display("zone {zone} healed")]
    ZoneRecovered {
        /// Affected zone.
        zone: ZoneName,
    },
    /// This node became a reader of its zone (`true`) or stopped being one.
    #[display("reader: {_0}")]
    Reader(bool),
    /// A received configuration did not match its version or digest.
    #[display("pulled configuration failed its proof")]
    VerificationFailed,
}
