//! Requests for a slot, and the decisions on them.

use std::time::Duration;

use celeryshore_model::KindId;
use celeryshore_model::Priority;
use celeryshore_model::VmName;

use super::rank::Rank;
use crate::NotRun;
use crate::requests::WorkId;

/// Decision on a request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Decision {
    /// A slot is free; the request starts now.
    Run,
    /// The request is queued.
    Wait {
        /// Maximum wait, if there is one, after which it is refused.
        max_wait: Option<Duration>,
        /// Whether its response will be late.
        is_late: bool,
        /// Accepted request that was sent together with this one.
        sibling: Option<WorkId>,
    },
    /// The request is refused.
    Refuse(Refusal),
}

/// Refusal of a request that certainly didn't run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Refusal {
    pub(super) reason: NotRun,
    /// Time after which the caller may retry.
    pub(super) retry_after: Duration,
}

/// Request for a slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlotRequest<'a> {
    /// Identifier of the request if it is accepted.
    pub(super) work: WorkId,
    /// Node that forwarded it.
    pub(super) from: &'a VmName,
    pub(super) kind: &'a KindId,
    /// Time left until its deadline.
    pub(super) remaining: Duration,
    /// Maximum wait after which its forwarding node prefers another upstream.
    pub(super) max_wait: Option<Duration>,
    pub(super) rank: Rank,
    /// Priority of its kind.
    pub(super) priority: Priority,
    /// Priority of the run that makes it, if it is a call.
    pub(super) caller_priority: Option<Priority>,
    /// Response time that the kind aims for.
    pub(super) target_latency: Option<Duration>,
    /// Time left until its caller's deadline when the forwarding node got it.
    pub(super) time_left: Option<Duration>,
    /// Whether it is a further call of a run that has had answers to others.
    pub(super) is_further_call: bool,
}

/// What limits the starts of a kind beside the number of slots.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlotLimits {
    /// A slot is free, but left to more urgent kinds.
    pub(super) is_held: bool,
    /// The kind is due a start within its minimum share.
    pub(super) is_due: bool,
    /// The kind gets no part of the minimum shares, because a more urgent one is served less
    /// often.
    pub(super) is_order_limited: bool,
}
