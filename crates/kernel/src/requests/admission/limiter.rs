//! What bounds the requests that a target runs: evidence or pace.

use std::time::Duration;

use celeryshore_model::Limits;
use celeryshore_model::Slots;
use celeryshore_model::Time;
use derive_more::From;

use super::adaptive_limit::Evidence;
use super::adaptive_limit::Limit;
use super::pacer::Pacer;
use crate::Health;
use crate::Phase;
use crate::requests::terms::ColdStartTerms;

/// Bound on the requests that a target runs at one time.
///
/// Where the platform tells no rate for cold starts, the bound is found by
/// evidence. Where it does, the target's slots hold, and the rate while it is cold.
#[derive(Debug, From)]
pub(super) enum Gate {
    /// Found by evidence.
    Evidence(Limit),
    /// Slots, and a rate in cold start.
    Paced(Paced),
}

/// Slots of a target, and its pace.
#[derive(Debug)]
pub(super) struct Paced {
    slots: u32,
    pacer: Pacer,
}

impl Gate {
    /// Makes the gate of a node that knows nothing of its target.
    pub(super) const fn new() -> Self {
        Self::Evidence(Limit::new())
    }

    /// Takes what the target can bear.
    pub(super) fn configure(
        &mut self,
        now: Time,
        limits: Limits,
        slots: Option<Slots>,
        terms: ColdStartTerms,
    ) {
        let Some(cold) = limits.cold_start else {
            if let Self::Evidence(limit) = self {
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
            *self = Paced { slots, pacer }.into();
        }
    }

    /// Tells whether one more request may run beside `running` others.
    pub(super) fn admits(&self, now: Time, running: u32) -> bool {
        match self {
            Self::Evidence(limit) => limit.admits(now, running),
            Self::Paced(paced) => running < paced.slots && paced.pacer.admits(now),
        }
    }

    /// Returns how many requests may run at one time.
    pub(super) const fn get(&self) -> u32 {
        match self {
            Self::Evidence(limit) => limit.get(),
            Self::Paced(paced) => paced.slots,
        }
    }

    /// Returns the phase of the target.
    pub(super) fn phase(&self, now: Time) -> Phase {
        match self {
            Self::Evidence(limit) => limit.phase(),
            Self::Paced(paced) => paced.pacer.phase(now),
        }
    }

    /// Notes that the target gets a request.
    pub(super) fn sent(&mut self, now: Time) {
        if let Self::Paced(paced) = self {
            paced.pacer.sent(now);
        }
    }

    /// Returns for how long the pace holds up work behind `ahead` others.
    pub(super) fn pace_wait(&self, now: Time, ahead: usize) -> Duration {
        match self {
            Self::Evidence(_) => Duration::ZERO,
            Self::Paced(paced) => paced.pacer.wait(now, ahead),
        }
    }

    /// Returns when the pace allows the next request, or an examination is due.
    pub(super) fn next_at(&self, now: Time) -> Option<Time> {
        let Self::Paced(paced) = self else {
            return None;
        };
        let due = [paced.pacer.next_at(now), paced.pacer.examine_at()];
        due.into_iter().flatten().min()
    }

    /// Tells whether the target is to be examined now, and notes that it is.
    pub(super) fn take_examination(&mut self, now: Time) -> bool {
        let Self::Paced(paced) = self else {
            return false;
        };
        let is_due = paced.pacer.examine_at().is_some_and(|at| at <= now);
        if is_due {
            paced.pacer.begin_examination();
        }
        is_due
    }

    /// Notes that there is no target to examine at present.
    pub(super) fn postpone_examination(&mut self, now: Time) {
        if let Self::Paced(paced) = self {
            paced.pacer.postpone_examination(now);
        }
    }

    /// Learns from one request; tells whether the target bears less than before.
    pub(super) fn observe(&mut self, now: Time, evidence: Evidence<'_>) -> bool {
        match self {
            Self::Evidence(limit) => limit.observe(now, evidence),
            Self::Paced(paced) => {
                match evidence {
                    Evidence::Refused => paced.pacer.refused(now),
                    Evidence::Reset => paced.pacer.doubt(now),
                    Evidence::Answered { .. } | Evidence::Failed | Evidence::Overloaded => {
                        return false;
                    }
                }
                true
            }
        }
    }

    /// Takes the target's claim about its phase; tells whether the bound fell.
    pub(super) fn claim(&mut self, now: Time, phase: Phase) -> bool {
        match self {
            Self::Evidence(limit) => limit.claim(now, phase),
            Self::Paced(_) => false,
        }
    }

    /// Begins again with a cold target.
    pub(super) fn reset(&mut self, now: Time) {
        match self {
            Self::Evidence(limit) => limit.reset(now),
            Self::Paced(paced) => paced.pacer.reset(now),
        }
    }

    /// Takes the time for which the target says that it stays cold.
    pub(super) fn told(&mut self, now: Time, cold_for: Duration) {
        if let Self::Paced(paced) = self {
            paced.pacer.told(now, cold_for);
        }
    }

    /// Takes what an examination of the target showed.
    pub(super) fn examined(&mut self, now: Time, health: Health) {
        if let Self::Paced(paced) = self {
            paced.pacer.examined(now, health);
        }
    }
}
