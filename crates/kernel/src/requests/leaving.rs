//! Stop and drain of a node.

use std::time::Duration;

use celeryshore_model::HttpRequest;
use celeryshore_model::Now;
use celeryshore_model::Time;

use super::RequestAction;
use super::RequestEvent;
use super::Requests;
use super::StopStep;
use super::lifecycle::Lifecycle;
use super::lifecycle::Stage;
use super::stop_time::StopTime;
use crate::MemberState;

/// Interval of the checks whether queued requests can still end before a stop.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl Requests {
    /// Updates the view and the lifecycle before the event is dispatched.
    pub(super) fn update_view(
        &mut self,
        now: Now,
        event: &RequestEvent,
        actions: &mut Vec<RequestAction>,
    ) {
        match event {
            RequestEvent::Configured(snapshot) => {
                self.view.configure(now, snapshot.clone());
                if let Some(snapshot) = self.view.snapshot() {
                    self.quotas.configure(now.mono, snapshot);
                    self.loads.retain_listed(snapshot);
                }
            }
            RequestEvent::Member { vm, state } => {
                self.view.observe_member(vm.clone(), *state);
                if *vm == self.view.cfg().vm && *state == MemberState::Leaving {
                    self.drain(now);
                }
            }
            RequestEvent::Drain => self.drain(now),
            RequestEvent::Stop => self.stop(now, actions),
            RequestEvent::ReadinessDenied => self.stage.record_failed_check(now.mono),
            RequestEvent::Arrived { request, .. } if !self.is_own_call(request) => {
                self.stage.record_request(now.mono);
            }
            RequestEvent::Received { request, .. } => self.view.observe_version(request.version()),
            RequestEvent::Replied { reply, .. } => self.view.observe_version(reply.version()),
            _ => {}
        }
        if let Some(step) = self.stage.stop_end(now.mono) {
            actions.push(RequestAction::ReportStop(step));
            self.drain(now);
        }
        let is_over = self.is_forwarding_over(now.mono);
        self.view.set_forwarding_stopped(is_over);
        self.view.set_callers_bound(self.stage.are_callers_bound());
    }

    /// Returns when the stop needs the next tick: for the requests that wait for a slot, and
    /// to answer what is still open shortly before the process is killed.
    pub(super) fn stop_due(&self) -> Option<Time> {
        let stop_time = self.view.stop_time()?;
        let has_open = self.dispatcher.forwarder.open_count() > 0;
        let answers_at = Some(stop_time.answers_at()).filter(|_| has_open);
        let has_queued = self.dispatcher.admission.has_queued();
        let check_at = has_queued.then(|| self.last_event_at + QUEUE_CHECK_INTERVAL);
        answers_at.into_iter().chain(check_at).min()
    }

    /// Returns `true` if the node has been leaving for so long that it forwards no new calls.
    pub(super) fn is_forwarding_over(&self, now: Time) -> bool {
        let longest = self.view.cfg().terms.stop.longest;
        self.leaving_since
            .is_some_and(|since| now - since > longest)
    }

    /// Returns `true` if a request is a call of a run at the local target.
    fn is_own_call(&self, request: &HttpRequest) -> bool {
        let dialect = &self.view.cfg().terms.dialect;
        self.dispatcher.admission.is_call(dialect, request)
    }

    fn stop(&mut self, now: Now, actions: &mut Vec<RequestAction>) {
        self.leaving_since.get_or_insert(now.mono);
        let terms = self.view.cfg().terms.stop;
        if let Some(grace) = terms.grace {
            self.view.set_stop_time(StopTime::new(now.mono, grace));
        }
        self.replace_stage(|stage| stage.stop(now.mono, terms.longest));
        actions.push(RequestAction::ReportStop(StopStep::Stopping));
    }

    fn drain(&mut self, now: Now) {
        self.leaving_since.get_or_insert(now.mono);
        self.replace_stage(|stage| stage.drain(now.mono));
        self.view.leave();
    }

    pub(super) fn replace_stage(&mut self, change: impl FnOnce(Stage) -> Stage) {
        let stage = std::mem::replace(&mut self.stage, Lifecycle::new(Time::ZERO).into());
        self.stage = change(stage);
    }
}
