//! Baseline for comparison: a fleet without gossip or version checks.

use std::time::Duration;

use bytes::Bytes;
use celeryshore_model::Index;
use celeryshore_model::Time;

/// Interval between two polls of one node.
const POLL_PERIOD: Duration = Duration::from_secs(1);

#[derive(Clone, Debug)]
struct PollingNode {
    next_poll: Time,
    applied: Option<Index>,
    has_regressed: bool,
}

/// Fleet in which every node polls the platform and applies what it reads.
#[derive(Debug)]
pub struct PollingFleet {
    nodes: Vec<PollingNode>,
    /// Number of calls to the platform so far.
    pub calls: usize,
    /// Number of bytes read from the platform so far.
    pub bytes: usize,
}

impl PollingFleet {
    pub fn new(nodes: usize, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let nodes = (0..nodes).map(|_| PollingNode {
            next_poll: Time::ZERO + POLL_PERIOD.mul_f64(rng.f64()),
            applied: None,
            has_regressed: false,
        });
        Self {
            nodes: nodes.collect(),
            calls: 0,
            bytes: 0,
        }
    }

    /// Executes all polls that are due.
    ///
    /// `answer` is the index and value of the platform, `None` if it is down.
    pub fn run_to(&mut self, now: Time, answer: Option<(Index, &Bytes)>) {
        for node in &mut self.nodes {
            while node.next_poll <= now {
                node.next_poll = node.next_poll + POLL_PERIOD;
                self.calls += 1;
                if let Some((index, value)) = answer {
                    self.bytes += value.len();
                    node.has_regressed |= node.applied.is_some_and(|old| index < old);
                    node.applied = Some(index);
                }
            }
        }
    }

    pub fn has_converged(&self, index: Index) -> bool {
        self.nodes.iter().all(|n| n.applied == Some(index))
    }

    /// Returns the number of nodes that applied an older index after a newer one.
    pub fn regressed_nodes(&self) -> usize {
        self.nodes.iter().filter(|n| n.has_regressed).count()
    }
}
