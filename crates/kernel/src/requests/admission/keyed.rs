//! Keyed requests: each key runs at most once.

use celeryshore_model::HttpResponse;

use super::Admitting;
use super::arrival::Arrival;
use super::check;
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

impl Admitting {
    /// Takes a copy of a keyed request, which may be one that waited.
    pub(super) fn received_copy(
        &mut self,
        cx: &mut Context<'_>,
        arrival: Arrival,
        copy: &KeyedCopy,
    ) {
        let closed = check::check(cx, &arrival.handover).err();
        if let Some(reason) = closed.filter(|reason| !is_remembered(*reason)) {
            self.journal.record_refusal(cx.now, copy);
            self.reply(cx, arrival.origin, Refusal::new(reason).into());
            return;
        }
        let waiter = WaiterId(self.next_number());
        match self.journal.begin(cx.now, copy, waiter) {
            KeyDecision::Run if closed.is_some() => {
                self.end_key(cx, copy, KeyOutcome::NotRun);
                self.refuse_closed(cx, &arrival, closed);
            }
            KeyDecision::CheckDuplicates { .. } if closed.is_some() => {
                self.refuse_closed(cx, &arrival, closed);
            }
            begin => self.begun(cx, arrival, copy, waiter, begin),
        }
    }

    /// Does what the journal says of a copy.
    pub(super) fn begun(
        &mut self,
        cx: &mut Context<'_>,
        arrival: Arrival,
        copy: &KeyedCopy,
        waiter: WaiterId,
        begin: KeyDecision,
    ) {
        let origin = arrival.origin;
        let outcome = match begin {
            KeyDecision::Run => return self.admit(cx, arrival, Some(copy.clone())),
            KeyDecision::CheckDuplicates { fence, is_covered } => {
                return self.judge(cx, arrival, copy, fence, is_covered);
            }
            KeyDecision::Join => return self.wait(waiter, Waiter::Copy(arrival)),
            KeyDecision::Done(answer) => done(answer),
            KeyDecision::Lost => ReplyOutcome::Unknown(Unknown::TargetLost),
            KeyDecision::Superseded => ReplyOutcome::Unknown(Unknown::Superseded),
            KeyDecision::OtherRequest => Refusal::new(NotRun::KeyReused).into(),
            KeyDecision::Expired => ReplyOutcome::Unknown(Unknown::KeyExpired),
            KeyDecision::Full => Refusal::new(NotRun::JournalFull).into(),
        };
        self.reply(cx, origin, outcome);
    }

    /// Records how a copy that was allowed to run ended; those who waited for
    /// it ask again.
    pub(super) fn end_key(&mut self, cx: &mut Context<'_>, copy: &KeyedCopy, outcome: KeyOutcome) {
        for waiter in self.journal.finish(cx.now, &copy.key, outcome) {
            self.ask_again(cx, waiter);
        }
    }

    fn refuse_closed(&self, cx: &mut Context<'_>, arrival: &Arrival, closed: Option<NotRun>) {
        let reason = closed.unwrap_or(NotRun::Leaving);
        self.reply(cx, arrival.origin, Refusal::new(reason).into());
    }
}

/// Returns the outcome of a copy whose key ran before.
pub(super) fn done(answer: Option<HttpResponse>) -> ReplyOutcome {
    match answer {
        Some(response) => ReplyOutcome::Answered(response),
        None => ReplyOutcome::Unknown(Unknown::AnswerGone),
    }
}

/// Tells whether a node that refuses for this reason still gives the answers
/// that it remembers.
const fn is_remembered(reason: NotRun) -> bool {
    matches!(
        reason,
        NotRun::Leaving | NotRun::OutOfService | NotRun::Poison
    )
}
