//! Limit on concurrent requests that adapts to the target's responses.

use std::time::Duration;

use celeryshore_model::KindId;
use celeryshore_model::Limits;
use celeryshore_model::Time;

use super::latency::LatencyBaseline;
use crate::Phase;

/// Minimum time between two increases of the limit.
const MIN_STEP_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time in cold start before the first increase.
const MIN_COLD_TIME: Duration = Duration::from_secs(1);
/// Rounds of responses in cold start before the first increase. A round is as many
/// responses under load as there are slots.
const MIN_COLD_ROUNDS: u32 = 4;
/// Time in cold start for which a report of the target that it is cold keeps the limit
/// from rising. A target that goes on reporting it doesn't keep the limit low forever.
const MAX_REPORT_TRUST: Duration = Duration::from_secs(30);
/// Maximum time between two increases of the limit.
const MAX_STEP_INTERVAL: Duration = Duration::from_secs(4);
/// Time without a decrease after which increases are as frequent as at first.
const STEP_INTERVAL_RESET: Duration = Duration::from_secs(30);
/// Number of responses within which a second overload counts as a cold start.
const OVERLOAD_WINDOW_RESPONSES: u32 = 8;
/// Consecutive failures after which the target counts as failed.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Interval between probe requests to a target that refused connections.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Age up to which an observation of this node outweighs the target's reports.
const MAX_OBSERVATION_AGE: Duration = Duration::from_secs(1);

/// What one request shows of the state of the target.
#[derive(Clone, Copy, Debug)]
pub(super) enum Observation<'a> {
    /// The target responded without a failure.
    Answered {
        kind: &'a KindId,
        /// Time from the start of the request to its response.
        elapsed: Duration,
        /// Number of running requests, this one included.
        running: u32,
    },
    /// The target responded with a failure.
    Failed,
    /// The target shed the request, or made no progress on it.
    Overloaded,
    /// The target broke the connection.
    Reset,
    /// The target accepted no connection.
    Refused,
}

/// Limit on concurrent requests that adapts to the target's responses.
///
/// It starts at the slots of a cold target, rises by half after each round of responses
/// under load, and falls on signs of overload. Each decrease doubles the time between
/// increases.
#[derive(Debug)]
pub(super) struct AdaptiveLimit {
    limits: Option<Limits>,
    current: u32,
    /// Responses since the last change while at least half of the slots were taken.
    loaded_responses: u32,
    responses_since_overload: u32,
    /// Consecutive failures.
    failures: u32,
    step_interval: Duration,
    last_change: Time,
    observed_at: Option<Time>,
    /// Time of the next probe request, while the target is down.
    down_until: Option<Time>,
    cold_since: Time,
    reported_phase: Option<Phase>,
    latency: LatencyBaseline,
}

impl AdaptiveLimit {
    pub(super) const fn new() -> Self {
        Self {
            limits: None,
            current: 0,
            loaded_responses: 0,
            responses_since_overload: OVERLOAD_WINDOW_RESPONSES,
            failures: 0,
            step_interval: MIN_STEP_INTERVAL,
            last_change: Time::ZERO,
            observed_at: None,
            down_until: None,
            cold_since: Time::ZERO,
            reported_phase: None,
            latency: LatencyBaseline::new(),
        }
    }

    /// Applies the limits of the configuration.
    pub(super) fn configure(&mut self, limits: Limits) {
        self.limits = Some(limits);
        self.current = self.current.clamp(self.floor(), self.ceiling());
    }

    /// Returns the number of slots.
    pub(super) const fn get(&self) -> u32 {
        self.current
    }

    pub(super) fn phase(&self) -> Phase {
        if self.down_until.is_some() {
            Phase::Down
        } else if self.limits.is_some() && self.current >= self.ceiling() {
            Phase::Warm
        } else if self.current > self.floor() {
            Phase::Warming
        } else {
            Phase::Cold
        }
    }

    /// Returns `true` if one more request may start beside `running` others. A target that
    /// is down gets one probe request at a time.
    pub(super) fn admits(&self, now: Time, running: u32) -> bool {
        match self.down_until {
            Some(until) => running == 0 && now >= until,
            None => running < self.current,
        }
    }

    /// Records what one request shows of the target. Returns `true` if the limit fell.
    pub(super) fn observe(&mut self, now: Time, observation: Observation<'_>) -> bool {
        let before = self.current;
        if self.observed_at.replace(now).is_none() {
            self.last_change = now;
            self.cold_since = now;
        }
        let was_down = self.down_until.take().is_some();
        match observation {
            Observation::Answered {
                kind,
                elapsed,
                running,
            } => self.record_response(now, kind, elapsed, running),
            Observation::Failed => self.record_failure(now),
            Observation::Overloaded => self.record_overload(now),
            Observation::Reset => self.lower(now, self.floor()),
            Observation::Refused => {
                self.down_until = Some(now + PROBE_INTERVAL);
                self.lower(now, self.floor());
            }
        }
        self.current < before || (self.down_until.is_some() && !was_down)
    }

    /// Records the phase that the target reports. A report can lower the limit or keep
    /// it from rising, but never raises it. Returns `true` if the limit fell.
    ///
    /// Reports lag, so they don't lower the limit of a warm target that was observed
    /// recently.
    pub(super) fn report_phase(&mut self, now: Time, phase: Phase) -> bool {
        self.reported_phase = Some(phase);
        let before = self.current;
        let is_observed = self
            .observed_at
            .is_some_and(|at| now - at < MAX_OBSERVATION_AGE);
        let is_warm = self.current >= self.ceiling();
        let is_lowered = match phase {
            Phase::Cold => !is_observed || (!is_warm && self.is_report_trusted(now)),
            Phase::Down => !is_observed,
            Phase::Warming | Phase::Warm | Phase::Draining => false,
        };
        if is_lowered && self.current > self.floor() {
            self.lower(now, self.floor());
        }
        self.current < before
    }

    /// Treats the target as cold again.
    pub(super) fn reset(&mut self, now: Time) {
        self.lower(now, self.floor());
    }

    fn record_response(&mut self, now: Time, kind: &KindId, elapsed: Duration, running: u32) {
        self.responses_since_overload = self.responses_since_overload.saturating_add(1);
        self.failures = 0;
        if self.latency.record(kind, elapsed) {
            self.lower(now, self.floor());
            return;
        }
        if running * 2 >= self.current {
            self.loaded_responses += 1;
        }
        if now - self.last_change > STEP_INTERVAL_RESET {
            self.step_interval = MIN_STEP_INTERVAL;
        }
        if self.is_step_due(now) {
            self.raise(now);
        }
    }

    /// Returns `true` if the responses since the last change justify an increase.
    fn is_step_due(&self, now: Time) -> bool {
        let waited = now - self.last_change;
        if self.current > self.floor() {
            return self.loaded_responses >= self.current && waited >= self.step_interval;
        }
        let is_reported_cold =
            self.reported_phase == Some(Phase::Cold) && self.is_report_trusted(now);
        self.loaded_responses >= self.current * MIN_COLD_ROUNDS
            && waited >= self.step_interval.max(MIN_COLD_TIME)
            && !is_reported_cold
    }

    fn is_report_trusted(&self, now: Time) -> bool {
        now - self.cold_since < MAX_REPORT_TRUST
    }

    /// Counts a failure. A few failures may be due to the requests themselves; only
    /// consecutive failures mean that the target has failed.
    fn record_failure(&mut self, now: Time) {
        self.failures += 1;
        if self.failures >= MAX_CONSECUTIVE_FAILURES {
            self.lower(now, self.floor());
        }
    }

    fn record_overload(&mut self, now: Time) {
        let is_repeated = self.responses_since_overload < OVERLOAD_WINDOW_RESPONSES;
        self.responses_since_overload = 0;
        let to = if is_repeated { 0 } else { self.current / 2 };
        self.lower(now, to);
    }

    fn raise(&mut self, now: Time) {
        let next = self.current + (self.current / 2).max(1);
        self.current = next.min(self.ceiling());
        self.loaded_responses = 0;
        self.last_change = now;
    }

    fn lower(&mut self, now: Time, to: u32) {
        let to = to.max(self.floor());
        if to < self.current {
            self.step_interval = (self.step_interval * 2).min(MAX_STEP_INTERVAL);
            self.latency = LatencyBaseline::new();
        }
        self.current = to.min(self.current);
        self.loaded_responses = 0;
        self.last_change = now;
        if self.current == self.floor() {
            self.cold_since = now;
        }
    }

    fn floor(&self) -> u32 {
        let cold = self.limits.map_or(0, |l| l.cold_slots.get().max(1));
        cold.min(self.ceiling())
    }

    fn ceiling(&self) -> u32 {
        self.limits.map_or(0, |l| l.slots.get())
    }
}
