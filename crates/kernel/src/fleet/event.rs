//! Events and actions of the decisions about membership and configuration.

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

/// A pull that this node sent; numbered by the decisions.
#[derive(Clone, Copy, Debug, Default, Display, From, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PullId(pub u64);

/// A pull that a peer sent to this node; numbered by the driver.
#[derive(Clone, Copy, Debug, Default, Display, From, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct InboundPullId(pub u64);

/// A call on the platform; numbered by the decisions.
#[derive(Clone, Copy, Debug, Default, Display, From, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReadId(pub u64);

/// What can happen to the decisions about membership and configuration.
#[derive(Clone, Debug)]
pub enum FleetEvent {
    /// A datagram arrived.
    Received {
        /// Where it came from.
        from: SocketAddr,
        /// The datagram.
        datagram: Box<Datagram>,
    },
    /// A peer asks for a newer configuration.
    PullReceived {
        /// Number of the pull at this node.
        inbound: InboundPullId,
        /// The request.
        request: PullRequest,
    },
    /// A peer replied to a pull.
    Pulled {
        /// Number of the pull.
        pull: PullId,
        /// The reply.
        reply: PullReply,
    },
    /// A pull broke before its whole reply came.
    PullFailed {
        /// Number of the pull.
        pull: PullId,
    },
    /// The platform answered a read.
    Read {
        /// Number of the read.
        read: ReadId,
        /// The answer.
        answer: ReadAnswer,
    },
    /// A read of the platform failed.
    ReadFailed {
        /// Number of the read.
        read: ReadId,
        /// Why it failed.
        failure: ReadFailure,
    },
    /// A preparation is done.
    Prepared(Box<Prepared>),
    /// A peer routed a request under a newer version.
    CatchUp {
        /// The version that is needed.
        version: Version,
        /// The peer that has it.
        from: VmName,
    },
    /// The time that was asked for has come.
    Tick,
    /// This node is to leave.
    Drain,
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum FleetAction {
    /// Send a datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The datagram.
        datagram: Box<Datagram>,
    },
    /// Ask a peer for a newer configuration.
    Pull {
        /// Number of the pull.
        pull: PullId,
        /// Where the peer serves its configuration.
        control: SocketAddr,
        /// The request.
        request: PullRequest,
        /// When to give up.
        deadline: Time,
    },
    /// Reply to a peer's pull.
    PullReply {
        /// Number of the pull at this node.
        inbound: InboundPullId,
        /// The reply.
        reply: PullReply,
    },
    /// Read from the platform.
    Read {
        /// Number of the read.
        read: ReadId,
        /// What to read.
        query: ReadQuery,
        /// When to give up.
        deadline: Time,
    },
    /// Give up a read.
    AbandonRead {
        /// Number of the read.
        read: ReadId,
    },
    /// Run a preparation, away from the decisions, and report its result.
    Prepare(Box<Prepare>),
    /// A configuration came into force.
    Configured(Arc<Snapshot>),
    /// A member changed its state.
    Member {
        /// VM of the member.
        vm: VmName,
        /// Its state, as this node sees it.
        state: MemberState,
    },
    /// Something that operators may want to know.
    Report(Report),
    /// Send [`FleetEvent::Tick`] at this time.
    WakeAt(Time),
}

/// What to read from the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadQuery {
    /// The rules key, once another index than this one is known or the wait is over.
    Rules {
        /// Index that is known; absent to be answered at once.
        index: Option<Index>,
        /// How long the platform may wait.
        wait: Duration,
    },
    /// A part of the rules, by the key that the manifest names.
    Part {
        /// Key of the part.
        key: String,
    },
    /// The list of VMs.
    Vms,
}

/// Answer of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadAnswer {
    /// A value of the key-value store.
    Value {
        /// Index of the answer.
        index: Index,
        /// The value.
        value: Bytes,
    },
    /// VMs that the list marks as leaving.
    Leaving(Vec<VmName>),
}

/// Why a read failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum ReadFailure {
    /// No connection, or it broke.
    #[display("unreachable")]
    Unreachable,
    /// No answer in time.
    #[display("timeout")]
    Timeout,
    /// An error status, or no such key.
    #[display("status")]
    Status,
    /// An answer that is torn, over-long or without an index.
    #[display("malformed")]
    Malformed,
}

/// Something that operators may want to know.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Report {
    /// A version was refused whole.
    #[display("refused text {digest:?}: {error}")]
    Refused {
        /// Digest of the text.
        digest: Digest,
        /// Why it was refused.
        error: celeryshore_rules::Error,
    },
    /// The platform answered with something older than what is in force.
    #[display("platform answered with older index {index}")]
    StaleSource {
        /// Index of the answer.
        index: Index,
    },
    /// The process was frozen; it asks its peers before it goes on as fresh.
    #[display("clock jumped by {} ms", jump.as_millis())]
    Frozen {
        /// Length of the jump.
        jump: Duration,
    },
    /// The process goes on as fresh.
    #[display("view is fresh again")]
    Fresh,
    /// Most members of a zone were lost at once.
    #[display("zone {zone} lost")]
    ZoneLost {
        /// The zone.
        zone: ZoneName,
    },
    /// A lost zone answers again.
    #[display("zone {zone} healed")]
    ZoneRecovered {
        /// The zone.
        zone: ZoneName,
    },
    /// This node began or stopped reading the platform.
    #[display("reader: {_0}")]
    Reader(bool),
    /// Another node's configuration did not prove equal to its digest.
    #[display("pulled configuration failed its proof")]
    VerificationFailed,
}
