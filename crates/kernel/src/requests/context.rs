//! State that the handlers of one event share.

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
use crate::requests::link::Link;
use crate::requests::load_board::LoadBoard;
use crate::requests::quota::Quotas;
use crate::requests::suspect_requests::SuspectRequests;
use crate::requests::view::View;

/// Time, configuration and outputs while one event is handled.
#[derive(Debug)]
pub(super) struct Context<'a> {
    /// Monotonic and wall-clock time of the event.
    pub(super) now: Now,
    /// Configuration in effect and states of the other members.
    pub(super) view: &'a View,
    /// Actions for the driver, in the order in which it executes them.
    pub(super) actions: &'a mut Vec<RequestAction>,
    /// Messages from this node to itself, delivered before the event ends.
    pub(super) loopback: &'a mut VecDeque<Loopback>,
    /// Number of the latest exchange; the next one gets the number after it.
    pub(super) last_exchange: &'a mut u64,
    /// Requests that may crash their targets.
    pub(super) suspect_requests: &'a mut SuspectRequests,
    /// Quotas of workspaces.
    pub(super) quotas: &'a mut Quotas,
    /// Load of the VM's network link.
    pub(super) link: &'a mut Link,
    /// Latest load reports of targets.
    pub(super) loads: &'a mut LoadBoard,
    /// Time that the process has just lost in a freeze; zero otherwise.
    pub(super) lost_time: Duration,
}

/// Part of a [`Context`] that routing and the choice of an upstream read.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadContext<'a> {
    /// Monotonic and wall-clock time of the event.
    pub(super) now: Now,
    /// Configuration in effect and states of the other members.
    pub(super) view: &'a View,
    /// Latest load reports of targets.
    pub(super) loads: &'a LoadBoard,
}

/// Message from a node to itself, in place of an exchange over the network.
#[derive(Debug)]
pub(super) enum Loopback {
    /// First message of an exchange.
    Request(ExchangeId, PeerRequest),
    /// The forwarding role closed the exchange.
    Closed(ExchangeId),
    /// Last message of an exchange.
    Reply(ExchangeId, PeerReply),
}

/// Sender of a request to the admitting role.
#[derive(Clone, Copy, Debug, From, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Origin {
    /// An exchange that a peer opened.
    Peer(InboundId),
    /// The forwarding role of this same node.
    Local(ExchangeId),
}

impl Context<'_> {
    /// Returns the part that can't change any state.
    pub(super) const fn read(&self) -> ReadContext<'_> {
        ReadContext {
            now: self.now,
            view: self.view,
            loads: self.loads,
        }
    }

    /// Opens an exchange with the node of an upstream, which may be this node.
    pub(super) fn send(
        &mut self,
        upstream: &Upstream,
        request: PeerRequest,
        deadline: Time,
    ) -> ExchangeId {
        *self.last_exchange += 1;
        let exchange = ExchangeId(*self.last_exchange);
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
