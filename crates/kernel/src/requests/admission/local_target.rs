//! State of the local target, and its health checks.

use std::time::Duration;

use celeryshore_model::Incarnation;
use celeryshore_model::UpstreamName;

use super::Admission;
use crate::Health;
use crate::requests::RequestAction;
use crate::requests::context::Context;

/// The local target, as the configuration lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LocalTarget {
    name: UpstreamName,
    incarnation: Incarnation,
    is_out_of_service: bool,
}

impl LocalTarget {
    /// Returns `true` if `later` is the same incarnation and the target has been in
    /// service throughout.
    fn continues(&self, later: &Self) -> bool {
        !self.is_out_of_service && self.is_same_process(later)
    }

    /// Returns `true` if `other` is the same incarnation of the same target.
    fn is_same_process(&self, other: &Self) -> bool {
        self.name == other.name && self.incarnation == other.incarnation
    }
}

impl Admission {
    /// Records the remaining cold start time that the target reports through the
    /// platform.
    pub(in crate::requests) fn handle_cold_start_report(
        &mut self,
        cx: &mut Context<'_>,
        cold_for: Duration,
    ) {
        self.scheduler.report_cold_start(cx.now.mono, cold_for);
    }

    /// Handles the result of a health check of the target.
    pub(in crate::requests) fn handle_health_check(
        &mut self,
        cx: &mut Context<'_>,
        health: Health,
    ) {
        if health == Health::Unreachable {
            self.record_target_crash(cx);
        }
        self.scheduler.record_health(cx.now.mono, health);
        self.refuse_late(cx);
        self.start_queued(cx);
    }

    /// Starts a health check of the target, if one is due.
    pub(in crate::requests) fn check_health(&mut self, cx: &mut Context<'_>) {
        if !self.scheduler.take_due_health_check(cx.now.mono) {
            return;
        }
        match cx.view.own_service().and_then(|s| s.health_path.clone()) {
            Some(path) => cx.actions.push(RequestAction::CheckHealth { path }),
            None => self.scheduler.postpone_health_check(cx.now.mono),
        }
    }

    /// Resets the scheduler if the target has restarted or is back in service, since it
    /// may be in cold start.
    pub(super) fn observe_local_target(&mut self, cx: &mut Context<'_>) {
        let own = cx.view.own();
        let own = own.map(|own| LocalTarget {
            name: own.name.clone(),
            incarnation: own.incarnation,
            is_out_of_service: cx.view.is_own_out_of_service(),
        });
        if own == self.local_target {
            return;
        }
        let is_same = |old: &LocalTarget| own.as_ref().is_some_and(|new| old.continues(new));
        if !self.local_target.as_ref().is_some_and(is_same) {
            self.scheduler.reset(cx.now.mono);
        }
        // A record may vanish and come back while its target goes on running.
        if let Some(new) = &own {
            let stated_by = self.stated_by.replace(new.clone());
            if !stated_by.is_some_and(|old| old.is_same_process(new)) {
                self.forget_statement();
            }
        }
        self.local_target = own;
    }
}
