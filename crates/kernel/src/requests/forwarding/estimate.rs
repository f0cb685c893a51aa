//! Estimate of a target's load from an outdated report.
//!
//! Load pattern: reports that are as old as a run takes. In that time most of the requests
//! that were reported have ended and others have arrived. The estimate moves from the
//! reported number of requests to the one that the rate of starts keeps at the target.

use std::time::Duration;

use celeryshore_model::Time;

use super::own_sends::SendsAt;
use crate::requests::load_board::TargetLoad;

/// Service time assumed while no target of the service has reported one.
const ASSUMED_SERVICE_TIME: Duration = Duration::from_millis(20);
/// Least service time, which avoids a division by zero.
const MIN_SERVICE_TIME: Duration = Duration::from_millis(1);
/// Share of the slots assumed to be in use while no target of the service has reported.
const ASSUMED_USE: f64 = 0.5;

/// Means over the targets of a service with a usable report.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceMeans {
    /// Requests at a target, as a share of its slots.
    used: f64,
    service_time: Duration,
}

impl ServiceMeans {
    /// Computes the means of these reports.
    pub(super) fn of(now: Time, loads: impl Iterator<Item = TargetLoad>) -> Self {
        let (mut used, mut time, mut count) = (0.0, Duration::ZERO, 0);
        for load in loads.filter(|load| load.is_usable(now)) {
            let report = load.report;
            used += f64::from(report.in_flight) / f64::from(report.limit.max(1));
            time += report.service_time;
            count += 1;
        }
        if count == 0 {
            return Self {
                used: ASSUMED_USE,
                service_time: ASSUMED_SERVICE_TIME,
            };
        }
        Self {
            used: used / f64::from(count),
            service_time: (time / count).max(MIN_SERVICE_TIME),
        }
    }
}

/// Expected load of a target.
#[derive(Clone, Copy, Debug)]
pub(super) struct Estimate {
    /// Expected requests that run or wait there.
    in_flight: f64,
    /// Expected free slots; positive even if all are probably in use but the report is old.
    free: f64,
    limit: f64,
    speed: f64,
    service_time: Duration,
}

impl Estimate {
    /// Estimates the load of a target from its latest report and the open requests of this
    /// node.
    pub(super) fn new(
        now: Time,
        load: Option<TargetLoad>,
        means: ServiceMeans,
        default_limit: u32,
        sends: SendsAt<'_>,
    ) -> Self {
        let Some(load) = load.filter(|load| load.is_usable(now)) else {
            let limit = f64::from(default_limit.max(1));
            let in_flight = means.used * limit + f64::from(sends.count());
            return Self {
                in_flight,
                free: expected_free(limit - in_flight, means.used * limit),
                limit,
                speed: 1.0,
                service_time: means.service_time,
            };
        };
        let report = load.report;
        let limit = f64::from(report.limit.max(1));
        let service_time = report.service_time.max(MIN_SERVICE_TIME);
        let age = now - load.measured_at;
        let kept = (-age.as_secs_f64() / service_time.as_secs_f64()).exp();
        let steady = match report.starts.interval() {
            Some(interval) => {
                let offered = service_time.as_secs_f64() / interval.as_secs_f64();
                f64::midpoint(offered, means.used * limit).min(limit)
            }
            None => means.used * limit,
        };
        let others = f64::from(report.in_flight) * kept + steady * (1.0 - kept);
        let in_flight = others + f64::from(sends.count_since(load.measured_at));
        // Each open request is there still, however old the report.
        let in_flight = in_flight.max(f64::from(sends.count()));
        let variance = steady * (1.0 - kept * kept);
        Self {
            in_flight,
            free: expected_free(limit - in_flight, variance),
            limit,
            speed: report.speed.unwrap_or_default().factor(),
            service_time,
        }
    }

    /// Reduces the expected free capacity by this divisor.
    pub(super) fn reduce(&mut self, divisor: u32) {
        self.free /= f64::from(divisor);
    }

    /// Returns the expected capacity that is free, as a multiple of a slot of usual speed.
    pub(super) fn free_capacity(&self) -> f64 {
        self.free * self.speed
    }

    /// Returns `true` if at least so many slots are expected to be free.
    pub(super) fn has_free_slots(&self, slots: f64) -> bool {
        self.limit - self.in_flight >= slots
    }

    /// Returns the expected wait of one more request for a slot.
    pub(super) fn wait(&self) -> Duration {
        let ahead = (self.in_flight + 1.0 - self.limit).max(0.0);
        self.service_time.mul_f64(ahead / self.limit)
    }

    /// Returns the expected time from now to the response of one more request that usually
    /// runs for `run_time`.
    pub(super) fn finish(&self, run_time: Option<Duration>) -> Duration {
        let run = run_time.map_or(self.service_time, |run| run.div_f64(self.speed));
        run + self.wait()
    }
}

/// Part of the standard deviation over which the expectation of a positive number rises
/// from zero to the number (logistic approximation of the normal distribution).
const LOGISTIC_SCALE: f64 = 0.55;
/// Least scale, in slots, since other nodes know the same report and act on it.
const MIN_SCALE: f64 = 0.5;

/// Exponent from which the expectation equals the mean.
const MAX_EXPONENT: f64 = 30.0;

/// Returns the expectation of the free slots, never negative, of which `mean` are expected
/// with this variance.
fn expected_free(mean: f64, variance: f64) -> f64 {
    let scale = (variance.sqrt() * LOGISTIC_SCALE).max(MIN_SCALE);
    if mean > scale * MAX_EXPONENT {
        return mean;
    }
    scale * (mean / scale).exp().ln_1p()
}
