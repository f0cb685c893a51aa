//! Translation of a run's outcome for the forwarding node and the journal.

use std::time::Duration;

use celeryshore_model::Dialect;
use celeryshore_model::HttpResponse;
use celeryshore_model::Time;

use super::decision::Refusal;
use super::work::Work;
use super::work::WorkState;
use crate::NotRun;
use crate::ReplyOutcome;
use crate::Unknown;
use crate::requests::KeyOutcome;
use crate::requests::Outcome;
use crate::requests::headers;

/// Retry delay stated by refusals that don't depend on load.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the outcome to send to the forwarding node.
pub(super) fn reply_outcome(dialect: &Dialect, outcome: Outcome) -> ReplyOutcome {
    match outcome {
        Outcome::Answered(response) if headers::is_misdirected(dialect, &response) => {
            Refusal::new(NotRun::NotHere).into()
        }
        Outcome::Answered(response) if headers::is_not_run(dialect, &response) => {
            shed(&response).into()
        }
        Outcome::Answered(response) => ReplyOutcome::Answered(response),
        Outcome::NeverSent => Refusal::new(NotRun::TargetDown).into(),
        Outcome::Broken | Outcome::Silent => ReplyOutcome::Unknown(Unknown::TargetLost),
        Outcome::Discarded => ReplyOutcome::Unknown(Unknown::AnswerGone),
    }
}

/// Returns the outcome to record in the journal.
pub(super) fn key_outcome(dialect: &Dialect, outcome: &Outcome) -> KeyOutcome {
    match outcome {
        Outcome::Answered(response) if headers::is_not_run(dialect, response) => KeyOutcome::NotRun,
        Outcome::Answered(response) => KeyOutcome::Done(response.clone()),
        Outcome::NeverSent => KeyOutcome::NotRun,
        Outcome::Broken | Outcome::Silent | Outcome::Discarded => KeyOutcome::Lost,
    }
}

/// Returns the time that the target took for a response that isn't a failure.
pub(super) fn run_time(work: &Work, now: Time, outcome: &Outcome) -> Option<Duration> {
    match (work.state, outcome) {
        (WorkState::Running { since }, Outcome::Answered(response))
            if !headers::is_failure(response) =>
        {
            Some(now - since)
        }
        _ => None,
    }
}

fn shed(response: &HttpResponse) -> Refusal {
    Refusal {
        reason: NotRun::Shed,
        retry_after: headers::retry_after(response).unwrap_or(DEFAULT_RETRY_AFTER),
    }
}

impl Refusal {
    /// Creates a refusal that doesn't depend on load.
    pub(super) const fn new(reason: NotRun) -> Self {
        Self {
            reason,
            retry_after: DEFAULT_RETRY_AFTER,
        }
    }
}

impl From<Refusal> for ReplyOutcome {
    fn from(refusal: Refusal) -> Self {
        Self::NotRun {
            reason: refusal.reason,
            retry_after: refusal.retry_after,
        }
    }
}
