//! What the handing node knows of the load of one upstream.

use std::time::Duration;

use celeryshore_model::Time;
use serde::Serialize;

use crate::LoadReport;
use crate::Phase;

/// Age at which a report says nothing any more of the work in flight.
const REPORT_HORIZON: Duration = Duration::from_secs(1);
/// Service time that is assumed for a first request to an upstream.
const ASSUMED_SERVICE_TIME: Duration = Duration::from_millis(20);
/// Times the usual service time that a target is assumed to take in cold start.
const COLD_FACTOR: u32 = 2;
/// First time for which a failing upstream is avoided.
const MIN_PENALTY: Duration = Duration::from_millis(200);
/// Longest time for which a failing upstream is avoided.
const MAX_PENALTY: Duration = Duration::from_secs(5);
/// Failures in a row beyond which the penalty no longer grows.
const MAX_DOUBLINGS: u32 = 5;

/// Load of one upstream: own work there, and the latest report.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(in crate::requests) struct UpstreamLoad {
    outstanding: u32,
    report: LoadReport,
    others: u32,
    reported_at: Option<Time>,
    avoid_until: Time,
    failures: u32,
}

/// What is assumed of an upstream where it has not told this node.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadDefaults {
    /// Its limit.
    pub(super) limit: u32,
    /// Mean service time of the warm upstreams of its service.
    pub(super) mean_service_time: Duration,
    /// Whether the platform says that it is in cold start.
    pub(super) is_cold: bool,
}

impl UpstreamLoad {
    /// Records a hand-over.
    pub(super) fn start_request(&mut self) {
        self.outstanding += 1;
    }

    /// Records the end of a hand-over.
    pub(super) fn end_request(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// Takes the report that came with a reply.
    pub(super) fn record_report(&mut self, now: Time, report: LoadReport) {
        self.others = report.in_flight.saturating_sub(self.outstanding);
        self.report = report;
        self.reported_at = Some(now);
    }

    /// Records that the upstream works.
    pub(super) fn record_success(&mut self) {
        self.failures = 0;
        self.avoid_until = Time::ZERO;
    }

    /// Avoids the upstream, longer after each failure in a row.
    pub(super) fn penalize(&mut self, now: Time) {
        let penalty = MIN_PENALTY * (1 << self.failures.min(MAX_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        self.avoid_until = now + penalty.min(MAX_PENALTY);
    }

    /// Tells whether the upstream failed lately.
    pub(super) fn is_avoided(&self, now: Time) -> bool {
        now < self.avoid_until
    }

    /// Returns the limit of the upstream.
    fn limit(&self, defaults: LoadDefaults) -> u32 {
        match self.reported_at {
            Some(_) => self.report.limit.max(1),
            None => defaults.limit.max(1),
        }
    }

    /// Returns the service time that the target told when it was warm.
    pub(super) fn warm_time(&self) -> Option<Duration> {
        let is_warm = self.report.phase == Phase::Warm;
        Some(self.report.service_time).filter(|told| is_warm && !told.is_zero())
    }

    /// Returns the load in thousandths of the limit.
    ///
    /// The work of other nodes is taken from the report. The older the report,
    /// the more the upstream counts as half loaded, so that one with an old
    /// report does not look idle to all nodes at once.
    pub(super) fn ratio(&self, now: Time, defaults: LoadDefaults) -> u64 {
        let limit = u64::from(self.limit(defaults));
        let own = u64::from(self.outstanding) * 1_000;
        let fresh = self.freshness(now);
        let reported = u64::from(self.others) * fresh;
        let assumed = limit * (1_000 - fresh) / 2;
        (own + reported + assumed) / limit
    }

    /// Tells whether one of `sharers` handing nodes may hand over more without
    /// overflowing the upstream.
    ///
    /// While the target is not warm, each handing node takes only its share.
    pub(super) fn has_room(&self, now: Time, defaults: LoadDefaults, sharers: u32) -> bool {
        let limit = self.limit(defaults);
        let share = match self.report.phase {
            Phase::Warm => limit,
            _ => limit.div_ceil(sharers.max(1)),
        };
        self.outstanding < share && self.ratio(now, defaults) < 1_000
    }

    /// Returns how long one more request would wait for a slot.
    pub(super) fn wait(&self, now: Time, defaults: LoadDefaults) -> Duration {
        let limit = u64::from(self.limit(defaults));
        let over = (self.ratio(now, defaults) + 1_000 / limit).saturating_sub(1_000);
        let over = u32::try_from(over).unwrap_or(u32::MAX);
        let queued = self.service_time(now, defaults).saturating_mul(over) / 1_000;
        let fresh = u32::try_from(self.freshness(now)).unwrap_or(0);
        match self.report.phase {
            Phase::Warm => queued,
            _ => queued.max(self.report.wait * fresh / 1_000),
        }
    }

    /// Returns the expected time to the end of one more request, with a part for
    /// the slots in use: a target slows down as it fills up.
    pub(super) fn cost(&self, now: Time, defaults: LoadDefaults) -> Duration {
        let used = u32::try_from(self.ratio(now, defaults).min(1_000)).unwrap_or(1_000);
        let run = self.service_time(now, defaults) * (1_000 + used) / 1_000;
        run + self.wait(now, defaults)
    }

    /// Returns the expected time of a run.
    ///
    /// Load pattern: targets that join or are replaced one after the other. One in
    /// cold start is slow, so it gets what the warm ones have no room for. Once it
    /// is warm, what it told before says nothing, and one request tries it.
    fn service_time(&self, now: Time, defaults: LoadDefaults) -> Duration {
        let told = self.report.service_time;
        let is_past = !defaults.is_cold && self.report.phase == Phase::Cold;
        let is_old = self.freshness(now) == 0;
        if !(told.is_zero() || is_past && is_old) {
            return told;
        }
        let mean_service_time = defaults.mean_service_time.max(ASSUMED_SERVICE_TIME);
        if defaults.is_cold {
            mean_service_time * COLD_FACTOR
        } else if self.outstanding == 0 {
            ASSUMED_SERVICE_TIME
        } else {
            mean_service_time
        }
    }

    /// Returns in thousandths how far the report can be believed.
    fn freshness(&self, now: Time) -> u64 {
        let Some(at) = self.reported_at else {
            return 0;
        };
        let left = REPORT_HORIZON.saturating_sub(now - at);
        u64::try_from(left.as_micros() * 1_000 / REPORT_HORIZON.as_micros()).unwrap_or(0)
    }
}
