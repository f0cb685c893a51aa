//! Calls that wait for a credit of their workspace's quota.
//!
//! Load pattern: a workspace whose callers use another node with each request. The node
//! then holds no credit when a request arrives, but an owner lends one within a round trip.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::Time;
use celeryshore_model::WorkspaceName;

use super::Forwarder;
use super::call::Call;
use super::retry;
use crate::NotRun;
use crate::RequestStep;
use crate::requests::CallId;
use crate::requests::context::Context;
use crate::requests::timers::Timers;

/// Longest wait for a credit. An owner that does not answer is given up before.
const MAX_CREDIT_WAIT: Duration = Duration::from_millis(200);
/// Divisor of the target latency: the longest wait for a credit.
const CREDIT_WAIT_DIVISOR: u32 = 4;

/// Calls that wait for a credit.
#[derive(Debug)]
pub(super) struct QuotaWaits {
    calls: BTreeMap<CallId, WaitingCall>,
    deadlines: Timers<CallId>,
}

#[derive(Debug)]
struct WaitingCall {
    call: Call,
    /// Time in which the caller may retry if no credit comes.
    retry_after: Duration,
}

impl QuotaWaits {
    /// Creates a set without calls.
    pub(super) fn new() -> Self {
        Self {
            calls: BTreeMap::new(),
            deadlines: Timers::new(),
        }
    }

    /// Returns the number of calls that wait.
    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns the end of the earliest wait.
    pub(super) fn next_due(&self) -> Option<Time> {
        self.deadlines.next()
    }

    /// Removes a call whose caller has left. Returns its workspace.
    pub(super) fn cancel(&mut self, id: CallId) -> Option<WorkspaceName> {
        self.take(id)?.call.workspace
    }

    fn take(&mut self, id: CallId) -> Option<WaitingCall> {
        self.deadlines.cancel(id);
        self.calls.remove(&id)
    }
}

impl Forwarder {
    /// Starts a call if its workspace has a credit for it. Without a credit it waits for
    /// the answer of an owner if one was asked, and is refused otherwise.
    pub(super) fn start_within_quota(&mut self, cx: &mut Context<'_>, id: CallId, call: Call) {
        let Some(workspace) = call.workspace.clone() else {
            return self.start(cx, id, call);
        };
        let now = cx.now.mono;
        match cx.quotas.admit(now, id, &workspace, cx.actions) {
            Ok(()) => self.start(cx, id, call),
            Err(retry_after) if cx.quotas.is_asking(&workspace) => {
                let latency = call.target_latency.map(|t| t / CREDIT_WAIT_DIVISOR);
                let wait = latency.map_or(MAX_CREDIT_WAIT, |wait| wait.min(MAX_CREDIT_WAIT));
                self.quota_waits.deadlines.set(id, now + wait);
                let waiting = WaitingCall { call, retry_after };
                self.quota_waits.calls.insert(id, waiting);
            }
            Err(retry_after) => self.refuse_for_quota(cx, id, &call, retry_after),
        }
    }

    /// Starts the waiting calls for which there is a credit now, and refuses those whose
    /// workspace waits for no further answer.
    pub(in crate::requests) fn resume_waiting(&mut self, cx: &mut Context<'_>) {
        let waiting: Vec<_> = self.quota_waits.calls.keys().copied().collect();
        for id in waiting {
            let Some(waiting) = self.quota_waits.calls.get(&id) else {
                continue;
            };
            let Some(workspace) = waiting.call.workspace.clone() else {
                continue;
            };
            let is_admitted = cx.quotas.admit_waiting(cx.now.mono, id, &workspace);
            if !is_admitted && cx.quotas.is_asking(&workspace) {
                continue;
            }
            let Some(WaitingCall { call, retry_after }) = self.quota_waits.take(id) else {
                continue;
            };
            if is_admitted {
                self.start(cx, id, call);
            } else {
                self.refuse_for_quota(cx, id, &call, retry_after);
            }
        }
    }

    /// Refuses the calls that have waited too long.
    pub(super) fn expire_waiting(&mut self, cx: &mut Context<'_>) {
        self.resume_waiting(cx);
        while let Some(id) = self.quota_waits.deadlines.pop(cx.now.mono) {
            if let Some(WaitingCall { call, retry_after }) = self.quota_waits.calls.remove(&id) {
                self.refuse_for_quota(cx, id, &call, retry_after);
            }
        }
    }

    /// Refuses all waiting calls, before a stop.
    pub(super) fn end_waiting(&mut self, cx: &mut Context<'_>) {
        let waiting: Vec<_> = self.quota_waits.calls.keys().copied().collect();
        for id in waiting {
            if let Some(WaitingCall { call, retry_after }) = self.quota_waits.take(id) {
                self.refuse_for_quota(cx, id, &call, retry_after);
            }
        }
    }

    fn refuse_for_quota(
        &mut self,
        cx: &mut Context<'_>,
        id: CallId,
        call: &Call,
        retry_after: Duration,
    ) {
        if let Some(workspace) = &call.workspace {
            cx.quotas.stop_waiting(workspace);
        }
        let reason = NotRun::Quota;
        let answer = retry::refusal_answer(call, reason, retry_after);
        self.answer(cx, id, answer);
        call.report(cx, RequestStep::RefusedHere { reason });
    }
}
