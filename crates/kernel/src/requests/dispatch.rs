//! Which side of the decisions takes an event.

use crate::PeerReply;
use crate::PeerRequest;
use crate::requests::RequestEvent;
use crate::requests::admission::Admitting;
use crate::requests::context::Context;
use crate::requests::context::Loopback;
use crate::requests::context::Origin;
use crate::requests::handing::Handing;

/// The two sides of a node.
#[derive(Debug)]
pub(super) struct Sides {
    /// Requests of callers at this node.
    pub(super) handing: Handing,
    /// Work at this node's own target.
    pub(super) admitting: Admitting,
}

impl Sides {
    /// Gives an event to the side that it is for, and what follows from it.
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
            RequestEvent::Arrived { call, request } => self.handing.arrived(cx, call, request),
            RequestEvent::Cancelled { call } => self.handing.cancelled(cx, call),
            RequestEvent::Received { inbound, request } => {
                self.receive(cx, inbound.into(), request);
            }
            RequestEvent::Withdrawn { inbound } => self.admitting.withdrawn(cx, inbound.into()),
            RequestEvent::Replied { exchange, reply } => {
                self.deliver(cx, Loopback::Reply(exchange, reply));
            }
            RequestEvent::ExchangeFailed { exchange, progress } => {
                if !self.handing.failed(cx, exchange, progress) {
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
                self.handing.expire(cx);
            }
            RequestEvent::Probed { claimed } => self.admitting.probed(cx, claimed),
            RequestEvent::Cold { cold_for } => self.admitting.told_cold(cx, cold_for),
            RequestEvent::Examined { health } => self.admitting.examined(cx, health),
            RequestEvent::Member { vm, state } => {
                self.handing.observed(cx, &vm, state);
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
                self.handing.replied(cx, exchange, *reply);
            }
            Loopback::Reply(exchange, PeerReply::Vote(vote)) => {
                self.admitting.voted(cx, exchange, *vote);
            }
        }
    }
}
