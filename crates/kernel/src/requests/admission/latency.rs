//! Baseline of the target's latency, to detect spikes.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::KindId;

/// Factor over the baseline above which an answer counts as slow.
const SPIKE_FACTOR: u32 = 3;
/// Excess over the baseline that is tolerated in addition, so that jitter of short
/// answers isn't a spike.
const SPIKE_TOLERANCE: Duration = Duration::from_millis(10);
/// Consecutive slow answers that count as a spike.
const SPIKE_ANSWERS: u32 = 3;
/// Divisor that gives the weight of the latest answer in the baseline.
const SMOOTHING: u32 = 8;

/// Baseline latency by request kind.
#[derive(Debug)]
pub(super) struct LatencyBaseline {
    baseline: BTreeMap<KindId, Duration>,
    slow_answers: u32,
}

impl LatencyBaseline {
    pub(super) const fn new() -> Self {
        Self {
            baseline: BTreeMap::new(),
            slow_answers: 0,
        }
    }

    /// Records the latency of an answer. Returns whether it completes a spike.
    pub(super) fn record(&mut self, kind: &KindId, elapsed: Duration) -> bool {
        let Some(baseline) = self.baseline.get_mut(kind) else {
            self.baseline.insert(kind.clone(), elapsed);
            return false;
        };
        if elapsed > *baseline * SPIKE_FACTOR + SPIKE_TOLERANCE {
            self.slow_answers += 1;
            return self.slow_answers >= SPIKE_ANSWERS;
        }
        self.slow_answers = 0;
        *baseline = (*baseline * (SMOOTHING - 1) + elapsed) / SMOOTHING;
        false
    }
}
