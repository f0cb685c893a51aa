//! Whether a reader succeeds, and when it leaves its turn to the next.

use std::time::Duration;

use celeryshore_model::Time;

use super::backoff::Backoff;
use super::event::ReadFailure;

/// First and longest wait after a failed read.
const WAITS: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(4)];

/// Time for which a reader that fails leaves its turn to the next.
const UNWELL_LIFETIME: Duration = Duration::from_secs(30);

/// Failures after which a reader leaves its turn while others succeed.
const FAILURES_WHILE_OTHERS_SUCCEED: u32 = 2;

/// Failures after which a reader leaves its turn while nobody succeeds.
const FAILURES_WHILE_ALL_FAIL: u32 = 6;

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
            backoff: Backoff::new(WAITS[0], WAITS[1]),
            unwell_until: None,
        }
    }

    /// Returns whether the reader leaves its turn to the next.
    pub fn is_unwell(&self, now: Time) -> bool {
        self.unwell_until.is_some_and(|until| now < until)
    }

    /// Notes good contact with the platform.
    pub const fn succeed(&mut self) {
        self.backoff.reset();
        self.unwell_until = None;
    }

    /// Notes a failure and returns how long to wait.
    pub fn fail(
        &mut self,
        failure: ReadFailure,
        others_succeed: bool,
        now: Time,
        rng: &mut fastrand::Rng,
    ) -> Duration {
        let wait = self.backoff.fail(rng);
        let limit = if others_succeed {
            FAILURES_WHILE_OTHERS_SUCCEED
        } else {
            FAILURES_WHILE_ALL_FAIL
        };
        let silent = others_succeed && failure == ReadFailure::Timeout;
        if silent || self.backoff.failures() >= limit {
            self.unwell_until = Some(now + UNWELL_LIFETIME);
            self.backoff.reset();
        }
        wait
    }
}
