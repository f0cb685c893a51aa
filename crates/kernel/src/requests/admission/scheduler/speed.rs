//! Figures of the target's throughput.

use std::time::Duration;

use celeryshore_model::KindId;
use celeryshore_model::Rate;
use celeryshore_model::Time;

use super::Scheduler;
use crate::Speed;

impl Scheduler {
    /// Returns the requests that the target starts per second.
    pub(in super::super) fn starts(&self, now: Time) -> Rate {
        self.in_flight.starts(now)
    }

    /// Returns the speed of the target, given the usual run time of each kind over all
    /// targets.
    pub(in super::super) fn speed(
        &self,
        usual: impl Fn(&KindId) -> Option<Duration>,
    ) -> Option<Speed> {
        self.in_flight.speed(usual)
    }
}
