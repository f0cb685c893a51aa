//! A request that was checked asks for a slot.

use super::Admitting;
use super::arrival::Arrival;
use super::decision::Demand;
use super::decision::Verdict;
use super::rank::Rank;
use super::work::Work;
use super::work::WorkState;
use crate::requests::KeyOutcome;
use crate::requests::KeyedCopy;
use crate::requests::WorkId;
use crate::requests::context::Context;

impl Admitting {
    /// Runs a request, lets it wait for a slot, or refuses it.
    pub(super) fn admit(
        &mut self,
        cx: &mut Context<'_>,
        arrival: Arrival,
        copy: Option<KeyedCopy>,
    ) {
        let kind = cx.view.kind(&arrival.handover.kind);
        let rank = Rank::of(cx, kind, &arrival.handover.request);
        let demand = Demand {
            from: &arrival.handover.from,
            kind: &arrival.handover.kind,
            remaining: arrival.deadline - cx.now.mono,
            max_wait: arrival.handover.max_wait,
            rank,
        };
        let verdict = self.admission.judge(cx.now.mono, demand);
        self.tally.asked(&arrival.handover.kind);
        match verdict {
            Verdict::Run => {
                let id = self.add(arrival, copy, rank);
                self.run(cx, id);
            }
            Verdict::Wait { at_most } => {
                let kind = arrival.handover.kind.clone();
                let id = self.add(arrival, copy, rank);
                if let Some(at_most) = at_most {
                    self.limit_wait(cx, id, at_most);
                }
                if self.admission.enqueue(cx.now.mono, rank, kind, id) {
                    self.refuse_late(cx);
                }
            }
            Verdict::Refuse(refusal) => {
                self.tally.refused(&arrival.handover.kind, refusal.reason);
                self.reply(cx, arrival.origin, refusal.into());
                if let Some(copy) = copy {
                    self.end_key(cx, &copy, KeyOutcome::NotRun);
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
        self.works.insert(id, work);
        id
    }
}
