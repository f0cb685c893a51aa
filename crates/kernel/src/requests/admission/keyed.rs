//! Requests with an idempotency key: each key runs at most once.

use celeryshore_model::HttpResponse;

use super::Admission;
use super::arrival::Arrival;
use super::decision::Refusal;
use super::task::WaiterId;
use super::waiter::Waiter;
use crate::NotRun;
use crate::ReplyOutcome;
use crate::Unknown;
use crate::requests::KeyDecision;
use crate::requests::KeyOutcome;
use crate::requests::KeyedCopy;
use crate::requests::context::Context;

impl Admission {
    /// Handles a copy of a keyed request, also one that waited for another copy.
    pub(super) fn handle_keyed_copy(
        &mut self,
        cx: &mut Context<'_>,
        arrival: Arrival,
        copy: &KeyedCopy,
    ) {
        let unavailable = self.check(cx, &arrival.handover).err();
        if let Some(reason) = unavailable.filter(|reason| !serves_stored_responses(*reason)) {
            self.journal.record_refusal(cx.now, copy);
            self.reply(cx, arrival.origin, Refusal::new(reason).into());
            return;
        }
        let waiter = WaiterId(self.next_number());
        match self.journal.begin(cx.now, copy, waiter) {
            KeyDecision::Run if unavailable.is_some() => {
                self.finish_key(cx, copy, KeyOutcome::NotRun);
                self.refuse(cx, &arrival, unavailable);
            }
            KeyDecision::CheckDuplicates { .. } if unavailable.is_some() => {
                self.refuse(cx, &arrival, unavailable);
            }
            decision => self.apply_key_decision(cx, arrival, copy, waiter, decision),
        }
    }

    /// Applies the journal's decision on a copy.
    pub(super) fn apply_key_decision(
        &mut self,
        cx: &mut Context<'_>,
        arrival: Arrival,
        copy: &KeyedCopy,
        waiter: WaiterId,
        decision: KeyDecision,
    ) {
        let origin = arrival.origin;
        let outcome = match decision {
            KeyDecision::Run => return self.admit(cx, arrival, Some(copy.clone())),
            KeyDecision::CheckDuplicates { fence, is_covered } => {
                return self.start_duplicate_check(cx, arrival, copy, fence, is_covered);
            }
            KeyDecision::Join => return self.add_waiter(waiter, Waiter::Copy(arrival)),
            KeyDecision::Done(response) => completed_outcome(response),
            KeyDecision::Lost => ReplyOutcome::Unknown(Unknown::TargetLost),
            KeyDecision::Superseded => ReplyOutcome::Unknown(Unknown::Superseded),
            KeyDecision::OtherRequest => Refusal::new(NotRun::KeyReused).into(),
            KeyDecision::Expired => ReplyOutcome::Unknown(Unknown::KeyExpired),
            KeyDecision::Full => Refusal::new(NotRun::JournalFull).into(),
        };
        self.reply(cx, origin, outcome);
    }

    /// Records the end of a copy that was allowed to run, and retries those that waited
    /// for it.
    pub(super) fn finish_key(
        &mut self,
        cx: &mut Context<'_>,
        copy: &KeyedCopy,
        outcome: KeyOutcome,
    ) {
        for waiter in self.journal.finish(cx.now, &copy.key, outcome) {
            self.retry_waiter(cx, waiter);
        }
    }

    fn refuse(&self, cx: &mut Context<'_>, arrival: &Arrival, unavailable: Option<NotRun>) {
        let reason = unavailable.unwrap_or(NotRun::Leaving);
        self.reply(cx, arrival.origin, Refusal::new(reason).into());
    }
}

/// Returns the outcome of a copy whose key has run before.
pub(super) fn completed_outcome(response: Option<HttpResponse>) -> ReplyOutcome {
    match response {
        Some(response) => ReplyOutcome::Answered(response),
        None => ReplyOutcome::Unknown(Unknown::AnswerGone),
    }
}

/// Returns `true` if a node that refuses new requests for this reason still returns
/// stored responses.
const fn serves_stored_responses(reason: NotRun) -> bool {
    matches!(
        reason,
        NotRun::Leaving | NotRun::OutOfService | NotRun::Poison
    )
}
