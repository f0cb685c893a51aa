//! Requests for a slot after all checks have passed.

use super::Admission;
use super::arrival::Arrival;
use super::decision::Decision;
use super::decision::SlotRequest;
use super::rank::Rank;
use super::work::Work;
use super::work::WorkState;
use crate::requests::KeyOutcome;
use crate::requests::KeyedCopy;
use crate::requests::WorkId;
use crate::requests::context::Context;

impl Admission {
    /// Starts a request, queues it or refuses it.
    pub(super) fn admit(
        &mut self,
        cx: &mut Context<'_>,
        arrival: Arrival,
        copy: Option<KeyedCopy>,
    ) {
        let kind = cx.view.kind(&arrival.handover.kind);
        let rank = Rank::of(cx, kind, &arrival.handover.request);
        let request = SlotRequest {
            from: &arrival.handover.from,
            kind: &arrival.handover.kind,
            remaining: arrival.deadline - cx.now.mono,
            max_wait: arrival.handover.max_wait,
            rank,
        };
        let decision = self.scheduler.decide(cx.now.mono, request);
        self.kind_stats.record_request(&arrival.handover.kind);
        match decision {
            Decision::Run => {
                let id = self.add(arrival, copy, rank);
                self.run(cx, id);
            }
            Decision::Wait { max_wait } => {
                let kind = arrival.handover.kind.clone();
                let id = self.add(arrival, copy, rank);
                if let Some(max_wait) = max_wait {
                    self.limit_wait(cx, id, max_wait);
                }
                if self.scheduler.enqueue(cx.now.mono, rank, kind, id) {
                    self.refuse_late(cx);
                }
            }
            Decision::Refuse(refusal) => {
                self.kind_stats
                    .record_refusal(&arrival.handover.kind, refusal.reason);
                self.reply(cx, arrival.origin, refusal.into());
                if let Some(copy) = copy {
                    self.finish_key(cx, &copy, KeyOutcome::NotRun);
                }
            }
        }
    }

    fn add(&mut self, arrival: Arrival, copy: Option<KeyedCopy>, rank: Rank) -> WorkId {
        let id = WorkId(self.next_number());
        self.origins.insert(arrival.origin, id.into());
        self.deadlines.set(id.into(), arrival.deadline);
        let work = Work {
            origin: Some(arrival.origin),
            copy,
            handover: arrival.handover,
            deadline: arrival.deadline,
            rank,
            start_by: None,
            state: WorkState::Queued,
        };
        self.work_items.insert(id, work);
        id
    }
}
