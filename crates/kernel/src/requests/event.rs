//! Events that [`Requests`](crate::Requests) handles, and the actions that result.

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
use crate::QuotaMessage;
use crate::QuotaReport;
use crate::RequestReport;
use crate::ResponseStatement;
use crate::StopStep;
use crate::TargetReport;
use crate::Unknown;
use crate::WorkSummary;

/// Number of a caller's request at the node that received it, given by the driver.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// Number of an exchange that a peer opened with this node, given by the driver.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct InboundId(pub u64);

/// Number of an exchange that this node opened with a peer, given by the state
/// machine.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ExchangeId(pub u64);

/// Number of a request that is queued or runs at the local target, given by the state
/// machine.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkId(pub u64);

/// An input of the request state machine.
#[derive(Clone, Debug)]
pub enum RequestEvent {
    /// A caller's complete request arrived.
    Arrived {
        /// Number of the call.
        call: CallId,
        /// The request.
        request: HttpRequest,
    },
    /// The caller closed its connection before it got a response.
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
    /// A peer closed an exchange before the reply.
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
    /// An exchange broke before a complete reply arrived.
    ExchangeFailed {
        /// Number of the exchange.
        exchange: ExchangeId,
        /// Whether the peer may have received the request message.
        progress: Progress,
    },
    /// A request at the target ended, with or without a response.
    Finished {
        /// Number of the request at the target.
        work: WorkId,
        /// How it ended.
        outcome: Outcome,
    },
    /// The target's health endpoint reported a phase, which may be outdated or wrong.
    PhaseReported {
        /// Phase that the target reported.
        claimed: Phase,
    },
    /// The platform reported how long the target stays in cold start.
    ColdStartReported {
        /// Time left in cold start; zero if the target is warm.
        cold_for: Duration,
    },
    /// A health check of the target ended.
    HealthChecked {
        /// Result of the check.
        health: Health,
    },
    /// A response of the target to a health check stated something about the target.
    Stated(ResponseStatement),
    /// A configuration took effect.
    Configured(Arc<Snapshot>),
    /// A member of the fleet changed its state.
    Member {
        /// VM of the member.
        vm: VmName,
        /// New state, as this node sees it.
        state: MemberState,
    },
    /// A node sent a message about a quota.
    QuotaReceived {
        /// Address that it came from.
        from: SocketAddr,
        /// The message.
        message: QuotaMessage,
    },
    /// The time requested by [`RequestAction::WakeAt`] has passed.
    Tick,
    /// This process is to end. The node goes on serving until its callers have gone
    /// elsewhere, and then drains.
    Stop,
    /// The platform asked whether the node is ready for callers, and was told that it isn't.
    ReadinessDenied,
    /// This node has to leave the fleet. It refuses new work and finishes the work in
    /// progress.
    Drain,
}

/// Result of a health check of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The target reported that it is healthy.
    Good {
        /// Time left in cold start; zero if the target is warm.
        cold_for: Duration,
    },
    /// The target responded, but not as healthy, or accepted the connection without a
    /// complete response.
    Bad,
    /// No connection to the target could be opened.
    Unreachable,
}

/// Whether the peer may have received the first message of a failed exchange.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Progress {
    /// No byte was sent, so the peer can't have received it.
    #[display("never-sent")]
    NeverSent,
    /// Some bytes were sent, so the peer may have received it.
    #[display("maybe-sent")]
    MaybeSent,
}

/// Outcome of a request at the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target's complete response.
    Answered(HttpResponse),
    /// No connection could be opened, so the target did not receive the request.
    NeverSent,
    /// The connection broke after the request was sent, or the response was incomplete.
    Broken,
    /// The connection stayed open, but the target made no progress in time.
    Silent,
    /// The target responded, but the node has no memory to hold the response.
    Discarded,
}

/// An output of the request state machine, for the driver to execute.
#[derive(Clone, Debug)]
pub enum RequestAction {
    /// Send the final response to a caller.
    Answer {
        /// Number of the call.
        call: CallId,
        /// The response.
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
        /// Time at which to give up.
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
    /// Send a request to the local target.
    Run {
        /// Number of the request at the target.
        work: WorkId,
        /// The request.
        request: HttpRequest,
        /// Time at which to give up.
        deadline: Time,
    },
    /// Cancel a request at the local target.
    Abort {
        /// Number of the request at the target.
        work: WorkId,
    },
    /// Check the health of the local target.
    CheckHealth {
        /// Path of the health endpoint.
        path: String,
    },
    /// Fetch a newer configuration version from a peer that has it.
    CatchUp {
        /// Lowest version that is sufficient.
        version: Version,
        /// VM of a peer that has it.
        from: VmName,
    },
    /// Send a message about a quota. It may be lost.
    SendQuota {
        /// Address of the receiver.
        to: SocketAddr,
        /// The message.
        message: QuotaMessage,
    },
    /// Log that a workspace is limited by its quota.
    ReportQuota(Box<QuotaReport>),
    /// Log a decision about a request.
    Report(Box<RequestReport>),
    /// Log a step in the stop of the node.
    ReportStop(StopStep),
    /// Log that the target states something new about itself.
    ReportTarget(TargetReport),
    /// Log a summary of the recent work of one request kind at the local target.
    Summarize(Box<WorkSummary>),
    /// Send [`RequestEvent::Tick`] at this time.
    WakeAt(Time),
    /// Report that all work is finished after [`RequestEvent::Stop`] or
    /// [`RequestEvent::Drain`].
    Drained,
}

/// Final response to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The target's complete response.
    Response(HttpResponse),
    /// The request certainly did not run.
    NotRun {
        /// Reason for the refusal.
        reason: NotRun,
        /// Delay before a retry makes sense.
        retry_after: Duration,
    },
    /// The request may have run.
    Unknown {
        /// Reason why the outcome is unknown.
        reason: Unknown,
        /// Delay after which a resend may get a definite response.
        retry_after: Duration,
    },
}
