//! Simulated network: delay, datagram loss and partitions.

use std::collections::BTreeSet;
use std::time::Duration;

use celeryshore_model::Share;

const DEFAULT_DELAY: Duration = Duration::from_millis(1);
const PER_MILLE: u64 = 1_000;

/// Network between the nodes, and between the nodes and the platform.
#[derive(Debug)]
pub(super) struct Network {
    /// Minimum one-way delay of a message between nodes.
    pub(super) delay: Duration,
    /// Share of datagrams that are dropped.
    pub(super) loss: Share,
    /// Each set of nodes reaches only itself; nodes outside all sets reach each
    /// other.
    partitions: Vec<BTreeSet<usize>>,
    cut_from_source: BTreeSet<usize>,
}

impl Network {
    /// Returns a network without faults.
    pub(super) fn new() -> Self {
        Self {
            delay: DEFAULT_DELAY,
            loss: Share::default(),
            partitions: Vec::new(),
            cut_from_source: BTreeSet::new(),
        }
    }

    /// Partitions nodes from all other nodes and from the platform.
    pub(super) fn cut(&mut self, nodes: &[usize]) {
        self.partitions.push(nodes.iter().copied().collect());
        self.cut_source(nodes);
    }

    /// Partitions nodes from the platform only.
    pub(super) fn cut_source(&mut self, nodes: &[usize]) {
        self.cut_from_source.extend(nodes);
    }

    /// Removes all partitions.
    pub(super) fn heal(&mut self) {
        self.partitions.clear();
        self.cut_from_source.clear();
    }

    /// Returns `true` if no message passes between the two nodes.
    pub(super) fn is_cut(&self, a: usize, b: usize) -> bool {
        let mut partitions = self.partitions.iter();
        partitions.any(|nodes| nodes.contains(&a) != nodes.contains(&b))
    }

    /// Returns `true` if the node cannot reach the platform.
    pub(super) fn is_cut_from_source(&self, node: usize) -> bool {
        self.cut_from_source.contains(&node)
    }

    /// Returns a random one-way latency of 1 to 1.5 times the delay.
    pub(super) fn latency(&self, rng: &mut fastrand::Rng) -> Duration {
        self.delay.mul_f64(1.0 + rng.f64() / 2.0)
    }

    /// Decides at random whether a datagram is dropped.
    pub(super) fn drops_datagram(&self, rng: &mut fastrand::Rng) -> bool {
        rng.u64(..PER_MILLE) < u64::from(self.loss.per_mille())
    }
}
