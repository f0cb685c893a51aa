//! Requests running at the target, and their expected service time.
//!
//! Load pattern: a target slows down under load. Its responses show this only when they
//! arrive, and requests that are aborted for being slow never get one. The ages of
//! running requests therefore count as well.

use std::time::Duration;

use celeryshore_model::KindId;
use celeryshore_model::Rate;
use celeryshore_model::Time;

use super::run_times::RunTimes;
use super::start_rate::StartRate;
use crate::Speed;

/// Service time assumed before the first response.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(20);
/// Inverse weight of the latest response in the mean service time.
const SMOOTHING: u32 = 8;

/// Start times of the running requests, and the mean service time.
#[derive(Debug)]
pub(super) struct InFlight {
    starts: Vec<Time>,
    mean: Duration,
    start_rate: StartRate,
    run_times: RunTimes,
}

impl InFlight {
    pub(super) const fn new() -> Self {
        Self {
            starts: Vec::new(),
            mean: INITIAL_SERVICE_TIME,
            start_rate: StartRate::new(),
            run_times: RunTimes::new(),
        }
    }

    pub(super) fn count(&self) -> u32 {
        u32::try_from(self.starts.len()).unwrap_or(u32::MAX)
    }

    pub(super) fn record_start(&mut self, now: Time) {
        self.starts.push(now);
        self.start_rate.record(now);
    }

    /// Removes a request whose end says nothing about the service time.
    pub(super) fn remove(&mut self, since: Time) {
        if let Some(position) = self.starts.iter().position(|at| *at == since) {
            self.starts.swap_remove(position);
        }
    }

    /// Removes a request that got a response, and records its service time.
    pub(super) fn record_response(&mut self, now: Time, since: Time, kind: &KindId) {
        self.remove(since);
        self.run_times.observe(kind, now - since);
        self.update_mean(now - since);
    }

    /// Removes a request that was aborted. It would have taken longer, so its age only
    /// ever raises the mean.
    pub(super) fn record_abandoned(&mut self, now: Time, since: Time) {
        self.remove(since);
        if now - since > self.mean {
            self.update_mean(now - since);
        }
    }

    /// Returns the requests that started per second.
    pub(super) fn starts(&self, now: Time) -> Rate {
        self.start_rate.get(now)
    }

    /// Returns the speed of the target, given the usual run time of each kind.
    pub(super) fn speed(&self, usual: impl Fn(&KindId) -> Option<Duration>) -> Option<Speed> {
        self.run_times.speed(usual)
    }

    /// Forgets the run times of the kinds, because another target may have the place.
    pub(super) fn forget_speed(&mut self) {
        self.run_times = RunTimes::new();
    }

    fn update_mean(&mut self, elapsed: Duration) {
        self.mean = (self.mean * (SMOOTHING - 1) + elapsed) / SMOOTHING;
    }

    /// Returns the expected service time: the mean, or the mean that includes the ages
    /// of the running requests if that is longer.
    pub(super) fn service_time(&self, now: Time) -> Duration {
        let ages: Duration = self.starts.iter().map(|at| now - *at).sum();
        let mean_with_ages = (ages + self.mean) / (self.count() + 1);
        self.mean.max(mean_with_ages)
    }
}
