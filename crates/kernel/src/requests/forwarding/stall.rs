//! Rerouting of requests that make no progress or whose node is dead.

use std::time::Duration;

use celeryshore_model::Time;
use celeryshore_model::VmName;

use super::Forwarder;
use super::call::Call;
use super::retry;
use crate::Delivery;
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
            if !cx.lost_time.is_zero() {
                continue;
            }
            match self.stalls_at(id).filter(|at| *at > cx.now.mono) {
                Some(at) => {
                    if !self.send_second(cx, id) {
                        self.stalls.set(id, at);
                    }
                }
                None => self.reroute(cx, id),
            }
        }
    }

    /// Returns the time until the first check of a call that is sent now: whether a second
    /// request would help, or else whether the call stalls.
    pub(super) fn first_stall_timeout(&self, cx: &Context<'_>, call: &Call) -> Duration {
        let remaining = call.deadline - cx.now.mono;
        let stall_timeout = self.response_times.stall_timeout(&call.kind, remaining);
        let may_send_second =
            cx.view.cfg().terms.even_load && call.delivery == Delivery::Repeatable;
        let latency = call.target_latency.filter(|_| may_send_second);
        let second = latency
            .and_then(|latency| self.response_times.second_send_timeout(&call.kind, latency));
        second.map_or(stall_timeout, |second| second.min(stall_timeout))
    }

    /// Returns when the latest request of a call counts as stalled.
    fn stalls_at(&self, id: CallId) -> Option<Time> {
        let call = self.calls.get(&id)?;
        let req = call.current.as_ref()?;
        let remaining = call.deadline - req.since;
        let stall_timeout = self.response_times.stall_timeout(&call.kind, remaining);
        Some(req.since + stall_timeout)
    }

    /// Sends a second request beside one that has outlasted what is usual for its kind, if
    /// another upstream has free capacity. Returns `false` if it was not sent.
    ///
    /// Load pattern: a few requests take many times as long, and targets become slow for
    /// part of a second. Second requests take from the spare part of the retry budget, so
    /// they end in overload.
    fn send_second(&mut self, cx: &mut Context<'_>, id: CallId) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let has_free = self
            .balancer
            .has_candidate(cx, call, |c| !c.is_unhealthy && c.has_room);
        let service = call.kind.service.clone();
        let is_allowed = call.stalled.is_none()
            && call.is_idempotent(cx.read())
            && call.depth.get() == 0
            && call.attempts < call.max_attempts
            && has_free
            && self.shortfall(cx, call).is_none()
            && self.service_budget(cx, &service).withdraw_spare();
        if is_allowed {
            self.resend(cx, id);
        }
        is_allowed
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
        let has_time = self.shortfall(cx, call).is_none();
        let is_safe = is_keyed || call.is_idempotent(cx.read());
        let is_possible = call.stalled.is_none() && has_other && is_safe && has_time;
        if !is_possible || !self.may_reroute(cx, id) {
            return;
        }
        self.resend(cx, id);
    }

    /// Sends a call to another upstream. An idempotent call keeps its present request.
    fn resend(&mut self, cx: &mut Context<'_>, id: CallId) {
        let exchange = self.calls.get(&id).and_then(|c| c.current.as_ref());
        let Some((_, mut call, req)) = exchange.map(|r| r.exchange).and_then(|x| self.take_call(x))
        else {
            return;
        };
        if call.key().is_some() {
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
