//! Fake network between nodes.

use std::collections::BTreeSet;
use std::time::Duration;

use celeryshore_model::ZoneName;

const DELAY_IN_ZONE: Duration = Duration::from_micros(300);
const DELAY_BETWEEN_ZONES: Duration = Duration::from_millis(1);

/// Network that delays, drops, duplicates and reorders datagrams.
#[derive(Debug)]
pub struct FakeNet {
    pub rng: fastrand::Rng,
    /// Fraction of datagrams that are dropped, from 0 to 1.
    pub loss_rate: f64,
    /// Fraction of delivered datagrams that arrive twice, from 0 to 1.
    pub duplicate_rate: f64,
    /// Maximum extra delay of a datagram; a large value reorders datagrams.
    pub jitter: Duration,
    /// Zones that cannot reach any other zone.
    pub isolated_zones: BTreeSet<ZoneName>,
    /// Zones that cannot reach the platform.
    pub zones_without_source: BTreeSet<ZoneName>,
}

impl FakeNet {
    pub fn new(seed: u64) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(seed),
            loss_rate: 0.0,
            duplicate_rate: 0.0,
            jitter: Duration::from_micros(200),
            isolated_zones: BTreeSet::new(),
            zones_without_source: BTreeSet::new(),
        }
    }

    pub fn connects(&self, from: &ZoneName, to: &ZoneName) -> bool {
        from == to || !(self.isolated_zones.contains(from) || self.isolated_zones.contains(to))
    }

    pub fn delay(&mut self, from: &ZoneName, to: &ZoneName) -> Duration {
        let base = if from == to {
            DELAY_IN_ZONE
        } else {
            DELAY_BETWEEN_ZONES
        };
        base + self.jitter.mul_f64(self.rng.f64())
    }

    /// Returns how many copies of a datagram arrive.
    pub fn copies(&mut self) -> usize {
        if self.rng.f64() < self.loss_rate {
            0
        } else if self.rng.f64() < self.duplicate_rate {
            2
        } else {
            1
        }
    }
}
