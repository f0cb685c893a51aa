//! Delay, loss and cuts between nodes.

use std::collections::BTreeSet;
use std::time::Duration;

use celeryshore_model::ZoneName;

const IN_ZONE: Duration = Duration::from_micros(300);
const BETWEEN_ZONES: Duration = Duration::from_millis(1);

/// Delay, loss and cuts between nodes.
#[derive(Debug)]
pub struct FakeNet {
    pub rng: fastrand::Rng,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Share of datagrams that come twice.
    pub doubled: f64,
    /// Time by which a datagram may be late, so that some cross each other.
    pub jitter: Duration,
    /// Zones that are cut off from all others.
    pub cut: BTreeSet<ZoneName>,
    /// Zones that are cut off from the platform.
    pub cut_from_source: BTreeSet<ZoneName>,
}

impl FakeNet {
    pub fn new(seed: u64) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(seed),
            loss: 0.0,
            doubled: 0.0,
            jitter: Duration::from_micros(200),
            cut: BTreeSet::new(),
            cut_from_source: BTreeSet::new(),
        }
    }

    pub fn connects(&self, left: &ZoneName, right: &ZoneName) -> bool {
        left == right || !(self.cut.contains(left) || self.cut.contains(right))
    }

    pub fn delay(&mut self, left: &ZoneName, right: &ZoneName) -> Duration {
        let base = if left == right {
            IN_ZONE
        } else {
            BETWEEN_ZONES
        };
        base + self.jitter.mul_f64(self.rng.f64())
    }

    /// Returns how often a datagram arrives.
    pub fn copies(&mut self) -> usize {
        if self.rng.f64() < self.loss {
            0
        } else if self.rng.f64() < self.doubled {
            2
        } else {
            1
        }
    }
}
