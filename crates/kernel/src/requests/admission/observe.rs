//! What the end of a run shows of the target.

use celeryshore_model::Dialect;

use super::Admitting;
use super::adaptive_limit::Evidence;
use super::kind_stats::RunEnd;
use super::work::Work;
use super::work::WorkState;
use crate::requests::Outcome;
use crate::requests::context::Context;
use crate::requests::headers;

impl Admitting {
    /// Learns from the outcome of a run.
    pub(super) fn observe(&mut self, cx: &mut Context<'_>, work: &Work, outcome: &Outcome) {
        let WorkState::Running { since } = work.state else {
            return;
        };
        let now = cx.now.mono;
        let dialect = &cx.view.cfg().terms.dialect;
        let end = run_end(dialect, outcome);
        self.tally.ended(&work.handover.kind, end, now - since);
        let evidence = match outcome {
            Outcome::Answered(response) if headers::is_misdirected(dialect, response) => {
                Evidence::Reset
            }
            Outcome::Answered(response) if headers::is_shed(response) => Evidence::Overloaded,
            Outcome::Answered(response) if headers::is_failure(response) => Evidence::Failed,
            Outcome::Answered(_) => Evidence::Answered {
                kind: &work.handover.kind,
                elapsed: now - since,
                running: self.admission.running(),
            },
            Outcome::NeverSent => Evidence::Refused,
            Outcome::Broken => Evidence::Reset,
            Outcome::Silent => Evidence::Overloaded,
        };
        if self
            .admission
            .finish(now, since, &work.handover.kind, evidence)
        {
            self.refuse_late(cx);
        }
    }
}

/// Returns how a run ended.
fn run_end(dialect: &Dialect, outcome: &Outcome) -> RunEnd {
    match outcome {
        Outcome::Answered(response) if headers::is_not_run(dialect, response) => RunEnd::Shed,
        Outcome::Answered(response) if headers::is_failure(response) => RunEnd::Failed,
        Outcome::Answered(_) => RunEnd::Answered,
        Outcome::NeverSent | Outcome::Broken | Outcome::Silent => RunEnd::Lost,
    }
}
