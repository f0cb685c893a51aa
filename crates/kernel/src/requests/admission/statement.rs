//! Statements of the local target about itself, from its responses or from other nodes.

use celeryshore_model::HttpResponse;
use celeryshore_model::Time;
use celeryshore_model::UpstreamName;

use super::Admission;
use super::rate_limit::RateChange;
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
            let rate = StatedRate::read(dialect, response);
            self.observe_statement(cx, rate);
        }
    }

    /// Handles a statement in the response to a health check.
    ///
    /// A health endpoint may leave a statement out that other responses have, so its
    /// absence means nothing.
    pub(in crate::requests) fn handle_statement(&mut self, cx: &mut Context<'_>, rate: StatedRate) {
        if rate != StatedRate::Absent {
            self.observe_statement(cx, rate);
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
        let Some(statement) = statement.filter(is_own).filter(|_| !self.has_response) else {
            return;
        };
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
            target: own.incarnation,
            age: now - heard_at,
        })
    }

    /// Forgets all statements, because another incarnation of the target made them.
    pub(super) fn forget_statement(&mut self) {
        self.heard_at = None;
        self.has_response = false;
        self.scheduler.clear_rate_limit();
    }

    fn observe_statement(&mut self, cx: &mut Context<'_>, rate: StatedRate) {
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
