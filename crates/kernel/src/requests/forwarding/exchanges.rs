//! Ends of the exchanges that carry calls.

use super::Forwarder;
use super::call::Call;
use super::call::UpstreamRequest;
use crate::requests::CallId;
use crate::requests::ExchangeId;
use crate::requests::context::Context;

impl Forwarder {
    /// Counts a missed deadline as a failure of the upstream, unless this process was
    /// frozen in the meantime and may have caused the delay itself.
    pub(super) fn record_timeout(&mut self, cx: &Context<'_>, req: &UpstreamRequest) {
        if cx.lost_time.is_zero() {
            self.balancer.record_failure(cx.now.mono, req);
        } else {
            self.balancer.record_abandoned(req);
        }
    }

    /// Removes and returns the call of an exchange that ended, with its request.
    pub(super) fn take_call(
        &mut self,
        exchange: ExchangeId,
    ) -> Option<(CallId, Call, UpstreamRequest)> {
        let id = self.exchanges.remove(&exchange)?;
        self.stalls.cancel(id);
        let mut call = self.calls.remove(&id)?;
        let is_ended = |req: &mut UpstreamRequest| req.exchange == exchange;
        if let Some(req) = call.stalled.take_if(is_ended) {
            call.stalled = call.current.take();
            return Some((id, call, req));
        }
        let req = call.current.take()?;
        Some((id, call, req))
    }

    /// Removes a call and abandons its open exchanges. Returns their requests.
    pub(super) fn end_call(&mut self, cx: &mut Context<'_>, id: CallId) -> Vec<UpstreamRequest> {
        self.deadlines.cancel(id);
        self.stalls.cancel(id);
        let call = self.calls.remove(&id);
        let pending = call.map(|call| [call.current, call.stalled]);
        let pending: Vec<_> = pending.into_iter().flatten().flatten().collect();
        for req in &pending {
            self.exchanges.remove(&req.exchange);
            cx.abandon(req.exchange, req.is_local);
        }
        pending
    }

    /// Abandons the stalled request of a call that another upstream has answered.
    pub(super) fn abandon_stalled(&mut self, cx: &mut Context<'_>, call: &mut Call) {
        if let Some(req) = call.stalled.take() {
            self.exchanges.remove(&req.exchange);
            cx.abandon(req.exchange, req.is_local);
            self.balancer.record_failure(cx.now.mono, &req);
        }
    }
}
