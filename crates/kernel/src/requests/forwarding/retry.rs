//! Retries after a request to an upstream was refused, lost or left unknown.

use std::time::Duration;

use super::Forwarder;
use super::RETRY_AFTER;
use super::call::Call;
use super::call::UpstreamRequest;
use super::poison;
use crate::MemberState;
use crate::NotRun;
use crate::RequestStep;
use crate::Unknown;
use crate::requests::Answer;
use crate::requests::CallId;
use crate::requests::Progress;
use crate::requests::context::Context;
use crate::requests::context::ReadContext;

/// Number of nodes of a small service that may refuse a request for load before the caller
/// gets the refusal.
const MIN_REFUSALS: usize = 4;
/// Number of nodes of any service that may refuse a request for load.
const MAX_REFUSALS: usize = 12;
/// Divisor of a service's upstreams: the number of nodes that may refuse a request for
/// load while it can still start in time at another one.
const REFUSALS_DIVISOR: usize = 8;

impl Forwarder {
    /// Handles a refusal: forwards the call to another upstream if its limits and the
    /// retry budget allow it, or answers the caller.
    pub(super) fn handle_refusal(
        &mut self,
        cx: &mut Context<'_>,
        id: CallId,
        call: Call,
        req: &UpstreamRequest,
        refusal: (NotRun, Duration),
    ) {
        let (reason, retry_after) = refusal;
        let upstream = req.upstream.clone();
        call.report(cx, RequestStep::Refused { upstream, reason });
        let Some(mut call) = self.resume_stalled(id, call) else {
            return;
        };
        if call.is_refusal_conclusive() && excludes_earlier_run(reason) {
            call.unknown_reason = None;
        }
        let answer = refusal_answer(&call, reason, retry_after);
        if is_misrouted(reason) {
            call.attempts -= 1;
            self.forward(cx, id, call, answer);
        } else if cx.view.cfg().terms.retry.exempts_node_refusals && is_at_capacity(reason) {
            call.attempts -= 1;
            call.refusals += 1;
            if may_ask_others(cx.read(), &call, call.refusals) {
                self.forward(cx, id, call, answer);
            } else {
                let answer = self.jitter_retry_after(answer);
                self.answer(cx, id, answer);
            }
        } else if is_final(reason) || !self.may_retry_refused(cx, &call, reason) {
            self.answer(cx, id, answer);
        } else {
            self.forward(cx, id, call, answer);
        }
    }

    /// Handles a broken exchange. The call is repeated if it was never sent, or if the
    /// next node can check whether its key has run.
    pub(super) fn handle_failure(
        &mut self,
        cx: &mut Context<'_>,
        id: CallId,
        call: Call,
        req: &UpstreamRequest,
        progress: Progress,
    ) {
        let Some(mut call) = self.resume_stalled(id, call) else {
            return;
        };
        if progress == Progress::NeverSent {
            let upstream = req.upstream.clone();
            call.report(cx, RequestStep::NeverSent { upstream });
            call.attempts -= 1;
            let answer = refusal_answer(&call, NotRun::NoUpstream, RETRY_AFTER);
            self.forward(cx, id, call, answer);
        } else if call.key().is_some() {
            self.resend_key(cx, id, call, req);
        } else {
            self.handle_unknown(cx, id, call, req, Unknown::PeerLost);
        }
    }

    /// Handles a request that may have run. Only idempotent kinds are retried.
    pub(super) fn handle_unknown(
        &mut self,
        cx: &mut Context<'_>,
        id: CallId,
        call: Call,
        req: &UpstreamRequest,
        reason: Unknown,
    ) {
        let Some(mut call) = self.resume_stalled(id, call) else {
            return;
        };
        let upstream = req.upstream.clone();
        call.report(cx, RequestStep::Unknown { upstream, reason });
        call.unknown_reason = Some(reason);
        if matches!(reason, Unknown::TargetLost | Unknown::PeerLost) {
            poison::record_loss(cx, &mut call, req, reason);
        }
        let answer = unknown_answer(reason);
        let is_repeatable = call.is_idempotent(cx.read())
            && reason != Unknown::Deadline
            && !poison::is_poison(&call);
        if is_repeatable && self.may_retry(cx, &call) {
            self.forward(cx, id, call, answer);
        } else {
            self.answer(cx, id, answer);
        }
    }

    /// Forwards a keyed call as a resend to the next upstream, which checks for
    /// duplicates.
    ///
    /// The check needs the node that was lost, so the call ends at once if that node
    /// is dead.
    fn resend_key(
        &mut self,
        cx: &mut Context<'_>,
        id: CallId,
        mut call: Call,
        req: &UpstreamRequest,
    ) {
        call.unknown_reason = Some(Unknown::PeerLost);
        call.mark_resend();
        let answer = unknown_answer(Unknown::PeerLost);
        let is_dead = cx.view.member(&req.vm) == MemberState::Dead;
        if is_dead || call.attempts >= call.max_attempts {
            self.answer(cx, id, answer);
        } else {
            self.forward(cx, id, call, answer);
        }
    }

    /// Returns `true` if a call may be retried, and takes the retry from the budget.
    ///
    /// In a chain of calls only the first node retries, since retries at every level
    /// would multiply.
    pub(super) fn may_retry(&mut self, cx: &Context<'_>, call: &Call) -> bool {
        call.depth.get() == 0 && has_attempts_left(cx, call) && self.budget(cx, call).withdraw()
    }
}

/// Returns `true` if a call has attempts and time left.
pub(super) fn has_attempts_left(cx: &Context<'_>, call: &Call) -> bool {
    call.attempts < call.max_attempts && cx.now.mono < call.deadline
}

/// Returns `true` if another node may be asked after `refusals` refused a call for load.
///
/// Load pattern: many targets with few slots. The more there are, the less a node knows
/// about each, and the more of them it has to ask for a free slot. In a small service, a
/// few refusals show that the others are full as well. Once the request can no longer
/// start in time, a refusal serves the caller better.
pub(super) fn may_ask_others(cx: ReadContext<'_>, call: &Call, refusals: usize) -> bool {
    let service = cx.view.service(&call.kind.service);
    let upstreams = service.map_or(0, |service| service.upstreams.len());
    let limit = (upstreams / REFUSALS_DIVISOR).clamp(MIN_REFUSALS, MAX_REFUSALS);
    refusals < MIN_REFUSALS || refusals < limit && call.can_start_in_time(cx.now.mono)
}

/// Returns the answer to a refused call. It is "unknown" if the call may have run
/// earlier.
pub(super) fn refusal_answer(call: &Call, reason: NotRun, retry_after: Duration) -> Answer {
    match call.unknown_reason {
        Some(reason) => unknown_answer(reason),
        None => Answer::NotRun {
            reason,
            retry_after,
        },
    }
}

/// Returns the answer to a call that may have run.
pub(super) const fn unknown_answer(reason: Unknown) -> Answer {
    Answer::Unknown {
        reason,
        retry_after: RETRY_AFTER,
    }
}

/// Returns `true` if the admitting node gives this refusal only after it has
/// established that the key has run nowhere.
const fn excludes_earlier_run(reason: NotRun) -> bool {
    matches!(
        reason,
        NotRun::Overloaded
            | NotRun::RateLimited
            | NotRun::ColdStart
            | NotRun::TargetDown
            | NotRun::Shed
            | NotRun::Deadline
            | NotRun::KeyReused
    )
}

/// Returns `true` if a refusal means that the request went to the wrong node.
///
/// Such a refusal costs the target nothing, so the next attempt doesn't count
/// against the retry budget. The number of upstreams limits these attempts.
const fn is_misrouted(reason: NotRun) -> bool {
    matches!(
        reason,
        NotRun::Leaving
            | NotRun::OutOfService
            | NotRun::NotHere
            | NotRun::Behind
            | NotRun::Learning
    )
}

/// Returns `true` if a node refused a request because its target has no capacity
/// left.
const fn is_at_capacity(reason: NotRun) -> bool {
    matches!(
        reason,
        NotRun::Overloaded | NotRun::RateLimited | NotRun::ColdStart | NotRun::TargetDown
    )
}

/// Returns `true` if other upstreams would refuse the request as well.
const fn is_final(reason: NotRun) -> bool {
    matches!(
        reason,
        NotRun::Deadline
            | NotRun::Cancelled
            | NotRun::Poison
            | NotRun::KeyReused
            | NotRun::TooLarge
            | NotRun::TooDeep
    )
}
