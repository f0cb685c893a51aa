//! The fake network: delay, loss and cuts.

use std::collections::BTreeSet;
use std::time::Duration;

use celeryshore_model::Share;

const DEFAULT_DELAY: Duration = Duration::from_millis(1);
const WHOLE: u64 = 1_000;

/// Delay, loss and cuts between nodes, and between nodes and the platform.
#[derive(Debug)]
pub(super) struct Network {
    pub(super) delay: Duration,
    pub(super) loss: Share,
    /// Each group can reach only itself; all others reach each other.
    groups: Vec<BTreeSet<usize>>,
    without_source: BTreeSet<usize>,
}

impl Network {
    /// Makes a network without faults.
    pub(super) fn new() -> Self {
        Self {
            delay: DEFAULT_DELAY,
            loss: Share::default(),
            groups: Vec::new(),
            without_source: BTreeSet::new(),
        }
    }

    /// Cuts nodes off from all others and from the platform.
    pub(super) fn cut(&mut self, nodes: &[usize]) {
        self.groups.push(nodes.iter().copied().collect());
        self.cut_source(nodes);
    }

    /// Cuts nodes off from the platform.
    pub(super) fn cut_source(&mut self, nodes: &[usize]) {
        self.without_source.extend(nodes);
    }

    /// Takes back all cuts.
    pub(super) fn heal(&mut self) {
        self.groups.clear();
        self.without_source.clear();
    }

    /// Tells whether nothing passes between two nodes.
    pub(super) fn is_cut(&self, a: usize, b: usize) -> bool {
        let mut groups = self.groups.iter();
        groups.any(|group| group.contains(&a) != group.contains(&b))
    }

    /// Tells whether a node is cut off from the platform.
    pub(super) fn is_cut_from_source(&self, node: usize) -> bool {
        self.without_source.contains(&node)
    }

    /// Draws the time that a message is on its way: up to half as long again.
    pub(super) fn latency(&self, rng: &mut fastrand::Rng) -> Duration {
        self.delay.mul_f64(1.0 + rng.f64() / 2.0)
    }

    /// Draws whether a datagram is lost.
    pub(super) fn loses(&self, rng: &mut fastrand::Rng) -> bool {
        rng.u64(..WHOLE) < u64::from(self.loss.per_mille())
    }
}
