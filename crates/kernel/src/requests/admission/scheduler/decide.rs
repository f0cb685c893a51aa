//! Decisions on requests for a slot.

use std::time::Duration;

use celeryshore_model::Time;

use super::Scheduler;
use crate::NotRun;
use crate::requests::admission::decision::Decision;
use crate::requests::admission::decision::SlotRequest;
use crate::requests::admission::pairs::Sibling;
use crate::requests::admission::queue::Position;

/// Time without an empty queue after which the queue counts as standing. It is longer
/// than a few runs, so the queue no longer absorbs a mere burst.
const STANDING_QUEUE_AFTER: Duration = Duration::from_millis(250);
/// Divisor of the allowed wait while the queue is standing. Waiting in a standing queue
/// adds no throughput; it only delays every response.
const STANDING_QUEUE_DIVISOR: u32 = 4;

impl Scheduler {
    /// Decides whether a request runs, waits or is refused.
    pub(in super::super) fn decide(&mut self, now: Time, request: SlotRequest<'_>) -> Decision {
        let SlotRequest { from, kind, .. } = request;
        let caller_priority = request.caller_priority.unwrap_or(request.priority);
        let priority = request.priority.max(caller_priority);
        self.shares.record_request(now, kind, priority);
        self.urgent_slots
            .record_request(now, kind, request.priority, request.target_latency);
        let sibling = self.pairs.take_sibling(now, from, kind);
        let run = self.shares.mean_run(kind);
        let is_late =
            self.lateness
                .record_request(now, kind, request.time_left, request.target_latency, run);
        let decision = self.decide_with_sibling(now, request, is_late, sibling);
        if sibling.is_none() {
            let work = Some(request.work).filter(|_| !matches!(decision, Decision::Refuse(_)));
            self.pairs.record(now, from, kind, Sibling { work });
        }
        decision
    }

    /// Decides on a request. `sibling` is absent if no sibling has arrived.
    fn decide_with_sibling(
        &self,
        now: Time,
        request: SlotRequest<'_>,
        is_late: bool,
        sibling: Option<Sibling>,
    ) -> Decision {
        if request.remaining.is_zero() {
            return Decision::Refuse(self.refusal(now, NotRun::Deadline));
        }
        if self.is_target_draining {
            return Decision::Refuse(self.refusal(now, NotRun::Leaving));
        }
        let held = self.held_kinds(now);
        let position =
            self.queue
                .position(request.rank, request.kind, is_late, &self.shares, &held);
        let may_start = match position {
            Position::Guaranteed(_) => true,
            Position::Ranked(_) => !held.contains(request.kind),
        };
        if position.get() == 0 && self.admits(now) && may_start {
            return Decision::Run;
        }
        let (wait, max_wait) = match position {
            Position::Guaranteed(position) => (self.expected_wait(now, position), request.max_wait),
            Position::Ranked(position) => {
                let wait = self.expected_wait_of(now, request.kind, position);
                let wait = self.rank_load.scale_wait(request.rank, wait);
                (wait, self.max_wait(now, request.max_wait))
            }
        };
        let is_wait_accepted = max_wait.is_none_or(|max| wait <= max);
        let accepted_sibling = sibling.and_then(|sibling| sibling.work);
        let (is_wait_accepted, max_wait) = match (sibling, accepted_sibling) {
            _ if request.is_further_call => (true, None),
            (_, Some(_)) => (true, request.max_wait),
            (Some(_), None) => (false, max_wait),
            (None, None) => (is_wait_accepted, max_wait),
        };
        if self.queue.len() < self.queue_capacity
            && is_wait_accepted
            && self.fits_deadline(now, wait, request.remaining)
        {
            return Decision::Wait {
                max_wait,
                is_late,
                sibling: accepted_sibling,
            };
        }
        Decision::Refuse(self.overload_refusal(now))
    }

    /// Returns the longest wait that a request queued by rank may have, given the wait
    /// that its forwarding node allows. It is shorter while the queue is standing.
    fn max_wait(&self, now: Time, max_wait: Option<Duration>) -> Option<Duration> {
        let is_standing = self
            .waiting_since
            .is_some_and(|since| now - since >= STANDING_QUEUE_AFTER);
        let divisor = if is_standing {
            STANDING_QUEUE_DIVISOR
        } else {
            1
        };
        max_wait.map(|max| max / divisor)
    }
}
