//! Calls of a node that was told to stop.
//!
//! Load pattern: callers who stay with a node until the platform kills it. A call is
//! forwarded only if its answer can be written before.

use std::time::Duration;

use super::Forwarder;
use super::RETRY_AFTER;
use super::call::Call;
use super::retry;
use crate::NotRun;
use crate::RequestStep;
use crate::Shortfall;
use crate::Unknown;
use crate::requests::CallId;
use crate::requests::context::Context;
use crate::requests::stop_time;

impl Forwarder {
    /// Returns why a call can't be answered before this process is killed; `None` if it can,
    /// or if the process wasn't told to stop.
    pub(super) fn shortfall(&self, cx: &Context<'_>, call: &Call) -> Option<Shortfall> {
        self.spare_time(cx, call).err()
    }

    /// Returns the time for which a call may wait for a slot at most; `None` if this process
    /// wasn't told to stop or if the call's deadline comes before.
    ///
    /// # Errors
    ///
    /// Fails if the call can't be answered before this process is killed.
    pub(super) fn spare_time(
        &self,
        cx: &Context<'_>,
        call: &Call,
    ) -> stop_time::Result<Option<Duration>> {
        let Some(stop_time) = cx.view.stop_time() else {
            return Ok(None);
        };
        let transfer = self.transfer_time(cx, call);
        stop_time.spare_time(
            cx.now.mono,
            &self.longest_times,
            &call.kind,
            call.deadline,
            transfer,
        )
    }

    /// Refuses a call that can't be answered in time.
    pub(super) fn refuse_for_stop(
        &mut self,
        cx: &mut Context<'_>,
        id: CallId,
        call: &Call,
        shortfall: Shortfall,
    ) {
        call.report(cx, RequestStep::TooLittleTime { shortfall });
        let bound = cx.view.retry_after_stop(cx.now.mono);
        let retry_after = bound.unwrap_or(RETRY_AFTER);
        let answer = retry::refusal_answer(call, NotRun::Leaving, retry_after);
        self.answer(cx, id, answer);
    }

    /// Answers the calls that are still open when this process is about to be killed, so
    /// that their callers learn that they may have run.
    pub(in crate::requests) fn end_stopped(&mut self, cx: &mut Context<'_>) {
        self.end_waiting(cx);
        let open: Vec<_> = self.calls.keys().copied().collect();
        for id in open {
            if let Some(call) = self.calls.get(&id) {
                call.report(cx, RequestStep::Stopped);
            }
            for req in self.end_call(cx, id) {
                self.balancer.record_abandoned(&req);
            }
            self.answer(cx, id, retry::unknown_answer(Unknown::PeerLost));
        }
    }

    /// Records the time of a call that ended, and how much longer the longest run of its kind
    /// took at the same target.
    pub(super) fn record_time(
        &mut self,
        cx: &mut Context<'_>,
        call: &Call,
        run_time: Option<Duration>,
        longest_run: Option<Duration>,
    ) {
        let now = cx.now.mono;
        let elapsed = now - call.since;
        self.longest_times.record(now, &call.kind, elapsed);
        if let Some(run_time) = run_time {
            cx.loads
                .observe_longest_run(now, &call.kind, run_time, longest_run);
            let longer = longest_run.map(|longest| longest.saturating_sub(run_time));
            self.longest_times
                .raise(&call.kind, elapsed + longer.unwrap_or_default());
        }
    }

    /// Returns the time until the link has sent the answer of a call, behind those of the
    /// other open calls.
    fn transfer_time(&self, cx: &Context<'_>, call: &Call) -> Duration {
        let size = |call: &Call| self.response_sizes.get(&call.kind);
        let time = |call: &Call| size(call).map_or(Duration::ZERO, |size| cx.link.time(size));
        let pending: Duration = self.calls.values().map(time).sum();
        cx.link.wait(cx.now.mono) + pending + time(call)
    }
}
