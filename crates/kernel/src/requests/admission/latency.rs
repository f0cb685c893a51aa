//! Baseline of the target's latency, to detect spikes.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::KindId;

/// Factor over the baseline above which a response counts as slow.
const SPIKE_FACTOR: u32 = 3;
/// Excess over the baseline that is tolerated in addition, so that jitter of short
/// response times isn't a spike.
const SPIKE_TOLERANCE: Duration = Duration::from_millis(10);
/// Consecutive slow responses that count as a spike.
const SPIKE_RESPONSES: u32 = 3;
/// Inverse weight of the latest response in the baseline.
const SMOOTHING: u32 = 8;

/// Baseline latency by request kind.
#[derive(Debug)]
pub(super) struct LatencyBaseline {
    baseline: BTreeMap<KindId, Duration>,
    slow_responses: u32,
}

impl LatencyBaseline {
    pub(super) const fn new() -> Self {
        Self {
            baseline: BTreeMap::new(),
            slow_responses: 0,
        }
    }

    /// Records the latency of a response. Returns `true` if it completes a spike.
    pub(super) fn record(&mut self, kind: &KindId, elapsed: Duration) -> bool {
        let Some(baseline) = self.baseline.get_mut(kind) else {
            self.baseline.insert(kind.clone(), elapsed);
            return false;
        };
        if elapsed > *baseline * SPIKE_FACTOR + SPIKE_TOLERANCE {
            self.slow_responses += 1;
            return self.slow_responses >= SPIKE_RESPONSES;
        }
        self.slow_responses = 0;
        *baseline = (*baseline * (SMOOTHING - 1) + elapsed) / SMOOTHING;
        false
    }
}
