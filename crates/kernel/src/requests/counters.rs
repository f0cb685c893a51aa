//! Counters of the request outcomes at a node.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::NotRun;
use crate::PeerRequest;
use crate::Unknown;
use crate::requests::Answer;
use crate::requests::RequestAction;

/// Request counters since the process started.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RequestCounters {
    /// Calls that got the target's complete response.
    pub answered: u64,
    /// Calls that certainly did not run, by reason.
    pub refused: BTreeMap<NotRun, u64>,
    /// Calls that may have run, by reason.
    pub unknown: BTreeMap<Unknown, u64>,
    /// Requests forwarded to other nodes, including announcements of crashed VMs.
    pub handovers: u64,
    /// Inquiries to other nodes about idempotency keys.
    pub inquiries: u64,
    /// Requests sent to the local target.
    pub runs: u64,
    /// Requests cancelled at the local target.
    pub aborts: u64,
    /// Calls answered by a target while the node was stopping or draining.
    pub answered_while_leaving: u64,
    /// Calls refused meanwhile.
    pub refused_while_leaving: u64,
}

impl RequestCounters {
    /// Counts the actions that result from one event.
    pub(super) fn count(&mut self, actions: &[RequestAction], is_leaving: bool) {
        for action in actions {
            self.count_one(action);
            if is_leaving {
                self.count_while_leaving(action);
            }
        }
    }

    const fn count_while_leaving(&mut self, action: &RequestAction) {
        match action {
            RequestAction::Answer {
                answer: Answer::Response(_),
                ..
            } => self.answered_while_leaving += 1,
            RequestAction::Answer {
                answer: Answer::NotRun { .. },
                ..
            } => self.refused_while_leaving += 1,
            _ => {}
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
            | RequestAction::SendQuota { .. }
            | RequestAction::ReportQuota(_)
            | RequestAction::ReportTarget(_)
            | RequestAction::ReportStop(_)
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
