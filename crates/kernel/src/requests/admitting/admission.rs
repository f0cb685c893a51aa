//! Admission of work to the target: slots and a short queue.

use std::collections::VecDeque;
use std::time::Duration;

use celeryshore_model::Limits;
use celeryshore_model::Time;

use super::limit::Evidence;
use super::limit::Limit;
use crate::LoadReport;
use crate::NotRun;
use crate::Phase;
use crate::requests::WorkId;

/// Service time that is assumed before any answer was seen.
const ASSUMED_SERVICE_TIME: Duration = Duration::from_millis(20);
/// Shortest time after which a refused caller is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Weight of the latest answer in the mean service time, as a divisor.
const SMOOTHING: u32 = 8;

/// What is to become of a request that asks for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// A slot is free.
    Run,
    /// It may wait for a slot.
    Wait,
    /// It would wait too long.
    Refuse(Refusal),
}

/// Why a request does not run, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Refusal {
    /// Why it does not run.
    pub(super) reason: NotRun,
    /// When to come back.
    pub(super) retry_after: Duration,
}

/// Slots and queue of one target.
#[derive(Debug)]
pub(super) struct Admission {
    limit: Limit,
    room: usize,
    running: u32,
    queue: VecDeque<WorkId>,
    service_time: Duration,
    is_target_draining: bool,
}

impl Admission {
    /// Makes the admission of a node that knows nothing of its target.
    pub(super) const fn new() -> Self {
        Self {
            limit: Limit::new(),
            room: 0,
            running: 0,
            queue: VecDeque::new(),
            service_time: ASSUMED_SERVICE_TIME,
            is_target_draining: false,
        }
    }

    /// Takes what the target can bear from the configuration.
    pub(super) fn configure(&mut self, limits: Limits) {
        self.limit.configure(limits);
        self.room = limits.queue.get() as usize;
    }

    /// Takes the target's claim about itself; tells whether the limit fell.
    pub(super) fn claim(&mut self, now: Time, phase: Phase) -> bool {
        let was_draining = self.is_target_draining;
        self.is_target_draining = phase == Phase::Draining;
        if was_draining && !self.is_target_draining {
            self.limit.reset(now);
        }
        self.limit.claim(now, phase)
    }

    /// Judges a request that has `remaining` time left.
    pub(super) fn judge(&self, now: Time, remaining: Duration) -> Verdict {
        if remaining.is_zero() {
            return Verdict::Refuse(self.refusal(NotRun::Deadline));
        }
        if self.is_target_draining {
            return Verdict::Refuse(self.refusal(NotRun::Leaving));
        }
        if self.queue.is_empty() && self.limit.admits(now, self.running) {
            return Verdict::Run;
        }
        if self.queue.len() < self.room && self.fits(self.queue.len(), remaining) {
            return Verdict::Wait;
        }
        Verdict::Refuse(self.overload())
    }

    /// Makes the refusal of a request that the target can't bear now.
    pub(super) fn overload(&self) -> Refusal {
        self.refusal(match self.limit.phase() {
            Phase::Down => NotRun::TargetDown,
            Phase::Warm => NotRun::Overloaded,
            _ => NotRun::ColdStart,
        })
    }

    fn refusal(&self, reason: NotRun) -> Refusal {
        Refusal {
            reason,
            retry_after: self.expected_wait(self.queue.len()).max(MIN_RETRY_AFTER),
        }
    }

    /// Tells whether work at this place in the queue can end in `remaining` time.
    pub(super) fn fits(&self, place: usize, remaining: Duration) -> bool {
        self.limit.phase() != Phase::Down
            && self.expected_wait(place) + self.service_time < remaining
    }

    /// Takes a slot.
    pub(super) fn start(&mut self) {
        self.running += 1;
    }

    /// Frees a slot and learns from its work; tells whether the limit fell.
    pub(super) fn finish(&mut self, now: Time, evidence: Evidence<'_>) -> bool {
        if let Evidence::Answered { elapsed, .. } = evidence {
            self.service_time = (self.service_time * (SMOOTHING - 1) + elapsed) / SMOOTHING;
        }
        self.release();
        self.limit.observe(now, evidence)
    }

    /// Frees a slot whose work says nothing about the target.
    pub(super) fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Returns how many requests run.
    pub(super) const fn running(&self) -> u32 {
        self.running
    }

    /// Puts work at the end of the queue.
    pub(super) fn enqueue(&mut self, work: WorkId) {
        self.queue.push_back(work);
    }

    /// Takes work out of the queue.
    pub(super) fn dequeue(&mut self, work: WorkId) {
        self.queue.retain(|w| *w != work);
    }

    /// Returns the work that waits, the next to run first.
    pub(super) fn queue(&self) -> impl Iterator<Item = WorkId> {
        self.queue.iter().copied()
    }

    /// Returns the work that is to run next, if a slot is free.
    pub(super) fn next(&mut self, now: Time) -> Option<WorkId> {
        if self.limit.admits(now, self.running) {
            self.queue.pop_front()
        } else {
            None
        }
    }

    /// Returns the load to report to handing nodes.
    pub(super) fn load(&self) -> LoadReport {
        let queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        LoadReport {
            in_flight: self.running.saturating_add(queued),
            limit: self.limit.get(),
            phase: self.phase(),
        }
    }

    fn phase(&self) -> Phase {
        if self.is_target_draining {
            Phase::Draining
        } else {
            self.limit.phase()
        }
    }

    /// Returns how long a request at this place in the queue waits for a slot.
    fn expected_wait(&self, place: usize) -> Duration {
        let ahead = u32::try_from(place).unwrap_or(u32::MAX);
        let rounds = ahead.saturating_add(1);
        self.service_time.saturating_mul(rounds) / self.limit.get().max(1)
    }
}
