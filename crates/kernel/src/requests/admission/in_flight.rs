//! Requests that the target runs, and the time that it takes for one.
//!
//! Load pattern: a target that turns slow under load. Its answers tell it only
//! once they come, and work that is given up for its slowness never gets one, so
//! the ages of what runs count as well.

use std::time::Duration;

use celeryshore_model::Time;

/// Service time that is assumed before any answer was seen.
const ASSUMED_SERVICE_TIME: Duration = Duration::from_millis(20);
/// Weight of the latest answer in the mean service time, as a divisor.
const SMOOTHING: u32 = 8;

/// Requests that run, and the mean time of those that ran.
#[derive(Debug)]
pub(super) struct Runs {
    starts: Vec<Time>,
    mean: Duration,
}

impl Runs {
    /// Makes the list for a target that has run nothing.
    pub(super) const fn new() -> Self {
        Self {
            starts: Vec::new(),
            mean: ASSUMED_SERVICE_TIME,
        }
    }

    /// Returns how many requests run.
    pub(super) fn count(&self) -> u32 {
        u32::try_from(self.starts.len()).unwrap_or(u32::MAX)
    }

    /// Notes the start of a run.
    pub(super) fn start(&mut self, now: Time) {
        self.starts.push(now);
    }

    /// Notes a run that ended without showing how long it takes.
    pub(super) fn end(&mut self, since: Time) {
        if let Some(place) = self.starts.iter().position(|at| *at == since) {
            self.starts.swap_remove(place);
        }
    }

    /// Learns from the answer to a run.
    pub(super) fn answered(&mut self, now: Time, since: Time) {
        self.end(since);
        self.learn(now - since);
    }

    /// Learns from a run that was given up: it would have taken longer.
    pub(super) fn given_up(&mut self, now: Time, since: Time) {
        self.end(since);
        if now - since > self.mean {
            self.learn(now - since);
        }
    }

    fn learn(&mut self, elapsed: Duration) {
        self.mean = (self.mean * (SMOOTHING - 1) + elapsed) / SMOOTHING;
    }

    /// Returns the expected time of one run: the mean of those that ended, or what
    /// those that run have taken already, if that is longer.
    pub(super) fn service_time(&self, now: Time) -> Duration {
        let ages: Duration = self.starts.iter().map(|at| now - *at).sum();
        let so_far = (ages + self.mean) / (self.count() + 1);
        self.mean.max(so_far)
    }
}
