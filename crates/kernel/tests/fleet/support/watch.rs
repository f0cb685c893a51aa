//! Calls of nodes on the platform.

use std::time::Duration;

use celeryshore_kernel::FleetEvent;
use celeryshore_kernel::ReadAnswer;
use celeryshore_kernel::ReadFailure;
use celeryshore_kernel::ReadId;
use celeryshore_kernel::ReadQuery;
use celeryshore_model::Index;
use celeryshore_model::Time;

use super::World;

const SOURCE_DELAY: Duration = Duration::from_millis(2);

/// A watch that the platform lets wait.
pub struct Watch {
    pub node: usize,
    pub life: u64,
    pub read: ReadId,
    pub index: Index,
    pub deadline: Time,
}

impl World {
    pub(super) fn read(&mut self, i: usize, read: ReadId, query: ReadQuery, deadline: Time) {
        self.source.calls.push(self.now);
        let cut = self.net.cut_from_source.contains(&self.nodes[i].zone);
        let failure = ReadFailure::Unreachable;
        let fail = FleetEvent::ReadFailed { read, failure };
        if self.nodes[i].deaf {
            return;
        }
        if self.source.down || cut {
            self.deliver(i, SOURCE_DELAY, fail);
            return;
        }
        match query {
            ReadQuery::Rules {
                index: Some(index),
                wait,
            } if index == self.source.index => {
                let life = self.nodes[i].life;
                let deadline = (self.now + wait).min(deadline);
                self.watches.push(Watch {
                    node: i,
                    life,
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
                let answer = ReadAnswer::Leaving(self.source.leaving.clone());
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

    /// Answers watches that are over or have news.
    pub fn answer_watches(&mut self) {
        for watch in std::mem::take(&mut self.watches) {
            let node = &self.nodes[watch.node];
            let over = self.now >= watch.deadline || watch.index != self.source.index;
            if node.life != watch.life {
                continue;
            }
            let cut = self.net.cut_from_source.contains(&node.zone);
            if self.source.down || cut || !over || node.deaf {
                self.watches.push(watch);
            } else {
                self.answer(watch.node, watch.read);
            }
        }
    }
}
