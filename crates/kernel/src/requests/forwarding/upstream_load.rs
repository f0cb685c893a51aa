//! Load of an upstream, as the forwarding node estimates it.

use std::time::Duration;

use celeryshore_model::Incarnation;
use celeryshore_model::Time;
use serde::Serialize;

use crate::LoadReport;
use crate::Phase;
use crate::TargetStatement;

/// Age at which a report no longer reflects the requests in flight.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);
/// Service time assumed for the first request to an upstream.
const ASSUMED_SERVICE_TIME: Duration = Duration::from_millis(20);
/// Multiple of the mean service time assumed for a target in cold start.
const COLD_FACTOR: u32 = 2;
/// Time for which an upstream is avoided after its first failure.
const MIN_PENALTY: Duration = Duration::from_millis(200);
/// Maximum time for which a failing upstream is avoided.
const MAX_PENALTY: Duration = Duration::from_secs(5);
/// Number of consecutive failures after which the penalty no longer doubles.
const MAX_DOUBLINGS: u32 = 5;

/// Load of one upstream: this node's requests there and the latest report.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(in crate::requests) struct UpstreamLoad {
    /// Requests of this node that have no reply yet.
    outstanding: u32,
    report: LoadReport,
    /// Requests in flight from other nodes, at the time of the report.
    others: u32,
    reported_at: Option<Time>,
    /// What the target last stated about itself, and when it was stated.
    statement: Option<(TargetStatement, Time)>,
    avoid_until: Time,
    /// Number of consecutive failures.
    failures: u32,
}

/// Assumptions about an upstream that has not reported a value to this node.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadDefaults {
    /// Number of requests that it may run at one time.
    pub(super) limit: u32,
    /// Mean service time of the warm upstreams of its service.
    pub(super) mean_service_time: Duration,
    /// Whether the platform reports it as in cold start.
    pub(super) is_cold: bool,
}

impl UpstreamLoad {
    /// Records that a request was sent to the upstream.
    pub(super) fn start_request(&mut self) {
        self.outstanding += 1;
    }

    /// Records that a request ended, with or without a reply.
    pub(super) fn end_request(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// Stores the load report from a reply.
    pub(super) fn record_report(&mut self, now: Time, report: LoadReport) {
        self.others = report.in_flight.saturating_sub(self.outstanding);
        self.report = report;
        self.reported_at = Some(now);
    }

    /// Stores what the target states about itself, from a reply.
    pub(super) fn record_statement(&mut self, now: Time, statement: TargetStatement) {
        let stated_at = Time::ZERO + (now - Time::ZERO).saturating_sub(statement.age);
        let is_later = |(known, at): (TargetStatement, Time)| {
            known.target != statement.target || at <= stated_at
        };
        if self.statement.is_none_or(is_later) {
            let is_leaving = statement.is_leaving || self.is_leaving(statement.target);
            let statement = TargetStatement {
                is_leaving,
                ..statement
            };
            self.statement = Some((statement, stated_at));
        }
    }

    /// Returns what the target last stated about itself, with its present age.
    pub(super) fn statement(&self, now: Time) -> Option<TargetStatement> {
        self.statement.map(|(statement, at)| TargetStatement {
            age: now - at,
            ..statement
        })
    }

    /// Returns `true` if this incarnation of the target has stated that it leaves.
    pub(super) fn is_leaving(&self, target: Incarnation) -> bool {
        self.statement
            .is_some_and(|(known, _)| known.target == target && known.is_leaving)
    }

    /// Returns `true` if the target limits the rate of its requests.
    fn is_rate_limited(&self) -> bool {
        self.statement
            .is_some_and(|(statement, _)| statement.rate_limit.is_some())
    }

    /// Records a successful response and ends the penalty.
    pub(super) fn record_success(&mut self) {
        self.failures = 0;
        self.avoid_until = Time::ZERO;
    }

    /// Avoids the upstream for a time that doubles with each consecutive failure.
    pub(super) fn penalize(&mut self, now: Time) {
        let penalty = MIN_PENALTY * (1 << self.failures.min(MAX_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        self.avoid_until = now + penalty.min(MAX_PENALTY);
    }

    /// Returns `true` while a penalty lasts.
    pub(super) fn is_avoided(&self, now: Time) -> bool {
        now < self.avoid_until
    }

    /// Returns the number of requests that the upstream may run at one time.
    fn limit(&self, defaults: LoadDefaults) -> u32 {
        match self.reported_at {
            Some(_) => self.report.limit.max(1),
            None => defaults.limit.max(1),
        }
    }

    /// Returns the latest reported service time if the target was warm.
    pub(super) fn warm_time(&self) -> Option<Duration> {
        let is_warm = self.report.phase == Phase::Warm;
        Some(self.report.service_time).filter(|reported| is_warm && !reported.is_zero())
    }

    /// Returns the load in thousandths of the limit.
    ///
    /// The requests of other nodes are taken from the report. As the report ages, the
    /// estimate moves to half load, so that an upstream with an old report doesn't
    /// look idle to all nodes at once.
    pub(super) fn ratio(&self, now: Time, defaults: LoadDefaults) -> u64 {
        let limit = u64::from(self.limit(defaults));
        let own = u64::from(self.outstanding) * 1_000;
        let fresh = self.freshness(now);
        let reported = u64::from(self.others) * fresh;
        let assumed = limit * (1_000 - fresh) / 2;
        (own + reported + assumed) / limit
    }

    /// Returns the age of the latest report, if there is one.
    pub(super) fn report_age(&self, now: Time) -> Option<Duration> {
        self.reported_at.map(|at| now - at)
    }

    /// Returns the slots that are probably free.
    pub(super) fn free_slots(&self, now: Time, defaults: LoadDefaults) -> f64 {
        let free = 1_000_u64.saturating_sub(self.ratio(now, defaults));
        let free = u32::try_from(free).unwrap_or_default();
        f64::from(self.limit(defaults)) * f64::from(free) / 1_000.0
    }

    /// Returns `true` if one of `sharers` forwarding nodes may send another request
    /// without exceeding the upstream's limit.
    ///
    /// While the target isn't warm, each forwarding node uses only its share of the
    /// limit.
    pub(super) fn has_room(&self, now: Time, defaults: LoadDefaults, sharers: u32) -> bool {
        let limit = self.limit(defaults);
        let share = match self.report.phase {
            Phase::Warm => limit,
            _ => limit.div_ceil(sharers.max(1)),
        };
        self.outstanding < share && self.ratio(now, defaults) < 1_000 && !self.is_delayed(now)
    }

    /// Returns `true` if the target's rate limit delays another request.
    pub(super) fn is_delayed(&self, now: Time) -> bool {
        self.is_rate_limited() && !self.reported_wait(now).is_zero()
    }

    /// Returns the expected wait of one more request for a slot.
    pub(super) fn wait(&self, now: Time, defaults: LoadDefaults) -> Duration {
        let limit = u64::from(self.limit(defaults));
        let over = (self.ratio(now, defaults) + 1_000 / limit).saturating_sub(1_000);
        let over = u32::try_from(over).unwrap_or(u32::MAX);
        let queued = self.service_time(now, defaults).saturating_mul(over) / 1_000;
        match self.report.phase {
            Phase::Warm if !self.is_rate_limited() => queued,
            _ => queued.max(self.reported_wait(now)),
        }
    }

    /// Returns the reported wait, less as the report ages. A rate limit has room after
    /// exactly that wait.
    fn reported_wait(&self, now: Time) -> Duration {
        if self.is_rate_limited() {
            let age = self.reported_at.map_or(Duration::ZERO, |at| now - at);
            return self.report.wait.saturating_sub(age);
        }
        let fresh = u32::try_from(self.freshness(now)).unwrap_or(0);
        self.report.wait.saturating_mul(fresh) / 1_000
    }

    /// Returns the expected response time of one more request.
    ///
    /// It grows with the share of slots in use, because targets slow down under load.
    pub(super) fn cost(&self, now: Time, defaults: LoadDefaults) -> Duration {
        let used = u32::try_from(self.ratio(now, defaults).min(1_000)).unwrap_or(1_000);
        let run = self.service_time(now, defaults) * (1_000 + used) / 1_000;
        run + self.wait(now, defaults)
    }

    /// Returns the reported time until the link has sent all large responses, less the
    /// age of the report.
    pub(super) fn link_wait(&self, now: Time) -> Duration {
        let age = self.reported_at.map_or(Duration::ZERO, |at| now - at);
        self.report.link_wait.saturating_sub(age)
    }

    /// Returns the expected service time of one more request.
    ///
    /// Load pattern: targets that join or are replaced one after the other. A target
    /// in cold start is slow, so it only gets requests that the warm ones have no room
    /// for. Once it is warm, its old reports from the cold start are ignored, and one
    /// request probes it.
    fn service_time(&self, now: Time, defaults: LoadDefaults) -> Duration {
        let reported = self.report.service_time;
        let is_past = !defaults.is_cold && self.report.phase == Phase::Cold;
        let is_old = self.freshness(now) == 0;
        if !(reported.is_zero() || is_past && is_old) {
            return reported;
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

    /// Returns the weight of the report in thousandths; it falls with the report's age.
    fn freshness(&self, now: Time) -> u64 {
        let Some(at) = self.reported_at else {
            return 0;
        };
        let left = MAX_REPORT_AGE.saturating_sub(now - at);
        u64::try_from(left.as_micros() * 1_000 / MAX_REPORT_AGE.as_micros()).unwrap_or(0)
    }
}
