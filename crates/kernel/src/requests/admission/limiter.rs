//! Limit on the number of concurrent requests at the target.

use std::time::Duration;

use celeryshore_model::Limits;
use celeryshore_model::Slots;
use celeryshore_model::Time;
use derive_more::From;

use super::adaptive_limit::AdaptiveLimit;
use super::adaptive_limit::Observation;
use super::pacer::Pacer;
use crate::Health;
use crate::Phase;
use crate::requests::terms::ColdStartTerms;

/// Limit on the number of concurrent requests at the target.
///
/// If the platform states no rate for cold starts, the limit adapts to the target's
/// responses. Otherwise the configured slots apply, and the rate while the target is in
/// cold start.
#[derive(Debug, From)]
pub(super) enum Limiter {
    /// Number of slots that adapts to the target's responses.
    Adaptive(AdaptiveLimit),
    /// Fixed number of slots, and a rate limit during cold start.
    Paced(PacedLimit),
}

/// Fixed number of slots, and a rate limit during cold start.
#[derive(Debug)]
pub(super) struct PacedLimit {
    slots: u32,
    pacer: Pacer,
}

impl Limiter {
    /// Creates the limiter of a node without a configuration.
    pub(super) const fn new() -> Self {
        Self::Adaptive(AdaptiveLimit::new())
    }

    /// Applies the limits of the configuration. `slots` replaces the slots of `limits`
    /// if the platform states them for this target.
    pub(super) fn configure(
        &mut self,
        now: Time,
        limits: Limits,
        slots: Option<Slots>,
        terms: ColdStartTerms,
    ) {
        let Some(cold) = limits.cold_start else {
            if let Self::Adaptive(limit) = self {
                limit.configure(limits);
            }
            return;
        };
        let slots = slots.unwrap_or(limits.slots).get();
        let allowed = terms.allowed(cold.rate);
        if let Self::Paced(paced) = self {
            paced.slots = slots;
            paced.pacer.configure(cold, allowed);
        } else {
            let pacer = Pacer::new(now, cold, allowed);
            *self = PacedLimit { slots, pacer }.into();
        }
    }

    /// Returns `true` if one more request may start beside `running` others.
    pub(super) fn admits(&self, now: Time, running: u32) -> bool {
        match self {
            Self::Adaptive(limit) => limit.admits(now, running),
            Self::Paced(paced) => running < paced.slots && paced.pacer.admits(now),
        }
    }

    /// Returns the number of slots.
    pub(super) const fn get(&self) -> u32 {
        match self {
            Self::Adaptive(limit) => limit.get(),
            Self::Paced(paced) => paced.slots,
        }
    }

    pub(super) fn phase(&self, now: Time) -> Phase {
        match self {
            Self::Adaptive(limit) => limit.phase(),
            Self::Paced(paced) => paced.pacer.phase(now),
        }
    }

    /// Records that a request is sent to the target.
    pub(super) fn record_sent(&mut self, now: Time) {
        if let Self::Paced(paced) = self {
            paced.pacer.record_sent(now);
        }
    }

    /// Returns how long the rate limit delays a request that has `ahead` others before
    /// it.
    pub(super) fn pace_wait(&self, now: Time, ahead: usize) -> Duration {
        match self {
            Self::Adaptive(_) => Duration::ZERO,
            Self::Paced(paced) => paced.pacer.wait(now, ahead),
        }
    }

    /// Returns when the rate limit admits the next request or a health check is due,
    /// whichever comes first.
    pub(super) fn next_at(&self, now: Time) -> Option<Time> {
        let Self::Paced(paced) = self else {
            return None;
        };
        let due = [paced.pacer.next_at(now), paced.pacer.health_check_at()];
        due.into_iter().flatten().min()
    }

    /// Returns `true` if a health check is due now, and marks it as started.
    pub(super) fn take_due_health_check(&mut self, now: Time) -> bool {
        let Self::Paced(paced) = self else {
            return false;
        };
        let is_due = paced.pacer.health_check_at().is_some_and(|at| at <= now);
        if is_due {
            paced.pacer.begin_health_check();
        }
        is_due
    }

    /// Delays the next health check, because there is no target to check.
    pub(super) fn postpone_health_check(&mut self, now: Time) {
        if let Self::Paced(paced) = self {
            paced.pacer.postpone_health_check(now);
        }
    }

    /// Records what one request shows of the target. Returns `true` if the limit fell.
    pub(super) fn observe(&mut self, now: Time, observation: Observation<'_>) -> bool {
        match self {
            Self::Adaptive(limit) => limit.observe(now, observation),
            Self::Paced(paced) => {
                match observation {
                    Observation::Refused => paced.pacer.mark_down(now),
                    Observation::Reset => paced.pacer.mark_unknown(now),
                    Observation::Answered { .. }
                    | Observation::Failed
                    | Observation::Overloaded => {
                        return false;
                    }
                }
                true
            }
        }
    }

    /// Records the phase that the target reports. Returns `true` if the limit fell.
    pub(super) fn report_phase(&mut self, now: Time, phase: Phase) -> bool {
        match self {
            Self::Adaptive(limit) => limit.report_phase(now, phase),
            Self::Paced(_) => false,
        }
    }

    /// Treats the target as cold again.
    pub(super) fn reset(&mut self, now: Time) {
        match self {
            Self::Adaptive(limit) => limit.reset(now),
            Self::Paced(paced) => paced.pacer.reset(now),
        }
    }

    /// Records the remaining cold start time that the target reports through the
    /// platform.
    pub(super) fn report_cold_start(&mut self, now: Time, cold_for: Duration) {
        if let Self::Paced(paced) = self {
            paced.pacer.report_cold_start(now, cold_for);
        }
    }

    /// Records the result of a health check of the target.
    pub(super) fn record_health(&mut self, now: Time, health: Health) {
        if let Self::Paced(paced) = self {
            paced.pacer.record_health(now, health);
        }
    }
}
