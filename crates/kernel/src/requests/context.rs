//! What every step of the decisions has at hand.

use std::collections::VecDeque;
use std::time::Duration;

use celeryshore_model::Now;
use celeryshore_model::Time;
use celeryshore_model::Upstream;
use derive_more::From;

use crate::PeerReply;
use crate::PeerRequest;
use crate::requests::ExchangeId;
use crate::requests::InboundId;
use crate::requests::RequestAction;
use crate::requests::suspect_requests::SuspectRequests;
use crate::requests::view::View;

/// Time, configuration and outlets of one step.
#[derive(Debug)]
pub(super) struct Context<'a> {
    /// Both clocks.
    pub(super) now: Now,
    /// Configuration and members.
    pub(super) view: &'a View,
    /// Actions for the driver.
    pub(super) actions: &'a mut Vec<RequestAction>,
    /// Messages of this node to itself.
    pub(super) loopback: &'a mut VecDeque<Loopback>,
    /// Number of the latest exchange.
    pub(super) exchanges: &'a mut u64,
    /// Requests that may crash their targets.
    pub(super) suspect_requests: &'a mut SuspectRequests,
    /// Time that the process has just lost by a freeze.
    pub(super) lost_time: Duration,
}

/// Message of a node to itself, in place of an exchange over the network.
#[derive(Debug)]
pub(super) enum Loopback {
    /// First message of an exchange.
    Request(ExchangeId, PeerRequest),
    /// The handing side closed the exchange.
    Closed(ExchangeId),
    /// Last message of an exchange.
    Reply(ExchangeId, PeerReply),
}

/// Where a request came to the admitting side from.
#[derive(Clone, Copy, Debug, From, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Origin {
    /// An exchange that a peer opened.
    Peer(InboundId),
    /// This node's own handing side.
    Local(ExchangeId),
}

impl Context<'_> {
    /// Opens an exchange with the node of an upstream, which may be this node.
    pub(super) fn send(
        &mut self,
        upstream: &Upstream,
        request: PeerRequest,
        deadline: Time,
    ) -> ExchangeId {
        *self.exchanges += 1;
        let exchange = ExchangeId(*self.exchanges);
        if upstream.vm == self.view.cfg().vm {
            self.loopback
                .push_back(Loopback::Request(exchange, request));
        } else {
            self.actions.push(RequestAction::Send {
                exchange,
                vm: upstream.vm.clone(),
                peer: upstream.peer,
                request,
                deadline,
            });
        }
        exchange
    }

    /// Closes an exchange without waiting for its reply.
    pub(super) fn abandon(&mut self, exchange: ExchangeId, is_local: bool) {
        if is_local {
            self.loopback.push_back(Loopback::Closed(exchange));
        } else {
            self.actions.push(RequestAction::Abandon { exchange });
        }
    }

    /// Sends the last message of an exchange.
    pub(super) fn reply(&mut self, origin: Origin, reply: impl Into<PeerReply>) {
        let reply = reply.into();
        match origin {
            Origin::Peer(inbound) => self.actions.push(RequestAction::Reply { inbound, reply }),
            Origin::Local(exchange) => {
                self.loopback.push_back(Loopback::Reply(exchange, reply));
            }
        }
    }
}
