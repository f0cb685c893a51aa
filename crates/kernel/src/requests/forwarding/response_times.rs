//! Usual response times by request kind, to detect requests that stall.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::KindId;

/// Multiple of the usual response time after which a request counts as stalled.
const STALL_FACTOR: u32 = 8;
/// Half-multiples of the usual response time that are reserved for a second request.
const SECOND_RUN_RESERVE: u32 = 3;
/// Half-multiples of the usual response time after which a second request may be sent.
const MIN_SECOND_SEND: u32 = 5;
/// Minimum stall timeout. The maximum takes precedence if it is shorter.
const MIN_STALL: Duration = Duration::from_millis(50);
/// Divisor of the time left until the deadline: the maximum stall timeout.
const MAX_STALL_DIVISOR: u32 = 2;
/// Inverse weight of the latest request in the moving average.
const SMOOTHING: u32 = 8;

/// Exponentially weighted averages of response times by request kind.
#[derive(Debug, Default)]
pub(super) struct ResponseTimes {
    averages: BTreeMap<KindId, Duration>,
}

impl ResponseTimes {
    /// Updates the average of a kind with the time of a request that was answered.
    pub(super) fn observe(&mut self, kind: &KindId, elapsed: Duration) {
        if let Some(average) = self.averages.get_mut(kind) {
            *average = (*average * (SMOOTHING - 1) + elapsed) / SMOOTHING;
        } else {
            self.averages.insert(kind.clone(), elapsed);
        }
    }

    /// Returns the time after which a second request may still be answered within the
    /// target latency, if the first has outlasted what is usual for its kind by then.
    pub(super) fn second_send_timeout(
        &self,
        kind: &KindId,
        target_latency: Duration,
    ) -> Option<Duration> {
        let average = *self.averages.get(kind)?;
        let latest = target_latency.saturating_sub(average * SECOND_RUN_RESERVE / 2);
        Some(latest.max(average * MIN_SECOND_SEND / 2).max(MIN_STALL))
    }

    /// Returns the time after which a request counts as stalled.
    ///
    /// Without an average it is half of `remaining`, the time left until the
    /// deadline.
    pub(super) fn stall_timeout(&self, kind: &KindId, remaining: Duration) -> Duration {
        let max = remaining / MAX_STALL_DIVISOR;
        let average = self.averages.get(kind);
        average.map_or(max, |t| (*t * STALL_FACTOR).max(MIN_STALL).min(max))
    }
}
