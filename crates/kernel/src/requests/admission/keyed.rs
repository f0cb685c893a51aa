//! Requests with an idempotency key: each key runs at most once.

use celeryshore_model::HttpResponse;

use super::Admission;
use super::arrival::Arrival;
use super::check;
use super::decision::Refusal;
use super::task::WaiterId;
use super::waiter::Waiter;
use crate::NotRun;
use crate::ReplyOutcome;
use crate::Unknown;
use crate::requests::Begin;
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
        let unavailable = check::check(cx, &arrival.handover).err();
        if let Some(reason) = unavailable.filter(|reason| !serves_stored_responses(*reason)) {
            self.journal.pass(cx.now, copy);
            self.reply(cx, arrival.origin, Refusal::new(reason).into());
            return;
        }
        let waiter = WaiterId(self.next_number());
        match self.journal.begin(cx.now, copy, waiter) {
            Begin::Run if unavailable.is_some() => {
                self.finish_key(cx, copy, KeyOutcome::NotRun);
                self.refuse(cx, &arrival, unavailable);
            }
            Begin::Judge { .. } if unavailable.is_some() => self.refuse(cx, &arrival, unavailable),
            begin => self.apply_key_decision(cx, arrival, copy, waiter, begin),
        }
    }

    /// Applies the journal's decision on a copy.
    pub(super) fn apply_key_decision(
        &mut self,
        cx: &mut Context<'_>,
        arrival: Arrival,
        copy: &KeyedCopy,
        waiter: WaiterId,
        begin: Begin,
    ) {
        let origin = arrival.origin;
        let outcome = match begin {
            Begin::Run => return self.admit(cx, arrival, Some(copy.clone())),
            Begin::Judge { fence, vouches } => {
                return self.start_duplicate_check(cx, arrival, copy, fence, vouches);
            }
            Begin::Join => return self.add_waiter(waiter, Waiter::Copy(arrival)),
            Begin::Done(answer) => completed_outcome(answer),
            Begin::Lost => ReplyOutcome::Unknown(Unknown::TargetLost),
            Begin::Superseded => ReplyOutcome::Unknown(Unknown::Superseded),
            Begin::OtherRequest => Refusal::new(NotRun::KeyReused).into(),
            Begin::Expired => ReplyOutcome::Unknown(Unknown::KeyExpired),
            Begin::Full => Refusal::new(NotRun::JournalFull).into(),
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
pub(super) fn completed_outcome(answer: Option<HttpResponse>) -> ReplyOutcome {
    match answer {
        Some(response) => ReplyOutcome::Answered(response),
        None => ReplyOutcome::Unknown(Unknown::AnswerGone),
    }
}

/// Returns whether a node that refuses new requests for this reason still returns stored
/// answers.
const fn serves_stored_responses(reason: NotRun) -> bool {
    matches!(
        reason,
        NotRun::Leaving | NotRun::OutOfService | NotRun::Poison
    )
}
