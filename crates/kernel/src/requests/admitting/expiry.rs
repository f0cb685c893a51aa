//! Ends of work without an outcome: deadlines, withdrawals, queues too long.

use std::time::Duration;

use super::Admitting;
use super::admission::Refusal;
use super::work::Work;
use crate::NotRun;
use crate::ReplyOutcome;
use crate::Unknown;
use crate::requests::RequestAction;
use crate::requests::WorkId;
use crate::requests::context::Context;
use crate::requests::context::Origin;

/// Keyed work may go on this long after its deadline, so that its answer is known.
const KEYED_GRACE: Duration = Duration::from_secs(2);

impl Admitting {
    /// Ends the work whose deadline has passed.
    pub(in crate::requests) fn expire(&mut self, cx: &mut Context<'_>) {
        while let Some(id) = self.deadlines.pop(cx.now.mono) {
            self.expire_one(cx, id);
        }
        self.fill(cx);
    }

    /// Takes the end of an exchange whose handing node no longer waits.
    pub(in crate::requests) fn withdrawn(&mut self, cx: &mut Context<'_>, origin: Origin) {
        let Some(id) = self.origins.remove(&origin) else {
            return;
        };
        let Some(work) = self.works.get_mut(&id) else {
            return;
        };
        work.origin = None;
        if !work.is_running() {
            self.drop_queued(id);
        } else if !work.is_keyed() {
            self.abort(cx, id);
        }
        self.fill(cx);
    }

    /// Refuses the waiting work that can no longer end in time.
    pub(super) fn refuse_late(&mut self, cx: &mut Context<'_>) {
        let now = cx.now.mono;
        let is_late = |(place, id): &(usize, WorkId)| {
            let work = self.works.get(id);
            work.is_some_and(|w| !self.admission.fits(*place, w.deadline - now))
        };
        let queue = self.admission.queue().enumerate();
        let late: Vec<_> = queue.filter(is_late).collect();
        for (_, id) in late {
            let refusal = self.admission.overload();
            self.end(cx, id, refusal.into());
        }
    }

    fn expire_one(&mut self, cx: &mut Context<'_>, id: WorkId) {
        let Some(work) = self.works.get(&id) else {
            return;
        };
        if !work.is_running() {
            self.end(cx, id, Refusal::new(NotRun::Deadline).into());
            return;
        }
        let give_up = work.deadline + grace(work);
        self.answer_origin(cx, id, ReplyOutcome::Unknown(Unknown::Deadline));
        if give_up > cx.now.mono {
            self.deadlines.set(id, give_up);
        } else {
            self.abort(cx, id);
        }
    }

    /// Ends waiting work.
    fn end(&mut self, cx: &mut Context<'_>, id: WorkId, outcome: ReplyOutcome) {
        self.answer_origin(cx, id, outcome);
        self.drop_queued(id);
    }

    fn answer_origin(&mut self, cx: &mut Context<'_>, id: WorkId, outcome: ReplyOutcome) {
        let work = self.works.get_mut(&id);
        if let Some(origin) = work.and_then(|w| w.origin.take()) {
            self.origins.remove(&origin);
            self.reply(cx, origin, outcome);
        }
    }

    fn drop_queued(&mut self, id: WorkId) {
        self.admission.dequeue(id);
        self.deadlines.cancel(id);
        self.works.remove(&id);
    }

    fn abort(&mut self, cx: &mut Context<'_>, id: WorkId) {
        self.admission.release();
        self.deadlines.cancel(id);
        self.works.remove(&id);
        cx.actions.push(RequestAction::Abort { work: id });
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
