//! Calls from nodes to the platform.

use std::time::Duration;

use celeryshore_kernel::FleetEvent;
use celeryshore_kernel::ReadAnswer;
use celeryshore_kernel::ReadFailure;
use celeryshore_kernel::ReadId;
use celeryshore_kernel::ReadQuery;
use celeryshore_model::Index;
use celeryshore_model::Time;

use super::Simulation;

const SOURCE_DELAY: Duration = Duration::from_millis(2);

/// Read of the rules that waits for a change of the platform's index.
pub struct Watch {
    pub node: usize,
    pub generation: u64,
    pub read: ReadId,
    pub index: Index,
    pub deadline: Time,
}

impl Simulation {
    pub(super) fn read(&mut self, i: usize, read: ReadId, query: ReadQuery, deadline: Time) {
        self.source.calls.push(self.now);
        let is_unreachable = self.net.zones_without_source.contains(&self.nodes[i].zone);
        let failure = ReadFailure::Unreachable;
        let fail = FleetEvent::ReadFailed { read, failure };
        if self.nodes[i].has_stalled_reads {
            return;
        }
        if self.source.is_down || is_unreachable {
            self.deliver(i, SOURCE_DELAY, fail);
            return;
        }
        match query {
            ReadQuery::Rules {
                index: Some(index),
                wait,
            } if index == self.source.index => {
                let generation = self.nodes[i].generation;
                let deadline = (self.now + wait).min(deadline);
                self.watches.push(Watch {
                    node: i,
                    generation,
                    read,
                    index,
                    deadline,
                });
                self.deliver(i, wait, FleetEvent::Tick);
            }
            ReadQuery::Rules { .. } => self.answer(i, read),
            ReadQuery::Part { key } => {
                let event = match self.source.parts.get(&key).cloned() {
                    Some(value) => FleetEvent::Read {
                        read,
                        answer: ReadAnswer::Value {
                            index: self.source.index,
                            value,
                        },
                    },
                    None => fail,
                };
                self.deliver(i, SOURCE_DELAY, event);
            }
            ReadQuery::Vms => {
                let answer = ReadAnswer::Leaving(self.source.leaving_vms.clone());
                self.deliver(i, SOURCE_DELAY, FleetEvent::Read { read, answer });
            }
        }
        self.answer_watches();
    }

    fn answer(&mut self, i: usize, read: ReadId) {
        let answer = ReadAnswer::Value {
            index: self.source.index,
            value: self.source.value.clone(),
        };
        self.deliver(i, SOURCE_DELAY, FleetEvent::Read { read, answer });
    }

    /// Answers the watches that have reached their deadline or whose index has changed.
    pub fn answer_watches(&mut self) {
        for watch in std::mem::take(&mut self.watches) {
            let node = &self.nodes[watch.node];
            let is_due = self.now >= watch.deadline || watch.index != self.source.index;
            if node.generation != watch.generation {
                continue;
            }
            let is_unreachable = self.net.zones_without_source.contains(&node.zone);
            if self.source.is_down || is_unreachable || !is_due || node.has_stalled_reads {
                self.watches.push(watch);
            } else {
                self.answer(watch.node, watch.read);
            }
        }
    }
}
