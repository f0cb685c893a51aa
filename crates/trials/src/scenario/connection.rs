//! Connections between nodes that wait for a reply.

use std::collections::BTreeMap;

use celeryshore_kernel::Event;
use celeryshore_kernel::ExchangeId;
use celeryshore_kernel::FleetEvent;
use celeryshore_kernel::InboundId;
use celeryshore_kernel::InboundPullId;
use celeryshore_kernel::Progress;
use celeryshore_kernel::PullId;
use celeryshore_kernel::RequestEvent;
use celeryshore_model::Time;

use super::event_queue::Life;

/// Number of a connection; also its number at the node that it leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LinkId(pub(super) u64);

/// What a connection is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    Exchange(ExchangeId),
    Pull(PullId),
}

/// A connection that waits for a reply.
#[derive(Clone, Copy, Debug)]
pub(super) struct Link {
    pub(super) from: Life,
    pub(super) to: usize,
    pub(super) purpose: Purpose,
    /// When the request reaches the other end.
    pub(super) arrival: Time,
}

impl Link {
    /// Returns the event at the near end when the connection breaks.
    pub(super) fn failure(&self, progress: Progress) -> Event {
        match self.purpose {
            Purpose::Exchange(exchange) => {
                RequestEvent::ExchangeFailed { exchange, progress }.into()
            }
            Purpose::Pull(pull) => FleetEvent::PullFailed { pull }.into(),
        }
    }

    /// Returns the event at the far end when the connection is closed.
    pub(super) fn withdrawal(&self, id: LinkId) -> Option<Event> {
        match self.purpose {
            Purpose::Exchange(_) => {
                let inbound = InboundId(id.0);
                Some(RequestEvent::Withdrawn { inbound }.into())
            }
            Purpose::Pull(_) => None,
        }
    }
}

/// All connections that wait for a reply.
#[derive(Debug, Default)]
pub(super) struct Links {
    open: BTreeMap<LinkId, Link>,
    latest: u64,
}

impl Links {
    /// Opens a connection.
    pub(super) fn open(&mut self, link: Link) -> LinkId {
        self.latest += 1;
        let id = LinkId(self.latest);
        self.open.insert(id, link);
        id
    }

    /// Closes a connection.
    pub(super) fn close(&mut self, id: LinkId) -> Option<Link> {
        self.open.remove(&id)
    }

    /// Returns a connection.
    pub(super) fn get(&self, id: LinkId) -> Option<&Link> {
        self.open.get(&id)
    }

    /// Finds the connection of an exchange.
    pub(super) fn find(&self, from: Life, purpose: Purpose) -> Option<LinkId> {
        let mut open = self.open.iter();
        let found = open.find(|(_, link)| link.from == from && link.purpose == purpose);
        found.map(|(id, _)| *id)
    }

    /// Returns the connections of a node.
    pub(super) fn of(&self, node: usize) -> Vec<LinkId> {
        let open = self.open.iter();
        let of_node = open.filter(|(_, link)| link.from.node == node || link.to == node);
        of_node.map(|(id, _)| *id).collect()
    }
}

impl From<InboundId> for LinkId {
    fn from(inbound: InboundId) -> Self {
        Self(inbound.0)
    }
}

impl From<InboundPullId> for LinkId {
    fn from(inbound: InboundPullId) -> Self {
        Self(inbound.0)
    }
}
