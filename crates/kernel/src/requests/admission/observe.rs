//! Observations of the target's state from the ends of runs.

use celeryshore_model::Dialect;

use super::Admission;
use super::adaptive_limit::Observation;
use super::kind_stats::RunEnd;
use super::work::Work;
use super::work::WorkState;
use crate::requests::Outcome;
use crate::requests::context::Context;
use crate::requests::headers;
use crate::requests::sizes::body_size;

impl Admission {
    /// Records what the end of a run shows of the target.
    pub(super) fn observe(&mut self, cx: &mut Context<'_>, work: &Work, outcome: &Outcome) {
        let WorkState::Running { since } = work.state else {
            return;
        };
        let now = cx.now.mono;
        if !matches!(outcome, Outcome::NeverSent) {
            self.record_run(cx, &work.handover.kind, now - since);
        }
        if let Outcome::Answered(response) = outcome {
            self.observe_response(cx, &work.handover.upstream, response);
            if !headers::is_failure(response) {
                cx.link.observe(&work.handover.kind, body_size(response));
            }
        }
        let dialect = &cx.view.cfg().terms.dialect;
        let end = run_end(dialect, outcome);
        self.kind_stats
            .record_end(&work.handover.kind, end, now - since);
        let observation = match outcome {
            Outcome::Answered(response) if headers::is_misdirected(dialect, response) => {
                Observation::Reset
            }
            Outcome::Answered(response) if headers::is_shed(response) => Observation::Overloaded,
            Outcome::Answered(response) if headers::is_failure(response) => Observation::Failed,
            Outcome::Answered(_) | Outcome::Discarded => Observation::Answered {
                kind: &work.handover.kind,
                elapsed: now - since,
                running: self.scheduler.running(),
            },
            Outcome::NeverSent => Observation::Refused,
            Outcome::Broken => Observation::Reset,
            Outcome::Silent => Observation::Overloaded,
        };
        if self
            .scheduler
            .finish(now, since, &work.handover.kind, observation)
        {
            self.refuse_late(cx);
        }
    }
}

fn run_end(dialect: &Dialect, outcome: &Outcome) -> RunEnd {
    match outcome {
        Outcome::Answered(response) if headers::is_not_run(dialect, response) => RunEnd::Shed,
        Outcome::Answered(response) if headers::is_failure(response) => RunEnd::Failed,
        Outcome::Answered(_) => RunEnd::Answered,
        Outcome::NeverSent | Outcome::Broken | Outcome::Silent | Outcome::Discarded => RunEnd::Lost,
    }
}
