//! Dispatch of events to the forwarding and admitting roles of a node.

use crate::PeerReply;
use crate::PeerRequest;
use crate::requests::RequestEvent;
use crate::requests::admission::Admission;
use crate::requests::context::Context;
use crate::requests::context::Loopback;
use crate::requests::context::Origin;
use crate::requests::forwarding::Forwarder;
use crate::requests::forwarding::RequestSource;

/// The two roles of a node.
#[derive(Debug)]
pub(super) struct Dispatcher {
    /// Forwards callers' requests to upstreams.
    pub(super) forwarder: Forwarder,
    /// Admits requests to this node's local target.
    pub(super) admission: Admission,
}

impl Dispatcher {
    /// Passes an event to its role, and delivers the loopback messages that result.
    pub(super) fn handle(&mut self, cx: &mut Context<'_>, event: RequestEvent) {
        self.dispatch(cx, event);
        self.deliver_all(cx);
        self.end_stopped(cx);
        self.admission.summarize(cx);
    }

    /// Ends what can't end before a stop: queued requests that would run for too long, and
    /// at last the open calls.
    fn end_stopped(&mut self, cx: &mut Context<'_>) {
        let Some(stop_time) = cx.view.stop_time() else {
            return;
        };
        self.admission.refuse_unfinishable(cx);
        self.deliver_all(cx);
        if cx.now.mono >= stop_time.answers_at() {
            self.forwarder.end_stopped(cx);
            self.deliver_all(cx);
        }
    }

    fn deliver_all(&mut self, cx: &mut Context<'_>) {
        while let Some(message) = cx.loopback.pop_front() {
            self.deliver(cx, message);
        }
    }

    fn dispatch(&mut self, cx: &mut Context<'_>, event: RequestEvent) {
        match event {
            RequestEvent::Arrived { call, request } => {
                let dialect = &cx.view.cfg().terms.dialect;
                let source = RequestSource {
                    earlier_calls: self.admission.start_call(dialect, call, &request),
                    caller_priority: self.admission.caller_priority(dialect, &request),
                };
                self.forwarder.handle_request(cx, call, request, source);
            }
            RequestEvent::Cancelled { call } => {
                self.admission.cancel_call(call);
                self.forwarder.handle_cancellation(cx, call);
            }
            RequestEvent::Received { inbound, request } => {
                self.receive(cx, inbound.into(), request);
            }
            RequestEvent::Withdrawn { inbound } => {
                self.admission.handle_withdrawal(cx, inbound.into());
            }
            RequestEvent::Replied { exchange, reply } => {
                self.deliver(cx, Loopback::Reply(exchange, reply));
            }
            RequestEvent::ExchangeFailed { exchange, progress } => {
                if !self
                    .forwarder
                    .handle_exchange_failure(cx, exchange, progress)
                {
                    self.admission.handle_inquiry_failure(cx, exchange);
                }
            }
            RequestEvent::Finished { work, outcome } => {
                self.admission.handle_outcome(cx, work, outcome);
            }
            RequestEvent::Configured(_) => self.admission.handle_configuration(cx),
            RequestEvent::QuotaReceived { from, message } => {
                cx.quotas
                    .handle_message(cx.now.mono, from, message, cx.actions);
                self.forwarder.resume_waiting(cx);
            }
            RequestEvent::Tick => {
                cx.quotas.expire(cx.now.mono, cx.actions);
                self.admission.expire(cx);
                self.admission.check_health(cx);
                self.deliver_all(cx);
                self.forwarder.expire(cx);
            }
            RequestEvent::PhaseReported { claimed } => {
                self.admission.handle_phase_report(cx, claimed);
            }
            RequestEvent::ColdStartReported { cold_for } => {
                self.admission.handle_cold_start_report(cx, cold_for);
            }
            RequestEvent::Stated(statement) => {
                self.admission.handle_statement(cx, statement);
            }
            RequestEvent::HealthChecked { health } => {
                self.admission.handle_health_check(cx, health);
            }
            RequestEvent::Member { vm, state } => {
                self.forwarder.handle_member_state(cx, &vm, state);
                self.admission.handle_member_state(cx, &vm, state);
            }
            RequestEvent::Stop | RequestEvent::ReadinessDenied | RequestEvent::Drain => {}
        }
    }

    fn receive(&mut self, cx: &mut Context<'_>, origin: Origin, request: PeerRequest) {
        match request {
            PeerRequest::Handover(handover) => self.admission.handle_handover(cx, origin, handover),
            PeerRequest::Inquiry(inquiry) => self.admission.handle_inquiry(cx, origin, inquiry),
        }
    }

    fn deliver(&mut self, cx: &mut Context<'_>, message: Loopback) {
        match message {
            Loopback::Request(exchange, request) => self.receive(cx, exchange.into(), request),
            Loopback::Closed(exchange) => self.admission.handle_withdrawal(cx, exchange.into()),
            Loopback::Reply(exchange, PeerReply::Reply(reply)) => {
                self.forwarder.handle_reply(cx, exchange, *reply);
            }
            Loopback::Reply(exchange, PeerReply::Vote(vote)) => {
                self.admission.handle_vote(cx, exchange, *vote);
            }
        }
    }
}
