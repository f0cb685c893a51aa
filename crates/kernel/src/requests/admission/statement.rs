//! Statements of the local target about itself, from its responses or from other nodes.

use celeryshore_model::HttpResponse;
use celeryshore_model::Time;
use celeryshore_model::UpstreamName;

use super::Admission;
use super::check;
use super::rate_limit::RateChange;
use crate::NotRun;
use crate::ResponseStatement;
use crate::StatedRate;
use crate::TargetReport;
use crate::TargetStatement;
use crate::requests::RequestAction;
use crate::requests::context::Context;
use crate::requests::headers;
use crate::requests::view::View;

impl Admission {
    /// Reads what a response states about the local target. A response of another target,
    /// or of one that was replaced since the request started, states nothing about it.
    pub(super) fn observe_response(
        &mut self,
        cx: &mut Context<'_>,
        upstream: &UpstreamName,
        response: &HttpResponse,
    ) {
        let dialect = &cx.view.cfg().terms.dialect;
        let is_own = cx.view.own().is_some_and(|own| own.name == *upstream);
        if is_own && !headers::is_misdirected(dialect, response) {
            let statement = ResponseStatement::read(dialect, response);
            self.observe_leaving(cx, statement.is_leaving);
            self.observe_rate_limit(cx, statement.rate);
        }
    }

    /// Handles a statement in the response to a health check.
    ///
    /// A health endpoint may leave a limit out that other responses have, so its absence
    /// means nothing.
    pub(in crate::requests) fn handle_statement(
        &mut self,
        cx: &mut Context<'_>,
        statement: ResponseStatement,
    ) {
        self.observe_leaving(cx, statement.is_leaving);
        if statement.rate != StatedRate::Absent {
            self.observe_rate_limit(cx, statement.rate);
        }
    }

    /// Takes over what a forwarding node knows of the target's statements.
    ///
    /// This node's own knowledge goes first; after a restart it has none.
    pub(super) fn adopt_statement(
        &mut self,
        cx: &mut Context<'_>,
        statement: Option<TargetStatement>,
    ) {
        let is_own =
            |s: &TargetStatement| cx.view.own().is_some_and(|own| own.incarnation == s.target);
        let Some(statement) = statement.filter(is_own) else {
            return;
        };
        self.observe_leaving(cx, statement.is_leaving);
        if self.has_response {
            return;
        }
        let now = cx.now.mono;
        let stated_at = Time::ZERO + (now - Time::ZERO).saturating_sub(statement.age);
        if let Some(rate) = statement.rate_limit
            && self.scheduler.adopt_rate_limit(now, rate, stated_at)
        {
            self.heard_at = Some(stated_at);
            report(cx, TargetReport::LimitFromPeer(rate));
            self.refuse_late(cx);
        }
    }

    /// Returns what the local target last stated, if this node knows it.
    pub(in crate::requests) fn statement(&self, view: &View, now: Time) -> Option<TargetStatement> {
        let own = view.own()?;
        let heard_at = self.heard_at?;
        Some(TargetStatement {
            rate_limit: self.scheduler.rate_limit(),
            is_leaving: self.is_target_leaving,
            target: own.incarnation,
            age: now - heard_at,
        })
    }

    /// Forgets all statements, because another incarnation of the target made them.
    pub(super) fn forget_statement(&mut self) {
        self.heard_at = None;
        self.has_response = false;
        self.is_target_leaving = false;
        self.scheduler.clear_rate_limit();
    }

    /// Checks that the local target has not stated that it is about to leave.
    pub(super) fn check_staying(&self) -> check::Result<()> {
        if self.is_target_leaving {
            return Err(NotRun::Leaving);
        }
        Ok(())
    }

    /// Refuses what waits for a target that states for the first time that it leaves.
    fn observe_leaving(&mut self, cx: &mut Context<'_>, is_leaving: bool) {
        if !is_leaving || self.is_target_leaving {
            return;
        }
        self.heard_at.get_or_insert(cx.now.mono);
        self.is_target_leaving = true;
        report(cx, TargetReport::Leaving);
        let queued: Vec<_> = self.scheduler.queue().collect();
        for id in queued {
            self.refuse_queued(cx, id, NotRun::Leaving);
        }
    }

    fn observe_rate_limit(&mut self, cx: &mut Context<'_>, rate: StatedRate) {
        let now = cx.now.mono;
        if rate != StatedRate::Unreadable {
            self.heard_at = Some(now);
            self.has_response = true;
        }
        let was_unreadable = self.is_limit_unreadable;
        self.is_limit_unreadable = rate == StatedRate::Unreadable;
        match self.scheduler.observe_rate_limit(now, rate) {
            RateChange::None => {}
            RateChange::Limited(rate) => {
                report(cx, TargetReport::RateLimited(rate));
                self.refuse_late(cx);
            }
            RateChange::Lifted => report(cx, TargetReport::LimitLifted),
            RateChange::Unreadable => {
                self.unreadable_limits += 1;
                if !was_unreadable {
                    report(cx, TargetReport::UnreadableLimit);
                }
            }
        }
    }
}

fn report(cx: &mut Context<'_>, report: TargetReport) {
    cx.actions.push(RequestAction::ReportTarget(report));
}
