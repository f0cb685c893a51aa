//! Whether a reader succeeds, and when it leaves its turn to the next.

use std::time::Duration;

use celeryshore_model::Time;

use super::backoff::Backoff;
use super::event::ReadFailure;

/// First and longest wait after a failed read.
const BACKOFF_RANGE: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(4)];

/// Time for which a reader that fails leaves its turn to the next.
const UNWELL_DURATION: Duration = Duration::from_secs(30);

/// Failures after which a reader leaves its turn while others succeed.
const MAX_FAILURES_WHILE_OTHERS_SUCCEED: u32 = 2;

/// Failures after which a reader leaves its turn while nobody succeeds.
const MAX_FAILURES_WHILE_ALL_FAIL: u32 = 6;

/// Failures of a reader since its last success.
#[derive(Debug)]
pub struct Health {
    backoff: Backoff,
    unwell_until: Option<Time>,
}

impl Health {
    /// Makes the health of a reader that has read nothing.
    pub const fn new() -> Self {
        Self {
            backoff: Backoff::new(BACKOFF_RANGE[0], BACKOFF_RANGE[1]),
            unwell_until: None,
        }
    }

    /// Returns whether the reader leaves its turn to the next.
    pub fn is_unwell(&self, now: Time) -> bool {
        self.unwell_until.is_some_and(|until| now < until)
    }

    /// Notes good contact with the platform.
    pub const fn record_success(&mut self) {
        self.backoff.reset();
        self.unwell_until = None;
    }

    /// Notes a failure and returns how long to wait.
    pub fn record_failure(
        &mut self,
        failure: ReadFailure,
        others_succeed: bool,
        now: Time,
        rng: &mut fastrand::Rng,
    ) -> Duration {
        let wait = self.backoff.next_delay(rng);
        let limit = if others_succeed {
            MAX_FAILURES_WHILE_OTHERS_SUCCEED
        } else {
            MAX_FAILURES_WHILE_ALL_FAIL
        };
        let timed_out = others_succeed && failure == ReadFailure::Timeout;
        if timed_out || self.backoff.failures() >= limit {
            self.unwell_until = Some(now + UNWELL_DURATION);
            self.backoff.reset();
        }
        wait
    }
}
