//! Queue of the events of a simulation, in the order of virtual time.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use celeryshore_kernel::Event;
use celeryshore_kernel::WorkId;
use celeryshore_model::Incarnation;
use celeryshore_model::Time;

use super::connection::ConnectionId;
use super::script::Load;

/// Identity of a node's process; a restart gives a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct ProcessId {
    /// Index of the node, from 0.
    pub(super) node: usize,
    pub(super) incarnation: Incarnation,
}

/// Event of a simulation.
#[derive(Debug)]
pub(super) enum SimEvent {
    /// A node receives an event.
    NodeEvent(ProcessId, Box<Event>),
    /// The fleet part of a kernel requested a wake-up at this time.
    FleetTick(ProcessId),
    /// The request part of a kernel requested a wake-up at this time.
    RequestTick(ProcessId),
    /// A target completes a request.
    WorkDone(ProcessId, WorkId),
    /// A target reports its phase.
    PhaseReport(ProcessId),
    /// The deadline of the reply on a connection has passed.
    ConnectionDeadline(ConnectionId),
    /// The platform answers the watches whose value has changed or whose wait
    /// time is over.
    CheckWatches,
    /// The platform's list of VMs shows a node as leaving.
    ListAsLeaving(usize),
    /// The next request of a constant load is due.
    LoadRequest(Load),
}

/// Pending events, the earliest first.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<Entry>>,
    sequence: u64,
}

#[derive(Debug)]
struct Entry {
    at: Time,
    sequence: u64,
    event: SimEvent,
}

impl EventQueue {
    /// Adds an event. Events with the same time are taken in the order in which
    /// they were added, so that a run depends on its seed only.
    pub(super) fn add(&mut self, at: Time, event: SimEvent) {
        self.sequence += 1;
        let entry = Entry {
            at,
            sequence: self.sequence,
            event,
        };
        self.heap.push(Reverse(entry));
    }

    /// Removes and returns the next event, unless it is later than `end`.
    pub(super) fn next(&mut self, end: Time) -> Option<(Time, SimEvent)> {
        let Reverse(entry) = self.heap.peek()?;
        if entry.at > end {
            return None;
        }
        let Reverse(entry) = self.heap.pop()?;
        Some((entry.at, entry.event))
    }
}

impl Entry {
    fn order(&self) -> (Time, u64) {
        (self.at, self.sequence)
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        self.order().cmp(&other.order())
    }
}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.order() == other.order()
    }
}

impl Eq for Entry {}
