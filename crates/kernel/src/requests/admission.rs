//! Admission of work to the target: slots and a short queue.

use std::collections::VecDeque;
use std::time::Duration;

use celeryshore_model::Limits;

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
    Refuse {
        /// Why.
        reason: NotRun,
        /// When a slot is expected to be free.
        retry_after: Duration,
    },
}

/// Slots and queue of one target.
#[derive(Debug)]
pub(super) struct Admission {
    limits: Option<Limits>,
    running: u32,
    queue: VecDeque<WorkId>,
    service_time: Duration,
}

impl Admission {
    /// Makes the admission of a node that knows nothing of its target.
    pub(super) const fn new() -> Self {
        Self {
            limits: None,
            running: 0,
            queue: VecDeque::new(),
            service_time: ASSUMED_SERVICE_TIME,
        }
    }

    /// Takes what the target can bear from the configuration.
    pub(super) fn configure(&mut self, limits: Limits) {
        self.limits = Some(limits);
    }

    /// Returns how many requests may run at one time now.
    pub(super) fn limit(&self) -> u32 {
        self.limits.map_or(0, |l| l.slots.get())
    }

    /// Judges a request that has `remaining` time left.
    pub(super) fn judge(&self, remaining: Duration) -> Verdict {
        if self.has_room() && self.queue.is_empty() {
            return Verdict::Run;
        }
        let wait = self.expected_wait();
        let room = self.limits.map_or(0, |l| l.queue.get()) as usize;
        if self.queue.len() < room && wait + self.service_time < remaining {
            return Verdict::Wait;
        }
        Verdict::Refuse {
            reason: NotRun::Overloaded,
            retry_after: wait.max(MIN_RETRY_AFTER),
        }
    }

    /// Tells whether a slot is free.
    pub(super) fn has_room(&self) -> bool {
        self.running < self.limit()
    }

    /// Takes a slot.
    pub(super) fn start(&mut self) {
        self.running += 1;
    }

    /// Frees the slot of work that took `elapsed`.
    pub(super) fn finish(&mut self, elapsed: Duration) {
        self.running = self.running.saturating_sub(1);
        self.service_time = (self.service_time * (SMOOTHING - 1) + elapsed) / SMOOTHING;
    }

    /// Frees a slot whose work says nothing about the target's speed.
    pub(super) fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Puts work at the end of the queue.
    pub(super) fn enqueue(&mut self, work: WorkId) {
        self.queue.push_back(work);
    }

    /// Takes work out of the queue.
    pub(super) fn dequeue(&mut self, work: WorkId) {
        self.queue.retain(|w| *w != work);
    }

    /// Returns the work that is to run next, if a slot is free.
    pub(super) fn next(&mut self) -> Option<WorkId> {
        if self.has_room() {
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
            limit: self.limit(),
            phase: Phase::Warm,
        }
    }

    /// Returns how long a request that joins the queue now waits for a slot.
    fn expected_wait(&self) -> Duration {
        let ahead = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        self.service_time * ahead.saturating_add(1) / self.limit().max(1)
    }
}
