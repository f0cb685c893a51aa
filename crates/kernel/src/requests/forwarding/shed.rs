//! Retries of requests that targets refuse themselves.
//!
//! Load pattern: targets shed a part of their requests though slots are free. The run of a
//! caller is wasted if one of its calls is shed, so calls are retried at any level of a
//! chain. The retry budget doesn't suffice for all, so the most urgent kinds of a service
//! go first.

use super::Forwarder;
use super::call::Call;
use super::retry;
use crate::NotRun;
use crate::requests::context::Context;

impl Forwarder {
    /// Returns `true` if a refused call may be retried, and takes the retry from the
    /// budget.
    pub(super) fn may_retry_refused(
        &mut self,
        cx: &Context<'_>,
        call: &Call,
        reason: NotRun,
    ) -> bool {
        if reason != NotRun::Shed || !cx.view.cfg().terms.urgent_slots {
            return self.may_retry(cx, call);
        }
        if !retry::has_attempts_left(cx, call) {
            return false;
        }
        if is_most_urgent(cx, call) {
            self.budget(cx, call).withdraw()
        } else {
            call.depth.get() == 0 && self.budget(cx, call).withdraw_spare()
        }
    }
}

/// Returns `true` if no kind of the service is more urgent than that of the call.
fn is_most_urgent(cx: &Context<'_>, call: &Call) -> bool {
    let service = cx.view.service(&call.kind.service);
    service.is_some_and(|service| {
        let own = service.kinds.get(&call.kind.kind).map(|kind| kind.priority);
        service.kinds.values().map(|kind| kind.priority).min() == own
    })
}
