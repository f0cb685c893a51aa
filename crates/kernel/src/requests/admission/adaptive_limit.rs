//! How many requests a target bears at one time, from its own answers.

use std::time::Duration;

use celeryshore_model::KindId;
use celeryshore_model::Limits;
use celeryshore_model::Time;

use super::latency::Latency;
use crate::Phase;

/// Shortest time between two steps up.
const MIN_STEP_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time in cold start before the first step up.
const COLD_INTERVAL: Duration = Duration::from_secs(1);
/// Rounds of answers in cold start before the first step up.
const COLD_ROUNDS: u32 = 4;
/// Time for which a target that says it is cold is believed.
const CLAIM_TRUST: Duration = Duration::from_secs(30);
/// Longest time between two steps up.
const MAX_STEP_INTERVAL: Duration = Duration::from_secs(4);
/// Quiet time after which steps up are quick again.
const CALM: Duration = Duration::from_secs(30);
/// Answers among which two overloads mean a cold start.
const WINDOW: u32 = 8;
/// Failures in a row that mean a fallen target.
const MAX_FAILURES: u32 = 3;
/// Time between two requests that find out whether the target is back.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Age up to which own evidence counts more than the target's claims.
const EVIDENCE_FRESH: Duration = Duration::from_secs(1);

/// What one request at the target shows of its state.
#[derive(Clone, Copy, Debug)]
pub(super) enum Evidence<'a> {
    /// It answered.
    Answered {
        /// Request kind.
        kind: &'a KindId,
        /// How long it took.
        elapsed: Duration,
        /// Requests that ran beside it, itself counted.
        running: u32,
    },
    /// It answered that it failed.
    Failed,
    /// It refused for load, or made no progress.
    Overloaded,
    /// It broke the connection.
    Reset,
    /// It accepted no connection.
    Refused,
}

/// Limit of the requests that run at one time at a target.
///
/// It begins at what a target in cold start bears, rises by half after each
/// round of answers under load, and falls on signs of overload. Steps up come
/// more slowly after each fall.
#[derive(Debug)]
pub(super) struct Limit {
    limits: Option<Limits>,
    current: u32,
    good: u32,
    since_overload: u32,
    failures: u32,
    step_interval: Duration,
    changed_at: Time,
    evidence_at: Option<Time>,
    down_until: Option<Time>,
    cold_since: Time,
    claimed: Option<Phase>,
    latency: Latency,
}

impl Limit {
    /// Makes the limit of a target that nothing is known of.
    pub(super) const fn new() -> Self {
        Self {
            limits: None,
            current: 0,
            good: 0,
            since_overload: WINDOW,
            failures: 0,
            step_interval: MIN_STEP_INTERVAL,
            changed_at: Time::ZERO,
            evidence_at: None,
            down_until: None,
            cold_since: Time::ZERO,
            claimed: None,
            latency: Latency::new(),
        }
    }

    /// Takes what the target can bear from the configuration.
    pub(super) fn configure(&mut self, limits: Limits) {
        self.limits = Some(limits);
        self.current = self.current.clamp(self.floor(), self.ceiling());
    }

    /// Returns how many requests may run at one time.
    pub(super) const fn get(&self) -> u32 {
        self.current
    }

    /// Returns the phase of the target.
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

    /// Tells whether one more request may run beside `running` others.
    pub(super) fn admits(&self, now: Time, running: u32) -> bool {
        match self.down_until {
            Some(until) => running == 0 && now >= until,
            None => running < self.current,
        }
    }

    /// Learns from one request; tells whether the limit fell.
    pub(super) fn observe(&mut self, now: Time, evidence: Evidence<'_>) -> bool {
        let before = self.current;
        if self.evidence_at.replace(now).is_none() {
            self.changed_at = now;
            self.cold_since = now;
        }
        let was_down = self.down_until.take().is_some();
        match evidence {
            Evidence::Answered {
                kind,
                elapsed,
                running,
            } => self.answered(now, kind, elapsed, running),
            Evidence::Failed => self.failed(now),
            Evidence::Overloaded => self.overloaded(now),
            Evidence::Reset => self.fall(now, self.floor()),
            Evidence::Refused => {
                self.down_until = Some(now + PROBE_INTERVAL);
                self.fall(now, self.floor());
            }
        }
        self.current < before || (self.down_until.is_some() && !was_down)
    }

    /// Takes the target's own claim, which may only lower the limit or keep it
    /// from rising; tells whether it fell.
    ///
    /// A warm target with fresh answers is not lowered, since claims lag.
    pub(super) fn claim(&mut self, now: Time, phase: Phase) -> bool {
        self.claimed = Some(phase);
        let before = self.current;
        let is_known = self.evidence_at.is_some_and(|at| now - at < EVIDENCE_FRESH);
        let is_warm = self.current >= self.ceiling();
        let falls = match phase {
            Phase::Cold => !is_known || (!is_warm && self.is_claim_trusted(now)),
            Phase::Down => !is_known,
            Phase::Warming | Phase::Warm | Phase::Draining => false,
        };
        if falls && self.current > self.floor() {
            self.fall(now, self.floor());
        }
        self.current < before
    }

    /// Begins again with a cold target.
    pub(super) fn reset(&mut self, now: Time) {
        self.fall(now, self.floor());
    }

    fn answered(&mut self, now: Time, kind: &KindId, elapsed: Duration, running: u32) {
        self.since_overload = self.since_overload.saturating_add(1);
        self.failures = 0;
        if self.latency.is_jump(kind, elapsed) {
            self.fall(now, self.floor());
            return;
        }
        if running * 2 >= self.current {
            self.good += 1;
        }
        if now - self.changed_at > CALM {
            self.step_interval = MIN_STEP_INTERVAL;
        }
        if self.is_due(now) {
            self.rise(now);
        }
    }

    /// Tells whether there is evidence enough for a step up.
    fn is_due(&self, now: Time) -> bool {
        let waited = now - self.changed_at;
        if self.current > self.floor() {
            return self.good >= self.current && waited >= self.step_interval;
        }
        let says_cold = self.claimed == Some(Phase::Cold) && self.is_claim_trusted(now);
        self.good >= self.current * COLD_ROUNDS
            && waited >= self.step_interval.max(COLD_INTERVAL)
            && !says_cold
    }

    fn is_claim_trusted(&self, now: Time) -> bool {
        now - self.cold_since < CLAIM_TRUST
    }

    /// A few failures may be the requests' own fault; nothing but failures in a
    /// row means that the target has fallen.
    fn failed(&mut self, now: Time) {
        self.failures += 1;
        if self.failures >= MAX_FAILURES {
            self.fall(now, self.floor());
        }
    }

    fn overloaded(&mut self, now: Time) {
        let is_repeated = self.since_overload < WINDOW;
        self.since_overload = 0;
        let to = if is_repeated { 0 } else { self.current / 2 };
        self.fall(now, to);
    }

    fn rise(&mut self, now: Time) {
        let next = self.current + (self.current / 2).max(1);
        self.current = next.min(self.ceiling());
        self.good = 0;
        self.changed_at = now;
    }

    fn fall(&mut self, now: Time, to: u32) {
        let to = to.max(self.floor());
        if to < self.current {
            self.step_interval = (self.step_interval * 2).min(MAX_STEP_INTERVAL);
            self.latency = Latency::new();
        }
        self.current = to.min(self.current);
        self.good = 0;
        self.changed_at = now;
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
