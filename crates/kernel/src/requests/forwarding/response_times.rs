//! Usual times of hand-overs, to notice one that stalls.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::KindId;

/// A hand-over stalls when it takes this many times as long as usual.
const STALL_FACTOR: u32 = 8;
/// No hand-over stalls before this time.
const MIN_STALL: Duration = Duration::from_millis(50);
/// Part of the time left after which a hand-over stalls at the latest, as a divisor.
const LATEST_STALL_DIVISOR: u32 = 2;
/// Weight of the latest hand-over in the usual time, as a divisor.
const SMOOTHING: u32 = 8;

/// Usual times of hand-overs by request kind.
#[derive(Debug, Default)]
pub(super) struct ResponseTimes {
    usual: BTreeMap<KindId, Duration>,
}

impl ResponseTimes {
    /// Takes the time of a hand-over that was answered.
    pub(super) fn observe(&mut self, kind: &KindId, elapsed: Duration) {
        if let Some(usual) = self.usual.get_mut(kind) {
            *usual = (*usual * (SMOOTHING - 1) + elapsed) / SMOOTHING;
        } else {
            self.usual.insert(kind.clone(), elapsed);
        }
    }

    /// Returns the time after which a hand-over stalls.
    pub(super) fn stall_timeout(&self, kind: &KindId, remaining: Duration) -> Duration {
        let latest = remaining / LATEST_STALL_DIVISOR;
        let usual = self.usual.get(kind);
        usual.map_or(latest, |u| (*u * STALL_FACTOR).max(MIN_STALL).min(latest))
    }
}
