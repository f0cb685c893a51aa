//! Requests for the target of a node that was told to stop.
//!
//! Load pattern: nodes that are stopped in turn under load, while other nodes go on sending
//! requests to their targets. A request is admitted only if its reply can be sent before
//! the platform kills the process. The others can go to other targets, so their forwarding
//! nodes are told as soon as it is known.

use std::time::Duration;

use celeryshore_model::KindId;
use celeryshore_model::Time;

use super::Admission;
use super::arrival::Arrival;
use super::decision::Refusal;
use crate::NotRun;
use crate::Shortfall;
use crate::requests::context::Context;

impl Admission {
    /// Returns `true` if requests wait for a slot.
    pub(in crate::requests) fn has_queued(&self) -> bool {
        self.scheduler.queue().next().is_some()
    }

    /// Returns why a request that starts now can't end before this process is killed.
    pub(super) fn shortfall(
        &self,
        cx: &Context<'_>,
        kind: &KindId,
        deadline: Time,
    ) -> Option<Shortfall> {
        let stop_time = cx.view.stop_time()?;
        let transfer = self.link_backlog(cx) + cx.link.transfer_time(kind);
        let spare = stop_time.spare_time(
            cx.now.mono,
            cx.loads.longest_runs(),
            kind,
            deadline,
            transfer,
        );
        spare.err()
    }

    /// Records the time of a run, or the time after which it was given up.
    pub(super) fn record_run(&mut self, cx: &mut Context<'_>, kind: &KindId, run_time: Duration) {
        let now = cx.now.mono;
        self.longest_runs.record(now, kind, run_time);
        cx.loads.observe_longest_run(now, kind, run_time, None);
    }

    /// Returns the refusal of a request that can't end before this process is killed.
    pub(super) fn stop_refusal(&self, cx: &Context<'_>, arrival: &Arrival) -> Option<Refusal> {
        let shortfall = self.shortfall(cx, &arrival.handover.kind, arrival.deadline);
        shortfall.map(|_| Refusal::new(NotRun::Leaving))
    }

    /// Refuses the queued requests that can't end before this process is killed, even if
    /// they started now.
    pub(in crate::requests) fn refuse_unfinishable(&mut self, cx: &mut Context<'_>) {
        let queued: Vec<_> = self.scheduler.queue().collect();
        for id in queued {
            let work = self.work_items.get(&id);
            let shortfall = work.and_then(|w| self.shortfall(cx, &w.handover.kind, w.deadline));
            if shortfall.is_some() {
                self.refuse_queued(cx, id, NotRun::Leaving);
            }
        }
    }
}
