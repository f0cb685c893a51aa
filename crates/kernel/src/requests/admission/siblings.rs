//! Queued requests that were sent together.
//!
//! Load pattern: callers make two calls at once to an overloaded target. Both were accepted,
//! but more urgent requests overtake one of them until its wait is too long. Its caller
//! fails, and the run of the other is wasted. So either both run, or none.

use super::Admission;
use crate::requests::WorkId;
use crate::requests::context::Context;

impl Admission {
    /// Links a queued request with the accepted one that was sent together with it.
    pub(super) fn link(&mut self, id: WorkId, sibling: WorkId) {
        let Some(earlier) = self.work_items.get_mut(&sibling) else {
            return;
        };
        if earlier.is_running() {
            self.lift_wait_limit(id);
            return;
        }
        earlier.sibling = Some(id);
        if let Some(work) = self.work_items.get_mut(&id) {
            work.sibling = Some(sibling);
        }
    }

    /// Lets a queued request wait until its deadline, because its sibling has started.
    pub(super) fn lift_wait_limit(&mut self, id: WorkId) {
        if let Some(work) = self.work_items.get_mut(&id).filter(|w| !w.is_running()) {
            work.sibling = None;
            work.start_by = None;
            self.deadlines.set(id.into(), work.deadline);
        }
    }

    /// Refuses a queued request, and its sibling if that is queued as well.
    pub(super) fn refuse_for_load(&mut self, cx: &mut Context<'_>, id: WorkId) {
        let sibling = self.work_items.get(&id).and_then(|work| work.sibling);
        for id in [Some(id), sibling].into_iter().flatten() {
            if self.work_items.get(&id).is_some_and(|w| !w.is_running()) {
                let refusal = self.scheduler.overload_refusal(cx.now.mono);
                self.end_queued(cx, id, refusal.into());
            }
        }
    }
}
