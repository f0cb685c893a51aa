//! Requests that can no longer be answered within their target latency.
//!
//! Load pattern: a lasting overload in which refused callers retry. A retry states less time
//! left than a first attempt, so the difference is the time that its caller has waited.
//! Where a kind gets only a part of what it asks for, its slots should go to requests that
//! can still be answered in time.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::KindId;
use celeryshore_model::Time;

/// Period over which the longest time left is compared. Kinds whose requests are rarer than
/// that are never under a load that lasts.
const PERIOD: Duration = Duration::from_secs(2);
/// Maximum number of kinds that are tracked. A target serves a few.
const MAX_KINDS: usize = 64;

/// Longest time left that requests of one kind stated.
#[derive(Debug)]
struct LongestTimeLeft {
    period_start: Time,
    in_period: Duration,
    in_previous_period: Duration,
}

impl LongestTimeLeft {
    fn record(&mut self, now: Time, left: Duration) {
        let elapsed = now - self.period_start;
        if elapsed >= PERIOD {
            self.in_previous_period = if elapsed < PERIOD * 2 {
                self.in_period
            } else {
                Duration::ZERO
            };
            self.in_period = Duration::ZERO;
            self.period_start = now;
        }
        self.in_period = self.in_period.max(left);
    }

    fn get(&self) -> Duration {
        self.in_period.max(self.in_previous_period)
    }
}

/// Recognizes requests whose callers have waited for longer than the target latency.
#[derive(Debug, Default)]
pub(super) struct Lateness {
    kinds: BTreeMap<KindId, LongestTimeLeft>,
}

impl Lateness {
    /// Records the time left that a request states. Returns `true` if its caller has waited
    /// for so long already that the response would be late.
    pub(super) fn record_request(
        &mut self,
        now: Time,
        kind: &KindId,
        left: Option<Duration>,
        target_latency: Option<Duration>,
        run: Duration,
    ) -> bool {
        let Some((left, target_latency)) = left.zip(target_latency) else {
            return false;
        };
        if let Some(longest) = self.kinds.get_mut(kind) {
            longest.record(now, left);
        } else if self.kinds.len() < MAX_KINDS {
            let longest = LongestTimeLeft {
                period_start: now,
                in_period: left,
                in_previous_period: Duration::ZERO,
            };
            self.kinds.insert(kind.clone(), longest);
        }
        let longest = self.kinds.get(kind).map_or(left, LongestTimeLeft::get);
        longest.saturating_sub(left) + run > target_latency
    }
}
