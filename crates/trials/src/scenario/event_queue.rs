//! What happens in a scenario, in the order of time.

use std::cmp::Ordering;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use celeryshore_kernel::Event;
use celeryshore_kernel::WorkId;
use celeryshore_model::Incarnation;
use celeryshore_model::Time;

use super::connection::LinkId;
use super::script::Load;

/// One life of one node, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Life {
    pub(super) node: usize,
    pub(super) incarnation: Incarnation,
}

/// Something that happens.
#[derive(Debug)]
pub(super) enum Happening {
    /// An event reaches a node.
    Event(Life, Box<Event>),
    /// The fleet of a node asked to be woken.
    FleetTick(Life),
    /// The requests of a node asked to be woken.
    RequestTick(Life),
    /// A target ends a piece of work.
    Work(Life, WorkId),
    /// A target reports its phase.
    Probe(Life),
    /// Nobody waits for a reply any more.
    Expiry(LinkId),
    /// The platform looks at its watches.
    Watches,
    /// The list of VMs marks a node as leaving.
    Leaving(usize),
    /// A request of a steady load.
    Load(Load),
}

/// What will happen, the earliest first.
#[derive(Debug, Default)]
pub(super) struct Agenda {
    heap: BinaryHeap<Reverse<Entry>>,
    sequence: u64,
}

#[derive(Debug)]
struct Entry {
    at: Time,
    sequence: u64,
    happening: Happening,
}

impl Agenda {
    /// Adds something; of two at one time, the one added first happens first.
    pub(super) fn add(&mut self, at: Time, happening: Happening) {
        self.sequence += 1;
        let entry = Entry {
            at,
            sequence: self.sequence,
            happening,
        };
        self.heap.push(Reverse(entry));
    }

    /// Takes out what happens next, if it happens before `end` is over.
    pub(super) fn next(&mut self, end: Time) -> Option<(Time, Happening)> {
        let Reverse(entry) = self.heap.peek()?;
        if entry.at > end {
            return None;
        }
        let Reverse(entry) = self.heap.pop()?;
        Some((entry.at, entry.happening))
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
