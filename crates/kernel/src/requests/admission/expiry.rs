//! Ends of work without an outcome: deadlines, withdrawals, queues too long.

use std::time::Duration;

use super::Admitting;
use super::decision::Refusal;
use super::kind_stats::RunEnd;
use super::task::JudgementId;
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

/// Keyed work may go on this long after its deadline, so that its answer is known.
const KEYED_GRACE: Duration = Duration::from_secs(2);

impl Admitting {
    /// Ends the tasks whose deadline has passed.
    pub(in crate::requests) fn expire(&mut self, cx: &mut Context<'_>) {
        while let Some(task) = self.deadlines.pop(cx.now.mono) {
            match task {
                Task::Work(id) => self.expire_work(cx, id),
                Task::Waiter(id) => self.expire_waiter(cx, id),
                Task::Parked(id) => self.expire_parked(cx, id),
                Task::Judgement(id) => self.expire_judgement(cx, id),
            }
        }
        self.fill(cx);
    }

    /// Takes the end of an exchange whose handing node no longer waits.
    pub(in crate::requests) fn withdrawn(&mut self, cx: &mut Context<'_>, origin: Origin) {
        match self.origins.remove(&origin) {
            Some(Task::Work(id)) => self.withdraw_work(cx, id),
            Some(Task::Waiter(id)) => drop(self.end_wait(id)),
            Some(Task::Parked(id)) => drop(self.end_parking(id)),
            Some(Task::Judgement(id)) => drop(self.end_judgement(cx, id)),
            None => {}
        }
        self.fill(cx);
    }

    /// Refuses work that others overtake once it would wait for longer than it was
    /// accepted for, so that its caller can go elsewhere.
    pub(super) fn limit_wait(&mut self, cx: &Context<'_>, id: WorkId, max_wait: Duration) {
        if let Some(work) = self.works.get_mut(&id) {
            let start_by = cx.now.mono + max_wait;
            work.start_by = Some(start_by);
            self.deadlines.set(id.into(), work.deadline.min(start_by));
        }
    }

    fn withdraw_work(&mut self, cx: &mut Context<'_>, id: WorkId) {
        let Some(work) = self.works.get_mut(&id) else {
            return;
        };
        work.origin = None;
        if !work.is_running() {
            self.tally.withdrawn(&work.handover.kind);
            self.drop_queued(cx, id);
        } else if !work.is_keyed() {
            self.abort(cx, id);
        }
    }

    fn expire_waiter(&mut self, cx: &mut Context<'_>, id: WaiterId) {
        if let Some(Waiter::Copy(arrival)) = self.end_wait(id) {
            self.reply(cx, arrival.origin, ReplyOutcome::Unknown(Unknown::Deadline));
        }
    }

    fn expire_judgement(&mut self, cx: &mut Context<'_>, id: JudgementId) {
        if let Some(judgement) = self.end_judgement(cx, id) {
            let outcome = judgement.refusal(Unknown::Deadline);
            self.reply(cx, judgement.arrival.origin, outcome);
        }
    }

    /// Refuses the waiting work that can no longer end in time.
    pub(super) fn refuse_late(&mut self, cx: &mut Context<'_>) {
        let now = cx.now.mono;
        let is_late = |(wait, id): &(Duration, WorkId)| {
            self.works.get(id).is_some_and(|work| {
                let starts_late = work.start_by.is_some_and(|by| now + *wait > by);
                starts_late || !self.admission.fits(now, *wait, work.deadline - now)
            })
        };
        let waits = self.admission.waits(now).into_iter();
        let late: Vec<_> = waits.filter(is_late).collect();
        for (_, id) in late {
            let refusal = self.admission.overload(now);
            self.end(cx, id, refusal.into());
        }
    }

    fn expire_work(&mut self, cx: &mut Context<'_>, id: WorkId) {
        let Some(work) = self.works.get(&id) else {
            return;
        };
        if !work.is_running() {
            let refusal = if work.deadline > cx.now.mono {
                self.admission.overload(cx.now.mono)
            } else {
                Refusal::new(NotRun::Deadline)
            };
            self.end(cx, id, refusal.into());
            return;
        }
        let give_up = work.deadline + grace(work);
        self.answer_origin(cx, id, ReplyOutcome::Unknown(Unknown::Deadline));
        if give_up > cx.now.mono {
            self.deadlines.set(id.into(), give_up);
        } else {
            self.abort(cx, id);
        }
    }

    /// Refuses work that was waiting.
    pub(super) fn refuse_waiting(&mut self, cx: &mut Context<'_>, id: WorkId, reason: NotRun) {
        self.end(cx, id, Refusal::new(reason).into());
    }

    /// Ends waiting work.
    fn end(&mut self, cx: &mut Context<'_>, id: WorkId, outcome: ReplyOutcome) {
        if let (Some(work), ReplyOutcome::NotRun { reason, .. }) = (self.works.get(&id), &outcome) {
            self.tally.refused(&work.handover.kind, *reason);
        }
        self.answer_origin(cx, id, outcome);
        self.drop_queued(cx, id);
    }

    fn answer_origin(&mut self, cx: &mut Context<'_>, id: WorkId, outcome: ReplyOutcome) {
        let work = self.works.get_mut(&id);
        if let Some(origin) = work.and_then(|w| w.origin.take()) {
            self.origins.remove(&origin);
            self.reply(cx, origin, outcome);
        }
    }

    fn drop_queued(&mut self, cx: &mut Context<'_>, id: WorkId) {
        self.admission.dequeue(id);
        self.remove(cx, id, KeyOutcome::NotRun);
    }

    fn abort(&mut self, cx: &mut Context<'_>, id: WorkId) {
        if let Some(work) = self.works.get(&id)
            && let WorkState::Running { since } = work.state
        {
            let now = cx.now.mono;
            self.tally
                .ended(&work.handover.kind, RunEnd::GivenUp, now - since);
            self.admission.release(now, since);
        }
        cx.actions.push(RequestAction::Abort { work: id });
        self.remove(cx, id, KeyOutcome::Lost);
    }

    fn remove(&mut self, cx: &mut Context<'_>, id: WorkId, outcome: KeyOutcome) {
        self.deadlines.cancel(id.into());
        let work = self.works.remove(&id);
        if let Some(copy) = work.and_then(|w| w.copy) {
            self.end_key(cx, &copy, outcome);
        }
    }
}

/// Returns how long work may go on after its deadline.
pub(super) fn grace(work: &Work) -> Duration {
    if work.is_keyed() {
        KEYED_GRACE
    } else {
        Duration::ZERO
    }
}
