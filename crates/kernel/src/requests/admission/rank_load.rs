//! How much longer work waits because more urgent work arrives meanwhile.
//!
//! Load pattern: urgent work that takes most of the slots. What waits behind it is
//! overtaken again and again. Its place in the queue alone would let it in, and it
//! would be refused late instead of at once.

use std::collections::BTreeMap;
use std::time::Duration;

use super::rank::Rank;

/// Weight of the latest start in the time that ranks took, as a divisor: some hundred
/// starts are about a second of a busy target.
const SMOOTHING: u64 = 128;
/// Most times that the wait grows; beyond that the wait is hopeless anyway.
const MAX_GROWTH: u64 = 16;

/// Scale of the growth of a wait.
const PER_MILLE: u32 = 1_000;

/// Time of the target that each rank took lately, in microseconds.
#[derive(Debug, Default)]
pub(super) struct Overtaking {
    taken: BTreeMap<Rank, u64>,
}

impl Overtaking {
    /// Notes the start of a run that takes a time.
    pub(super) fn start(&mut self, rank: Rank, run: Duration) {
        for taken in self.taken.values_mut() {
            *taken -= taken.div_ceil(SMOOTHING);
        }
        self.taken.retain(|_, taken| *taken > 0);
        let run = u64::try_from(run.as_micros()).unwrap_or(u64::MAX);
        *self.taken.entry(rank).or_default() += run;
    }

    /// Returns the wait of work of a rank whose place alone makes it wait for `wait`.
    pub(super) fn grow(&self, rank: Rank, wait: Duration) -> Duration {
        let all: u64 = self.taken.values().sum();
        let ahead: u64 = self.taken.range(..rank).map(|(_, taken)| taken).sum();
        let left = (all - ahead).max(all / MAX_GROWTH).max(1);
        let growth = u32::try_from(all.max(1) * u64::from(PER_MILLE) / left);
        wait.saturating_mul(growth.unwrap_or(u32::MAX).max(PER_MILLE)) / PER_MILLE
    }
}
