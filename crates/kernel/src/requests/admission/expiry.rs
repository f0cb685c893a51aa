//! Ends of requests without an outcome: deadlines, cancellation and long queues.

use std::time::Duration;

use super::Admission;
use super::decision::Refusal;
use super::kind_stats::RunEnd;
use super::task::DuplicateCheckId;
use super::task::Task;
use super::task::WaiterId;
use super::waiter::Waiter;
use super::work::Work;
use super::work::WorkState;
use crate::NotRun;
use crate::ReplyOutcome;
use crate::Unknown;
use crate::requests::KeyOutcome;
use crate::requests::RequestAction;
use crate::requests::WorkId;
use crate::requests::context::Context;
use crate::requests::context::Origin;

/// Time after its deadline for which a keyed request may go on, so that its response
/// can be stored.
const KEYED_GRACE_PERIOD: Duration = Duration::from_secs(2);

impl Admission {
    /// Ends the tasks whose deadline has passed.
    pub(in crate::requests) fn expire(&mut self, cx: &mut Context<'_>) {
        while let Some(task) = self.deadlines.pop(cx.now.mono) {
            match task {
                Task::Work(id) => self.expire_work(cx, id),
                Task::Waiter(id) => self.expire_waiter(cx, id),
                Task::Parked(id) => self.expire_parked(cx, id),
                Task::DuplicateCheck(id) => self.expire_duplicate_check(cx, id),
            }
        }
        self.start_queued(cx);
    }

    /// Handles the end of an exchange whose forwarding node no longer waits.
    pub(in crate::requests) fn handle_withdrawal(&mut self, cx: &mut Context<'_>, origin: Origin) {
        match self.origins.remove(&origin) {
            Some(Task::Work(id)) => self.withdraw_work(cx, id),
            Some(Task::Waiter(id)) => drop(self.remove_waiter(id)),
            Some(Task::Parked(id)) => drop(self.remove_parked(id)),
            Some(Task::DuplicateCheck(id)) => drop(self.remove_duplicate_check(cx, id)),
            None => {}
        }
        self.start_queued(cx);
    }

    /// Limits the wait of a queued request to `max_wait`. More urgent requests can
    /// overtake it; it is then refused in time for its caller to try another upstream.
    pub(super) fn limit_wait(&mut self, cx: &Context<'_>, id: WorkId, max_wait: Duration) {
        if let Some(work) = self.work_items.get_mut(&id) {
            let start_by = cx.now.mono + max_wait;
            work.start_by = Some(start_by);
            self.deadlines.set(id.into(), work.deadline.min(start_by));
        }
    }

    fn withdraw_work(&mut self, cx: &mut Context<'_>, id: WorkId) {
        let Some(work) = self.work_items.get_mut(&id) else {
            return;
        };
        work.origin = None;
        if !work.is_running() {
            self.kind_stats.record_withdrawal(&work.handover.kind);
            self.remove_queued(cx, id);
        } else if !work.is_keyed() {
            self.abort(cx, id);
        }
    }

    fn expire_waiter(&mut self, cx: &mut Context<'_>, id: WaiterId) {
        if let Some(Waiter::Copy(arrival)) = self.remove_waiter(id) {
            self.reply(cx, arrival.origin, ReplyOutcome::Unknown(Unknown::Deadline));
        }
    }

    fn expire_duplicate_check(&mut self, cx: &mut Context<'_>, id: DuplicateCheckId) {
        if let Some(check) = self.remove_duplicate_check(cx, id) {
            let outcome = check.failure_outcome(Unknown::Deadline);
            self.reply(cx, check.arrival.origin, outcome);
        }
    }

    /// Refuses the queued requests that can no longer end in time.
    pub(super) fn refuse_late(&mut self, cx: &mut Context<'_>) {
        let now = cx.now.mono;
        let is_late = |(wait, id): &(Duration, WorkId)| {
            self.work_items.get(id).is_some_and(|work| {
                let starts_late = work.start_by.is_some_and(|by| now + *wait > by);
                starts_late
                    || !self
                        .scheduler
                        .fits_deadline(now, *wait, work.deadline - now)
            })
        };
        let waits = self.scheduler.expected_waits(now).into_iter();
        let late: Vec<_> = waits.filter(is_late).collect();
        for (_, id) in late {
            self.refuse_for_load(cx, id);
        }
    }

    fn expire_work(&mut self, cx: &mut Context<'_>, id: WorkId) {
        let Some(work) = self.work_items.get(&id) else {
            return;
        };
        if !work.is_running() {
            if work.deadline > cx.now.mono {
                self.refuse_for_load(cx, id);
            } else {
                self.refuse_queued(cx, id, NotRun::Deadline);
            }
            return;
        }
        let abort_at = work.deadline + grace_period(work);
        self.reply_to_origin(cx, id, ReplyOutcome::Unknown(Unknown::Deadline));
        if abort_at > cx.now.mono {
            self.deadlines.set(id.into(), abort_at);
        } else {
            self.abort(cx, id);
        }
    }

    pub(super) fn refuse_queued(&mut self, cx: &mut Context<'_>, id: WorkId, reason: NotRun) {
        self.end_queued(cx, id, Refusal::new(reason).into());
    }

    /// Ends a queued request with an outcome.
    pub(super) fn end_queued(&mut self, cx: &mut Context<'_>, id: WorkId, outcome: ReplyOutcome) {
        if let (Some(work), ReplyOutcome::NotRun { reason, .. }) =
            (self.work_items.get(&id), &outcome)
        {
            self.kind_stats.record_refusal(&work.handover.kind, *reason);
        }
        self.reply_to_origin(cx, id, outcome);
        self.remove_queued(cx, id);
    }

    fn reply_to_origin(&mut self, cx: &mut Context<'_>, id: WorkId, outcome: ReplyOutcome) {
        let work = self.work_items.get_mut(&id);
        if let Some(origin) = work.and_then(|w| w.origin.take()) {
            self.origins.remove(&origin);
            self.reply(cx, origin, outcome);
        }
    }

    fn remove_queued(&mut self, cx: &mut Context<'_>, id: WorkId) {
        self.scheduler.dequeue(id);
        self.remove(cx, id, KeyOutcome::NotRun);
    }

    fn abort(&mut self, cx: &mut Context<'_>, id: WorkId) {
        if let Some(work) = self.work_items.get(&id)
            && let WorkState::Running { since } = work.state
        {
            let now = cx.now.mono;
            let kind = work.handover.kind.clone();
            self.kind_stats
                .record_end(&kind, RunEnd::Aborted, now - since);
            self.scheduler.abandon(now, since, &kind);
            self.record_run(cx, &kind, now - since);
        }
        cx.actions.push(RequestAction::Abort { work: id });
        self.remove(cx, id, KeyOutcome::Lost);
    }

    fn remove(&mut self, cx: &mut Context<'_>, id: WorkId, outcome: KeyOutcome) {
        self.deadlines.cancel(id.into());
        self.runs.remove(id);
        let work = self.work_items.remove(&id);
        if let Some(copy) = work.and_then(|w| w.copy) {
            self.finish_key(cx, &copy, outcome);
        }
    }
}

/// Returns how long a request may go on after its deadline.
pub(super) fn grace_period(work: &Work) -> Duration {
    if work.is_keyed() {
        KEYED_GRACE_PERIOD
    } else {
        Duration::ZERO
    }
}
