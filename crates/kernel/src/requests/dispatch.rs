//! Dispatch of events to the forwarding and admitting roles of a node.

use crate::PeerReply;
use crate::PeerRequest;
use crate::requests::RequestEvent;
use crate::requests::admission::Admitting;
use crate::requests::context::Context;
use crate::requests::context::Loopback;
use crate::requests::context::Origin;
use crate::requests::forwarding::Forwarder;

/// The two roles of a node.
#[derive(Debug)]
pub(super) struct Dispatcher {
    /// Forwards callers' requests to upstreams.
    pub(super) forwarder: Forwarder,
    /// Admits requests to this node's local target.
    pub(super) admitting: Admitting,
}

impl Dispatcher {
    /// Passes an event to its role, and delivers the loopback messages that result.
    pub(super) fn handle(&mut self, cx: &mut Context<'_>, event: RequestEvent) {
        self.step(cx, event);
        self.deliver_all(cx);
        self.admitting.summarize(cx);
    }

    fn deliver_all(&mut self, cx: &mut Context<'_>) {
        while let Some(message) = cx.loopback.pop_front() {
            self.deliver(cx, message);
        }
    }

    fn step(&mut self, cx: &mut Context<'_>, event: RequestEvent) {
        match event {
            RequestEvent::Arrived { call, request } => {
                self.forwarder.handle_request(cx, call, request);
            }
            RequestEvent::Cancelled { call } => self.forwarder.handle_cancellation(cx, call),
            RequestEvent::Received { inbound, request } => {
                self.receive(cx, inbound.into(), request);
            }
            RequestEvent::Withdrawn { inbound } => self.admitting.withdrawn(cx, inbound.into()),
            RequestEvent::Replied { exchange, reply } => {
                self.deliver(cx, Loopback::Reply(exchange, reply));
            }
            RequestEvent::ExchangeFailed { exchange, progress } => {
                if !self
                    .forwarder
                    .handle_exchange_failure(cx, exchange, progress)
                {
                    self.admitting.inquiry_failed(cx, exchange);
                }
            }
            RequestEvent::Finished { work, outcome } => {
                self.admitting.finished(cx, work, outcome);
            }
            RequestEvent::Configured(_) => self.admitting.configured(cx),
            RequestEvent::Tick => {
                self.admitting.expire(cx);
                self.admitting.examine(cx);
                self.deliver_all(cx);
                self.forwarder.expire(cx);
            }
            RequestEvent::PhaseReported { claimed } => self.admitting.probed(cx, claimed),
            RequestEvent::ColdStartReported { cold_for } => self.admitting.told_cold(cx, cold_for),
            RequestEvent::HealthChecked { health } => self.admitting.examined(cx, health),
            RequestEvent::Member { vm, state } => {
                self.forwarder.handle_member_state(cx, &vm, state);
                self.admitting.observed(cx, &vm, state);
            }
            RequestEvent::Drain => {}
        }
    }

    fn receive(&mut self, cx: &mut Context<'_>, origin: Origin, request: PeerRequest) {
        match request {
            PeerRequest::Handover(handover) => self.admitting.received(cx, origin, handover),
            PeerRequest::Inquiry(inquiry) => self.admitting.inquired(cx, origin, inquiry),
        }
    }

    fn deliver(&mut self, cx: &mut Context<'_>, message: Loopback) {
        match message {
            Loopback::Request(exchange, request) => self.receive(cx, exchange.into(), request),
            Loopback::Closed(exchange) => self.admitting.withdrawn(cx, exchange.into()),
            Loopback::Reply(exchange, PeerReply::Reply(reply)) => {
                self.forwarder.handle_reply(cx, exchange, *reply);
            }
            Loopback::Reply(exchange, PeerReply::Vote(vote)) => {
                self.admitting.voted(cx, exchange, *vote);
            }
        }
    }
}
