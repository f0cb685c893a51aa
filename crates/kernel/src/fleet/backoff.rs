//! Exponential backoff with jitter.

use std::time::Duration;

/// Delays that double with every failure, with a jitter of up to half the
/// delay.
#[derive(Debug)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff whose delays grow from `initial` to `max`.
    pub const fn new(initial: Duration, max: Duration) -> Self {
        Self {
            initial,
            max,
            failures: 0,
        }
    }

    /// Returns the number of failures since the last success.
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Resets the delay to its initial value after a success.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }

    /// Records a failure and returns the delay before the next attempt.
    pub fn next_delay(&mut self, rng: &mut fastrand::Rng) -> Duration {
        let factor = 1_u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        self.failures = self.failures.saturating_add(1);
        let full = self.initial.saturating_mul(factor).min(self.max);
        jitter(full, rng)
    }
}

/// Returns a random duration between half of `full` and `full`.
pub fn jitter(full: Duration, rng: &mut fastrand::Rng) -> Duration {
    full.mul_f64(0.5 + rng.f64() / 2.0)
}
