//! Expected waits of requests for a slot, and the refusals that state them.

use std::time::Duration;

use celeryshore_model::Time;

use super::Scheduler;
use crate::NotRun;
use crate::Phase;
use crate::requests::WorkId;
use crate::requests::admission::decision::Refusal;

/// Lower bound of the retry delay that a refusal states.
pub(in super::super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Divisor of the service time. A queued request with less time left than this part of
/// the service time isn't started.
const MIN_RUN_TIME_DIVISOR: u32 = 2;

impl Scheduler {
    /// Returns the refusal of a request that exceeds the capacity of the target.
    pub(in super::super) fn overload_refusal(&self, now: Time) -> Refusal {
        self.refusal(
            now,
            match self.limiter.phase(now) {
                Phase::Down => NotRun::TargetDown,
                _ if self.is_rate_limited(now) => NotRun::RateLimited,
                Phase::Warm => NotRun::Overloaded,
                _ => NotRun::ColdStart,
            },
        )
    }

    /// Returns `true` if the rate limit delays a new request longer than the slots do.
    fn is_rate_limited(&self, now: Time) -> bool {
        let position = self.queue.len();
        let wait = self.rate_limit.wait(now, position);
        !wait.is_zero() && wait >= self.wait_for_slot(now, position)
    }

    pub(super) fn refusal(&self, now: Time, reason: NotRun) -> Refusal {
        Refusal {
            reason,
            retry_after: self
                .expected_wait(now, self.queue.len())
                .max(MIN_RETRY_AFTER),
        }
    }

    /// Returns the expected service time of the target.
    pub(in super::super) fn service_time(&self, now: Time) -> Duration {
        self.in_flight.service_time(now)
    }

    /// Returns `true` if a request that starts after `wait` is expected to end within
    /// `remaining`.
    pub(in super::super) fn fits_deadline(
        &self,
        now: Time,
        wait: Duration,
        remaining: Duration,
    ) -> bool {
        self.limiter.phase(now) != Phase::Down
            && wait + self.in_flight.service_time(now) < remaining
    }

    /// Returns `true` if a request that starts now has a fair chance to end within
    /// `remaining`.
    pub(in super::super) fn can_finish(&self, now: Time, remaining: Duration) -> bool {
        let min_run_time = self.in_flight.service_time(now) / MIN_RUN_TIME_DIVISOR;
        remaining >= min_run_time && !remaining.is_zero()
    }

    /// Returns the queued requests with the expected time until each starts.
    pub(in super::super) fn expected_waits(&self, now: Time) -> Vec<(Duration, WorkId)> {
        let positions = self.queue.positions(&self.shares).into_iter();
        positions
            .map(|(position, work)| (self.expected_wait(now, position), work))
            .collect()
    }

    /// Returns the expected wait for a slot at a position in the queue.
    pub(super) fn expected_wait(&self, now: Time, position: usize) -> Duration {
        self.wait_for_slot(now, position)
            .max(self.rate_limit.wait(now, position))
    }

    /// Returns the expected wait at a position in the queue without a rate limit of the
    /// target.
    fn wait_for_slot(&self, now: Time, position: usize) -> Duration {
        let ahead = u32::try_from(position).unwrap_or(u32::MAX);
        let rounds = ahead.saturating_add(1);
        let for_slot =
            self.in_flight.service_time(now).saturating_mul(rounds) / self.limiter.get().max(1);
        for_slot.max(self.limiter.pace_wait(now, position))
    }
}
