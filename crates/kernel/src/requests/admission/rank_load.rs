//! Extra wait of a request due to more urgent requests that arrive after it.
//!
//! Load pattern: urgent requests take most of the slots, and each new one starts before
//! those that wait. A less urgent request would be accepted by its position in the
//! queue, and be refused late instead of at once.

use std::collections::BTreeMap;
use std::time::Duration;

use super::rank::Rank;

/// Inverse weight of the latest start. Some hundred starts cover about a second of a
/// busy target.
const SMOOTHING: u64 = 128;
/// Maximum factor by which a wait grows. Beyond it, the request won't be served in time
/// anyway.
const MAX_WAIT_FACTOR: u64 = 16;

/// Scale of the factor.
const PER_MILLE: u32 = 1_000;

/// Exponentially decaying sum of the expected run times of started requests, by rank.
#[derive(Debug, Default)]
pub(super) struct RankLoad {
    busy_micros: BTreeMap<Rank, u64>,
}

impl RankLoad {
    /// Records the start of a request that is expected to take `run`.
    pub(super) fn record_start(&mut self, rank: Rank, run: Duration) {
        for busy in self.busy_micros.values_mut() {
            *busy -= busy.div_ceil(SMOOTHING);
        }
        self.busy_micros.retain(|_, busy| *busy > 0);
        let run = u64::try_from(run.as_micros()).unwrap_or(u64::MAX);
        *self.busy_micros.entry(rank).or_default() += run;
    }

    /// Returns the expected wait of a request of this rank, given its `wait` by the
    /// current queue alone.
    pub(super) fn scale_wait(&self, rank: Rank, wait: Duration) -> Duration {
        let all: u64 = self.busy_micros.values().sum();
        let more_urgent: u64 = self.busy_micros.range(..rank).map(|(_, busy)| busy).sum();
        let remaining = (all - more_urgent).max(all / MAX_WAIT_FACTOR).max(1);
        let factor = u32::try_from(all.max(1) * u64::from(PER_MILLE) / remaining);
        wait.saturating_mul(factor.unwrap_or(u32::MAX).max(PER_MILLE)) / PER_MILLE
    }
}
