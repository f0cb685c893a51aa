//! Connections between nodes on which a reply is pending.

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

use super::event_queue::ProcessId;

/// Id of a connection; the receiver knows it as its inbound id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionId(pub(super) u64);

/// Request that a connection was opened for, with its id at the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    Exchange(ExchangeId),
    Pull(PullId),
}

/// Connection on which a reply is pending.
#[derive(Clone, Copy, Debug)]
pub(super) struct Connection {
    pub(super) from: ProcessId,
    pub(super) to: usize,
    pub(super) purpose: Purpose,
    /// Time when the request reaches the receiver.
    pub(super) arrival: Time,
}

impl Connection {
    /// Returns the event that the sender gets when the connection breaks.
    pub(super) fn failure_event(&self, progress: Progress) -> Event {
        match self.purpose {
            Purpose::Exchange(exchange) => {
                RequestEvent::ExchangeFailed { exchange, progress }.into()
            }
            Purpose::Pull(pull) => FleetEvent::PullFailed { pull }.into(),
        }
    }

    /// Returns the event that the receiver gets when the sender closes the
    /// connection; pulls have none.
    pub(super) fn withdrawal_event(&self, id: ConnectionId) -> Option<Event> {
        match self.purpose {
            Purpose::Exchange(_) => {
                let inbound = InboundId(id.0);
                Some(RequestEvent::Withdrawn { inbound }.into())
            }
            Purpose::Pull(_) => None,
        }
    }
}

/// Open connections of all nodes.
#[derive(Debug, Default)]
pub(super) struct Connections {
    open: BTreeMap<ConnectionId, Connection>,
    last_id: u64,
}

impl Connections {
    /// Adds a connection under a new id.
    pub(super) fn open(&mut self, conn: Connection) -> ConnectionId {
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        self.open.insert(id, conn);
        id
    }

    /// Removes a connection; returns `None` if it is no longer open.
    pub(super) fn close(&mut self, id: ConnectionId) -> Option<Connection> {
        self.open.remove(&id)
    }

    pub(super) fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.open.get(&id)
    }

    /// Returns the id of the connection that a process opened for a purpose.
    pub(super) fn find(&self, from: ProcessId, purpose: Purpose) -> Option<ConnectionId> {
        let mut open = self.open.iter();
        let found = open.find(|(_, conn)| conn.from == from && conn.purpose == purpose);
        found.map(|(id, _)| *id)
    }

    /// Returns the ids of all connections from or to a node.
    pub(super) fn of_node(&self, node: usize) -> Vec<ConnectionId> {
        let open = self.open.iter();
        let of_node = open.filter(|(_, conn)| conn.from.node == node || conn.to == node);
        of_node.map(|(id, _)| *id).collect()
    }
}

impl From<InboundId> for ConnectionId {
    fn from(inbound: InboundId) -> Self {
        Self(inbound.0)
    }
}

impl From<InboundPullId> for ConnectionId {
    fn from(inbound: InboundPullId) -> Self {
        Self(inbound.0)
    }
}
