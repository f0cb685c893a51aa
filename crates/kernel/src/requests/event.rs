//! Events and actions of the decisions about requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use celeryshore_model::HttpRequest;
use celeryshore_model::HttpResponse;
use celeryshore_model::Snapshot;
use celeryshore_model::Time;
use celeryshore_model::Version;
use celeryshore_model::VmName;
use derive_more::Display;
use derive_more::From;

use crate::MemberState;
use crate::NotRun;
use crate::PeerReply;
use crate::PeerRequest;
use crate::Phase;
use crate::RequestReport;
use crate::Unknown;
use crate::WorkSummary;

/// A caller's request at the node that it came to; numbered by the driver.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// An exchange that a peer opened with this node; numbered by the driver.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct InboundId(pub u64);

/// An exchange that this node opened with a peer; numbered by the decisions.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ExchangeId(pub u64);

/// A request that runs at this node's own target; numbered by the decisions.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkId(pub u64);

/// What can happen to the decisions about requests.
#[derive(Clone, Debug)]
pub enum RequestEvent {
    /// A caller's whole request arrived.
    Arrived {
        /// Number of the call.
        call: CallId,
        /// The request.
        request: HttpRequest,
    },
    /// The caller closed its connection before the answer.
    Cancelled {
        /// Number of the call.
        call: CallId,
    },
    /// A peer opened an exchange.
    Received {
        /// Number of the exchange at this node.
        inbound: InboundId,
        /// Its first message.
        request: PeerRequest,
    },
    /// The peer closed an exchange before the reply.
    Withdrawn {
        /// Number of the exchange at this node.
        inbound: InboundId,
    },
    /// A peer replied.
    Replied {
        /// Number of the exchange.
        exchange: ExchangeId,
        /// The reply.
        reply: PeerReply,
    },
    /// An exchange broke before a whole reply came.
    ExchangeFailed {
        /// Number of the exchange.
        exchange: ExchangeId,
        /// How far the request message had got.
        progress: Progress,
    },
    /// The target answered, or failed to.
    Finished {
        /// Number of the work.
        work: WorkId,
        /// What happened.
        outcome: Outcome,
    },
    /// The target's own health endpoint reported; it may lag or mislead.
    PhaseReported {
        /// Phase that the target claims.
        claimed: Phase,
    },
    /// The target says, by way of the platform, for how long it stays in cold start.
    ColdStartReported {
        /// How much longer; zero if it is warm.
        cold_for: Duration,
    },
    /// The target was examined at its health endpoint.
    HealthChecked {
        /// What was found.
        health: Health,
    },
    /// A configuration came into force.
    Configured(Arc<Snapshot>),
    /// A member of the fleet changed its state.
    Member {
        /// VM of the member.
        vm: VmName,
        /// Its state, as this node sees it.
        state: MemberState,
    },
    /// The time that was asked for has come.
    Tick,
    /// This node is to leave: no new work, finish what is under way.
    Drain,
}

/// What an examination of the target showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It says that it is healthy.
    Good {
        /// How much longer it is in cold start.
        cold_for: Duration,
    },
    /// It answers, but not that it is healthy.
    Bad,
    /// It does not answer.
    Unreachable,
}

/// How far the first message of a failed exchange had got.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Progress {
    /// Not one byte was sent: the peer cannot have it.
    #[display("never-sent")]
    NeverSent,
    /// Some bytes were sent: the peer may have it.
    #[display("maybe-sent")]
    MaybeSent,
}

/// What became of a request at the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target's whole answer.
    Answered(HttpResponse),
    /// No connection could be opened: the target does not have the request.
    NeverSent,
    /// The connection broke after the request was sent, or the answer was not whole.
    Broken,
    /// No progress was made in time on a connection that stayed open.
    Silent,
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum RequestAction {
    /// Answer a caller.
    Answer {
        /// Number of the call.
        call: CallId,
        /// The answer.
        answer: Answer,
    },
    /// Open an exchange with a peer.
    Send {
        /// Number of the exchange.
        exchange: ExchangeId,
        /// VM of the peer.
        vm: VmName,
        /// Address of the peer.
        peer: SocketAddr,
        /// First message.
        request: PeerRequest,
        /// When to give up.
        deadline: Time,
    },
    /// Close an exchange without waiting for its reply.
    Abandon {
        /// Number of the exchange.
        exchange: ExchangeId,
    },
    /// Reply to a peer.
    Reply {
        /// Number of the exchange at this node.
        inbound: InboundId,
        /// The reply.
        reply: PeerReply,
    },
    /// Give a request to the target.
    Run {
        /// Number of the work.
        work: WorkId,
        /// The request.
        request: HttpRequest,
        /// When to give up.
        deadline: Time,
    },
    /// Cancel a request at the target.
    Abort {
        /// Number of the work.
        work: WorkId,
    },
    /// Examine the target at its health endpoint.
    CheckHealth {
        /// Path of the endpoint.
        path: String,
    },
    /// Learn a newer version from a peer that has it.
    CatchUp {
        /// The version that is needed.
        version: Version,
        /// The peer that has it.
        from: VmName,
    },
    /// Tell the log of a decision.
    Report(Box<RequestReport>),
    /// Tell the log what the own target was asked and did lately, of one kind.
    Summarize(Box<WorkSummary>),
    /// Send [`RequestEvent::Tick`] at this time.
    WakeAt(Time),
    /// All work is finished after [`RequestEvent::Drain`].
    Drained,
}

/// Final answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The target's whole answer.
    Response(HttpResponse),
    /// It certainly did not run.
    NotRun {
        /// Why it did not run.
        reason: NotRun,
        /// When to come back.
        retry_after: Duration,
    },
    /// It may have run.
    Unknown {
        /// Why nobody can say.
        reason: Unknown,
        /// When asking again may bring more.
        retry_after: Duration,
    },
}
