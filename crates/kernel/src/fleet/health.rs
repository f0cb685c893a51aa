//! Health of a reader: backoff after failed reads, and handover of the reader
//! role to another node.

use std::time::Duration;

use celeryshore_model::Time;

use super::backoff::Backoff;
use super::event::ReadFailure;

/// Initial and maximum delay after a failed read.
const BACKOFF_RANGE: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(4)];

/// Time for which a failing reader gives up its role.
const UNWELL_DURATION: Duration = Duration::from_secs(30);

/// Consecutive failures after which a reader gives up its role while other
/// readers succeed.
const MAX_FAILURES_WHILE_OTHERS_SUCCEED: u32 = 2;

/// Consecutive failures after which a reader gives up its role while all
/// readers fail.
const MAX_FAILURES_WHILE_ALL_FAIL: u32 = 6;

/// Read failures of this node since its last success.
#[derive(Debug)]
pub struct Health {
    backoff: Backoff,
    unwell_until: Option<Time>,
}

impl Health {
    /// Creates the health of a reader without failures.
    pub const fn new() -> Self {
        Self {
            backoff: Backoff::new(BACKOFF_RANGE[0], BACKOFF_RANGE[1]),
            unwell_until: None,
        }
    }

    /// Returns `true` while this node gives up the reader role because its
    /// reads fail.
    pub fn is_unwell(&self, now: Time) -> bool {
        self.unwell_until.is_some_and(|until| now < until)
    }

    /// Records a successful read.
    pub const fn record_success(&mut self) {
        self.backoff.reset();
        self.unwell_until = None;
    }

    /// Records a failed read and returns the delay before the next one.
    ///
    /// A timeout while other readers succeed makes the node give up the reader
    /// role at once.
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
