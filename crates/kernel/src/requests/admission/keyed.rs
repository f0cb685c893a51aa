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
use crate::requests::Begin;
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
            self.journal.pass(cx.now, copy);
            self.reply(cx, arrival.origin, Refusal::new(reason).into());
            return;
        }
        let waiter = WaiterId(self.next_number());
        match self.journal.begin(cx.now, copy, waiter) {
            Begin::Run if closed.is_some() => {
                self.end_key(cx, copy, KeyOutcome::NotRun);
                self.refuse_closed(cx, &arrival, closed);
            }
            Begin::Judge { .. } if closed.is_some() => self.refuse_closed(cx, &arrival, closed),
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
        begin: Begin,
    ) {
        let origin = arrival.origin;
        let outcome = match begin {
            Begin::Run => return self.admit(cx, arrival, Some(copy.clone())),
            Begin::Judge { fence, vouches } => {
                return self.judge(cx, arrival, copy, fence, vouches);
            }
            Begin::Join => return self.wait(waiter, Waiter::Copy(arrival)),
            Begin::Done(answer) => done(answer),
            Begin::Lost => ReplyOutcome::Unknown(Unknown::TargetLost),
            Begin::Superseded => ReplyOutcome::Unknown(Unknown::Superseded),
            Begin::OtherRequest => Refusal::new(NotRun::KeyReused).into(),
            Begin::Expired => ReplyOutcome::Unknown(Unknown::KeyExpired),
            Begin::Full => Refusal::new(NotRun::JournalFull).into(),
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
