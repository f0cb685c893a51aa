//! The naive version: every node polls the platform and applies what it reads.

use std::time::Duration;

use bytes::Bytes;
use celeryshore_model::Index;
use celeryshore_model::Time;

/// Time between two polls of one node.
const POLL_PERIOD: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
struct NaiveNode {
    next_poll: Time,
    applied: Option<Index>,
    went_back: bool,
}

/// Every node polls the platform and applies what it reads.
#[derive(Debug)]
pub struct NaiveFleet {
    nodes: Vec<NaiveNode>,
    /// Calls on the platform so far.
    pub calls: usize,
    /// Bytes read from the platform so far.
    pub bytes: usize,
}

impl NaiveFleet {
    pub fn new(nodes: usize, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let nodes = (0..nodes).map(|_| NaiveNode {
            next_poll: Time::ZERO + POLL_PERIOD.mul_f64(rng.f64()),
            applied: None,
            went_back: false,
        });
        Self {
            nodes: nodes.collect(),
            calls: 0,
            bytes: 0,
        }
    }

    /// Lets all polls happen that are due; absent if the platform is down.
    pub fn run_to(&mut self, now: Time, answer: Option<(Index, &Bytes)>) {
        for node in &mut self.nodes {
            while node.next_poll <= now {
                node.next_poll = node.next_poll + POLL_PERIOD;
                self.calls += 1;
                if let Some((index, value)) = answer {
                    self.bytes += value.len();
                    node.went_back |= node.applied.is_some_and(|old| index < old);
                    node.applied = Some(index);
                }
            }
        }
    }

    pub fn all_hold(&self, index: Index) -> bool {
        self.nodes.iter().all(|n| n.applied == Some(index))
    }

    /// Returns the number of nodes that went back to an older index.
    pub fn went_back(&self) -> usize {
        self.nodes.iter().filter(|n| n.went_back).count()
    }
}
