//! Judgement of a keyed copy: has its key run at any other upstream?

use std::collections::BTreeMap;

use celeryshore_model::Upstream;
use celeryshore_model::Version;
use celeryshore_model::VmName;

use super::Admitting;
use super::arrival;
use super::arrival::Arrival;
use super::decision::Refusal;
use super::keyed;
use super::task::JudgementId;
use super::task::WaiterId;
use crate::Fence;
use crate::Inquiry;
use crate::MemberState;
use crate::NotRun;
use crate::ReplyOutcome;
use crate::Seen;
use crate::Unknown;
use crate::Vote;
use crate::requests::ExchangeId;
use crate::requests::KeyedCopy;
use crate::requests::RequestAction;
use crate::requests::context::Context;

/// What a vote leaves in doubt, or the outcome that it decides.
type Result<T> = std::result::Result<T, ReplyOutcome>;

/// A judgement under way.
#[derive(Debug)]
pub(super) struct Judgement {
    /// The copy that is judged.
    pub(super) arrival: Arrival,
    copy: KeyedCopy,
    fence: Fence,
    version: Version,
    /// Whether it is a first send, which is only judged because other nodes may
    /// not know this one yet.
    is_first: bool,
    /// Whether every witness so far has shown a version that lists this node.
    introduces: bool,
    /// Witnesses that have not voted.
    pending: BTreeMap<ExchangeId, VmName>,
    doubt: Option<Unknown>,
}

impl Judgement {
    /// Returns the outcome where the judgement cannot end well.
    ///
    /// A first send was fenced here before it ran, so it certainly did not run.
    pub(super) fn refusal(&self, doubt: Unknown) -> ReplyOutcome {
        if self.is_first {
            Refusal::new(NotRun::Learning).into()
        } else {
            ReplyOutcome::Unknown(doubt)
        }
    }

    /// Notes a witness that cannot be asked.
    const fn miss(&mut self) {
        self.introduces = false;
        self.doubt = Some(Unknown::WitnessUnreachable);
    }

    /// Returns what is in doubt after all votes.
    ///
    /// A newer configuration may have upstreams that were not asked.
    fn doubt(&self, cx: &Context<'_>) -> Option<Unknown> {
        let is_current = self.version == cx.view.version() && !cx.view.is_behind();
        self.doubt
            .or_else(|| (!is_current).then_some(Unknown::NotJudged))
    }
}

impl Admitting {
    /// Asks every other upstream that may have run the key, and fences it there.
    pub(super) fn judge(
        &mut self,
        cx: &mut Context<'_>,
        arrival: Arrival,
        copy: &KeyedCopy,
        fence: Fence,
        is_covered: bool,
    ) {
        let is_first = fence.sequence == 0 && arrival::is_first_send(cx, &arrival.handover);
        let is_incomplete = self.strangers.have_judged(&copy.key, &cx.view.cfg().vm);
        let is_known = is_covered && cx.view.knows_witnesses(cx.now, &copy.key);
        let id = JudgementId(self.next_number());
        self.origins.insert(arrival.origin, id.into());
        self.deadlines.set(id.into(), arrival.deadline);
        let mut judgement = Judgement {
            arrival,
            copy: copy.clone(),
            fence,
            pending: BTreeMap::new(),
            version: cx.view.version(),
            is_first,
            introduces: true,
            doubt: first_doubt(is_incomplete, is_known || is_first),
        };
        for witness in cx.view.witnesses(cx.now.mono) {
            self.ask(cx, id, &mut judgement, &witness);
        }
        self.judgements.insert(id, judgement);
        self.conclude_if_complete(cx, id);
    }

    /// Takes the vote of a witness.
    pub(in crate::requests) fn voted(
        &mut self,
        cx: &mut Context<'_>,
        exchange: ExchangeId,
        vote: Vote,
    ) {
        let Some(id) = self.inquiries.remove(&exchange) else {
            return;
        };
        let Some(judgement) = self.judgements.get_mut(&id) else {
            return;
        };
        let witness = judgement.pending.remove(&exchange);
        judgement.introduces &= vote.version >= judgement.version;
        if vote.version > cx.view.version() {
            catch_up(cx, &vote, witness);
        }
        match verdict(vote.seen, judgement.is_first) {
            Ok(doubt) => judgement.doubt = judgement.doubt.or(doubt),
            Err(outcome) => return self.conclude(cx, id, outcome),
        }
        self.conclude_if_complete(cx, id);
    }

    /// Takes the failure of an inquiry: its witness cannot be asked.
    pub(in crate::requests) fn inquiry_failed(
        &mut self,
        cx: &mut Context<'_>,
        exchange: ExchangeId,
    ) {
        let Some(id) = self.inquiries.remove(&exchange) else {
            return;
        };
        if let Some(judgement) = self.judgements.get_mut(&id) {
            judgement.pending.remove(&exchange);
            judgement.miss();
        }
        self.conclude_if_complete(cx, id);
    }

    /// Takes the state of a member; a judgement does not wait for one that is lost.
    pub(in crate::requests) fn observed(
        &mut self,
        cx: &mut Context<'_>,
        vm: &VmName,
        state: MemberState,
    ) {
        if state != MemberState::Dead {
            return;
        }
        let pending = self.judgements.values().flat_map(|j| &j.pending);
        let lost: Vec<_> = pending
            .filter(|(_, witness)| *witness == vm)
            .map(|(exchange, _)| *exchange)
            .collect();
        for exchange in lost {
            cx.abandon(exchange, false);
            self.inquiry_failed(cx, exchange);
        }
    }

    /// Gives up a judgement.
    pub(super) fn end_judgement(
        &mut self,
        cx: &mut Context<'_>,
        id: JudgementId,
    ) -> Option<Judgement> {
        let judgement = self.judgements.remove(&id)?;
        self.origins.remove(&judgement.arrival.origin);
        self.deadlines.cancel(id.into());
        for exchange in judgement.pending.keys() {
            self.inquiries.remove(exchange);
            cx.abandon(*exchange, false);
        }
        Some(judgement)
    }

    fn ask(
        &mut self,
        cx: &mut Context<'_>,
        id: JudgementId,
        judgement: &mut Judgement,
        witness: &Upstream,
    ) {
        if cx.view.member(&witness.vm) == MemberState::Dead {
            judgement.miss();
            return;
        }
        let inquiry = inquiry(cx, judgement);
        let exchange = cx.send(witness, inquiry.into(), judgement.arrival.deadline);
        judgement.pending.insert(exchange, witness.vm.clone());
        self.inquiries.insert(exchange, id);
    }

    fn conclude(&mut self, cx: &mut Context<'_>, id: JudgementId, outcome: ReplyOutcome) {
        if let Some(judgement) = self.end_judgement(cx, id) {
            self.reply(cx, judgement.arrival.origin, outcome);
        }
    }

    fn conclude_if_complete(&mut self, cx: &mut Context<'_>, id: JudgementId) {
        let judgement = self.judgements.get(&id);
        let Some(judgement) = judgement.filter(|j| j.pending.is_empty()) else {
            return;
        };
        if judgement.introduces && judgement.version == cx.view.version() {
            cx.view.mark_known_to_peers();
        }
        if let Some(doubt) = judgement.doubt(cx) {
            let outcome = judgement.refusal(doubt);
            self.conclude(cx, id, outcome);
            return;
        }
        let Some(judgement) = self.end_judgement(cx, id) else {
            return;
        };
        let Judgement {
            arrival,
            copy,
            fence,
            ..
        } = judgement;
        let waiter = WaiterId(self.next_number());
        let begin = self
            .journal
            .finish_duplicate_check(cx.now, &copy, &fence, waiter);
        self.begun(cx, arrival, &copy, waiter, begin);
    }
}

/// Returns what is in doubt before any witness was asked.
fn first_doubt(is_incomplete: bool, is_known: bool) -> Option<Unknown> {
    if is_incomplete {
        Some(Unknown::NotJudged)
    } else {
        (!is_known).then_some(Unknown::WitnessRestarted)
    }
}

fn inquiry(cx: &Context<'_>, judgement: &Judgement) -> Inquiry {
    let Judgement {
        arrival,
        copy,
        fence,
        ..
    } = judgement;
    Inquiry {
        from: cx.view.cfg().vm.clone(),
        version: cx.view.version(),
        kind: arrival.handover.kind.clone(),
        key: copy.key.clone(),
        fingerprint: copy.fingerprint,
        fence: fence.clone(),
        remaining: arrival.deadline - cx.now.mono,
    }
}

/// Returns what a vote leaves in doubt, or the outcome that it decides.
fn verdict(seen: Seen, is_first: bool) -> Result<Option<Unknown>> {
    match seen {
        Seen::Fenced => Ok(None),
        Seen::TooYoung if is_first => Ok(None),
        Seen::TooYoung => Ok(Some(Unknown::WitnessRestarted)),
        Seen::Behind => Ok(Some(Unknown::WitnessUnreachable)),
        Seen::Done(answer) => Err(keyed::done(answer)),
        Seen::Lost => Err(ReplyOutcome::Unknown(Unknown::TargetLost)),
        Seen::Outranked(_) => Err(ReplyOutcome::Unknown(Unknown::Superseded)),
        Seen::OtherRequest => Err(Refusal::new(NotRun::KeyReused).into()),
    }
}

fn catch_up(cx: &mut Context<'_>, vote: &Vote, witness: Option<VmName>) {
    if let Some(from) = witness {
        cx.actions.push(RequestAction::CatchUp {
            version: vote.version,
            from,
        });
    }
}
