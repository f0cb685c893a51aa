//! Rerouting of requests that make no progress or whose node is dead.

use celeryshore_model::VmName;

use super::Forwarder;
use super::call::Call;
use super::retry;
use crate::MemberState;
use crate::Unknown;
use crate::requests::CallId;
use crate::requests::context::Context;

impl Forwarder {
    /// Handles a change of a member's state. Calls that wait for a dead member are
    /// rerouted where that is safe.
    pub(in crate::requests) fn handle_member_state(
        &mut self,
        cx: &mut Context<'_>,
        vm: &VmName,
        state: MemberState,
    ) {
        if state != MemberState::Dead || *vm == cx.view.cfg().vm {
            return;
        }
        let is_waiting = |call: &Call| call.current.as_ref().is_some_and(|req| req.vm == *vm);
        let calls = self.calls.iter().filter(|(_, call)| is_waiting(call));
        let calls: Vec<_> = calls.map(|(id, _)| *id).collect();
        for id in calls {
            self.reroute(cx, id);
        }
    }

    /// Reroutes the requests whose stall timeout has passed, where that is safe.
    ///
    /// After a freeze of this process nothing is rerouted, because the replies may
    /// be waiting in its buffers.
    pub(super) fn reroute_stalled(&mut self, cx: &mut Context<'_>) {
        while let Some(id) = self.stalls.pop(cx.now.mono) {
            if cx.lost_time.is_zero() {
                self.reroute(cx, id);
            }
        }
    }

    /// Sends a stalled call to another healthy upstream, if there is one.
    ///
    /// An idempotent call keeps its stalled request as well, and the first response
    /// counts. A keyed call is resent and checked for duplicates. Any other call waits
    /// for its deadline. All reroutes take from the retry budget.
    fn reroute(&mut self, cx: &mut Context<'_>, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let has_other = self.balancer.has_healthy(cx, call);
        let is_keyed = call.key().is_some();
        let is_safe = is_keyed || call.is_idempotent();
        if call.stalled.is_some() || !has_other || !is_safe || !self.may_reroute(cx, id) {
            return;
        }
        let exchange = self.calls.get(&id).and_then(|c| c.current.as_ref());
        let Some((_, mut call, req)) = exchange.map(|r| r.exchange).and_then(|x| self.take_call(x))
        else {
            return;
        };
        if is_keyed {
            cx.abandon(req.exchange, req.is_local);
            self.balancer.record_failure(cx.now.mono, &req);
            call.mark_resend();
        } else {
            self.exchanges.insert(req.exchange, id);
            call.stalled = Some(req);
        }
        call.unknown_reason = Some(Unknown::PeerLost);
        self.forward(cx, id, call, retry::unknown_answer(Unknown::PeerLost));
    }

    /// Resumes the wait for the stalled request of a call after a later request ended
    /// without a response. Returns the call if it has no stalled request.
    pub(super) fn resume_stalled(&mut self, id: CallId, mut call: Call) -> Option<Call> {
        let Some(stalled) = call.stalled.take() else {
            return Some(call);
        };
        call.current = Some(stalled);
        self.calls.insert(id, call);
        None
    }

    fn may_reroute(&mut self, cx: &Context<'_>, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let kind = call.kind.clone();
        call.attempts < call.max_attempts
            && (call.key().is_some() || call.depth.get() == 0)
            && self.service_budget(cx, &kind.service).withdraw()
    }
}
