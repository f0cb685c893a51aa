//! Requests for a slot after all checks have passed.

use std::time::Duration;

use super::Admission;
use super::arrival::Arrival;
use super::decision::Decision;
use super::decision::Refusal;
use super::decision::SlotRequest;
use super::expiry;
use super::rank::Rank;
use super::scheduler::MIN_RETRY_AFTER;
use super::work::Work;
use super::work::WorkState;
use crate::NotRun;
use crate::requests::KeyOutcome;
use crate::requests::KeyedCopy;
use crate::requests::RequestAction;
use crate::requests::WorkId;
use crate::requests::context::Context;
use crate::requests::headers;

/// Number of links that a response passes whole on its way to the caller: that of this
/// node and that of the forwarding node.
const LINKS: u32 = 2;

impl Admission {
    /// Starts a request, queues it or refuses it.
    pub(super) fn admit(
        &mut self,
        cx: &mut Context<'_>,
        arrival: Arrival,
        copy: Option<KeyedCopy>,
    ) {
        let kind = cx.view.kind(&arrival.handover.kind);
        let own_rank = Rank::of(cx, kind, &arrival.handover);
        let rank = self.rank_with_caller(own_rank, &arrival.handover);
        let id = WorkId(self.next_number());
        let request = SlotRequest {
            work: id,
            from: &arrival.handover.from,
            kind: &arrival.handover.kind,
            remaining: arrival.deadline - cx.now.mono,
            max_wait: arrival.handover.max_wait,
            rank,
            priority: own_rank.priority(),
            caller_priority: arrival.handover.caller_priority,
            target_latency: kind.and_then(|kind| kind.target_latency),
            time_left: headers::caller_timeout(
                &cx.view.cfg().terms.dialect,
                &arrival.handover.request,
            ),
            is_further_call: arrival.handover.earlier_calls > 0,
        };
        let refusal = self.stop_refusal(cx, &arrival);
        let decision = match refusal.or_else(|| self.link_refusal(cx, &arrival)) {
            Some(refusal) => Decision::Refuse(refusal),
            None => self.scheduler.decide(cx.now.mono, request),
        };
        self.kind_stats.record_request(&arrival.handover.kind);
        if decision != Decision::Run {
            let kind = &arrival.handover.kind;
            let limits = self.scheduler.slot_limits(cx.now.mono, kind);
            self.kind_stats.record_delay(kind, limits);
        }
        match decision {
            Decision::Run => {
                self.add(id, arrival, copy, rank);
                self.run(cx, id);
            }
            Decision::Wait {
                max_wait,
                is_late,
                sibling,
            } => {
                let kind = arrival.handover.kind.clone();
                self.add(id, arrival, copy, rank);
                if let Some(max_wait) = max_wait {
                    self.limit_wait(cx, id, max_wait);
                }
                if let Some(sibling) = sibling {
                    self.link(id, sibling);
                }
                if self.scheduler.enqueue(cx.now.mono, rank, kind, is_late, id) {
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

    /// Sends a request to the target.
    pub(super) fn run(&mut self, cx: &mut Context<'_>, id: WorkId) {
        let Some(work) = self.work_items.get_mut(&id) else {
            return;
        };
        let since = cx.now.mono;
        work.state = WorkState::Running { since };
        let sibling = work.sibling.take();
        self.deadlines.set(id.into(), work.deadline);
        self.scheduler.start(since, &work.handover.kind, work.rank);
        let remaining = work.deadline - since;
        let dialect = &cx.view.cfg().terms.dialect;
        let mut request = work.handover.request.clone();
        self.runs.insert(id, headers::request_id(dialect, &request));
        headers::set_call_fields(dialect, &mut request, work.handover.depth, remaining);
        headers::set_expected_target(dialect, &mut request, &work.handover.upstream);
        if cx.view.workspaces().are_required() {
            let is_checked = work.handover.workspace_priority.is_some();
            headers::remove_unchecked(dialect, &mut request, is_checked);
        }
        cx.actions.push(RequestAction::Run {
            work: id,
            request,
            deadline: work.deadline + expiry::grace_period(work),
        });
        if let Some(sibling) = sibling {
            self.lift_wait_limit(sibling);
        }
    }

    /// Returns the refusal of a request whose response would come too late, because the
    /// link has to send other large responses first.
    fn link_refusal(&self, cx: &Context<'_>, arrival: &Arrival) -> Option<Refusal> {
        let now = cx.now.mono;
        let transfer = cx.link.transfer_time(&arrival.handover.kind);
        if transfer.is_zero() {
            return None;
        }
        let backlog = self.link_backlog(cx);
        let run = self.scheduler.service_time(now);
        let delay = backlog.saturating_sub(run);
        let is_late = run.max(backlog) + transfer * LINKS > arrival.deadline - now;
        let is_delayed = arrival.handover.max_wait.is_some_and(|max| delay > max);
        (is_late || is_delayed).then(|| Refusal {
            reason: NotRun::Overloaded,
            retry_after: delay.max(MIN_RETRY_AFTER),
        })
    }

    /// Returns the time until the link has sent the responses of all requests here.
    pub(super) fn link_backlog(&self, cx: &Context<'_>) -> Duration {
        let kinds = self.work_items.values().map(|work| &work.handover.kind);
        let pending: Duration = kinds.map(|kind| cx.link.transfer_time(kind)).sum();
        cx.link.wait(cx.now.mono) + pending
    }

    fn add(&mut self, id: WorkId, arrival: Arrival, copy: Option<KeyedCopy>, rank: Rank) {
        self.origins.insert(arrival.origin, id.into());
        self.deadlines.set(id.into(), arrival.deadline);
        let work = Work {
            origin: Some(arrival.origin),
            copy,
            handover: arrival.handover,
            deadline: arrival.deadline,
            rank,
            start_by: None,
            sibling: None,
            state: WorkState::Queued,
        };
        self.work_items.insert(id, work);
    }
}
