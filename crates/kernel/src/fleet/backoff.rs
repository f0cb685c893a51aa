//! Exponential back-off with jitter.

use std::time::Duration;

/// Waits that double with every failure, spread over half of their length.
#[derive(Debug)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    failures: u32,
}

impl Backoff {
    /// Makes a back-off that begins with `initial` and ends with `max`.
    pub const fn new(initial: Duration, max: Duration) -> Self {
        Self {
            initial,
            max,
            failures: 0,
        }
    }

    /// Returns the failures since the last success.
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Notes a success.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }

    /// Notes a failure and returns how long to wait.
    pub fn next_delay(&mut self, rng: &mut fastrand::Rng) -> Duration {
        let factor = 1_u32.checked_shl(self.failures).unwrap_or(u32::MAX);
        self.failures = self.failures.saturating_add(1);
        let full = self.initial.saturating_mul(factor).min(self.max);
        jitter(full, rng)
    }
}

/// Returns a random time between half of `full` and `full`.
pub fn jitter(full: Duration, rng: &mut fastrand::Rng) -> Duration {
    full.mul_f64(0.5 + rng.f64() / 2.0)
}
