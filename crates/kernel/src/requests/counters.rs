//! What became of requests so far.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::NotRun;
use crate::PeerRequest;
use crate::Unknown;
use crate::requests::Answer;
use crate::requests::RequestAction;

/// Counts since the start of the process.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RequestCounters {
    /// Calls that got the target's whole answer.
    pub answered: u64,
    /// Calls that certainly did not run, by reason.
    pub refused: BTreeMap<NotRun, u64>,
    /// Calls that may have run, by reason.
    pub unknown: BTreeMap<Unknown, u64>,
    /// Hand-overs to other nodes.
    pub handovers: u64,
    /// Questions to other nodes about keys.
    pub inquiries: u64,
    /// Requests that were given to the own target.
    pub runs: u64,
    /// Requests that were cancelled at the own target.
    pub aborts: u64,
}

impl RequestCounters {
    /// Counts what is to be done.
    pub(super) fn count(&mut self, actions: &[RequestAction]) {
        for action in actions {
            self.count_one(action);
        }
    }

    fn count_one(&mut self, action: &RequestAction) {
        match action {
            RequestAction::Answer { answer, .. } => self.count_answer(answer),
            RequestAction::Send { request, .. } => match request {
                PeerRequest::Handover(_) => self.handovers += 1,
                PeerRequest::Inquiry(_) => self.inquiries += 1,
            },
            RequestAction::Run { .. } => self.runs += 1,
            RequestAction::Abort { .. } => self.aborts += 1,
            RequestAction::Abandon { .. }
            | RequestAction::CheckHealth { .. }
            | RequestAction::Report(_)
            | RequestAction::Summarize(_)
            | RequestAction::Reply { .. }
            | RequestAction::CatchUp { .. }
            | RequestAction::WakeAt(_)
            | RequestAction::Drained => {}
        }
    }

    fn count_answer(&mut self, answer: &Answer) {
        match answer {
            Answer::Response(_) => self.answered += 1,
            Answer::NotRun { reason, .. } => *self.refused.entry(*reason).or_default() += 1,
            Answer::Unknown { reason, .. } => *self.unknown.entry(*reason).or_default() += 1,
        }
    }
}
