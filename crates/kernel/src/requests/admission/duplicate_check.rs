//! Check of a keyed request for duplicates at other upstreams.
//!
//! Before a copy runs here, every other upstream of the service that may have run its
//! key is asked. Each of these witnesses votes on what it has seen, and sets a fence
//! that keeps copies of lower rank from running there.

use std::collections::BTreeMap;

use celeryshore_model::Upstream;
use celeryshore_model::Version;
use celeryshore_model::VmName;

use super::Admission;
use super::arrival;
use super::arrival::Arrival;
use super::decision::Refusal;
use super::keyed;
use super::task::DuplicateCheckId;
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

/// Result of a vote: a reason why the outcome is unknown, if there is one; the error is
/// an outcome that the vote decides.
type Result<T> = std::result::Result<T, ReplyOutcome>;

/// Duplicate check in progress.
#[derive(Debug)]
pub(super) struct DuplicateCheck {
    pub(super) arrival: Arrival,
    copy: KeyedCopy,
    fence: Fence,
    version: Version,
    /// Whether the copy is a first attempt. It is checked only because other nodes may
    /// not know this node yet.
    is_first_send: bool,
    /// Whether every witness so far has replied under a version that lists this node.
    is_known_to_witnesses: bool,
    /// Witnesses that haven't voted.
    pending: BTreeMap<ExchangeId, VmName>,
    unknown_reason: Option<Unknown>,
}

impl DuplicateCheck {
    /// Returns the outcome if the check fails.
    ///
    /// A first attempt was fenced here before it ran, so it certainly didn't run.
    pub(super) fn failure_outcome(&self, unknown_reason: Unknown) -> ReplyOutcome {
        if self.is_first_send {
            Refusal::new(NotRun::Learning).into()
        } else {
            ReplyOutcome::Unknown(unknown_reason)
        }
    }

    /// Records that a witness can't be asked.
    const fn record_unreachable(&mut self) {
        self.is_known_to_witnesses = false;
        self.unknown_reason = Some(Unknown::WitnessUnreachable);
    }

    /// Returns why the outcome is unknown in spite of all votes, if it is.
    ///
    /// A newer configuration may have upstreams that weren't asked.
    fn unknown_reason(&self, cx: &Context<'_>) -> Option<Unknown> {
        let is_current = self.version == cx.view.version() && !cx.view.is_behind();
        self.unknown_reason
            .or_else(|| (!is_current).then_some(Unknown::NotJudged))
    }
}

impl Admission {
    /// Asks every other upstream that may have run the key, and fences the key there.
    pub(super) fn start_duplicate_check(
        &mut self,
        cx: &mut Context<'_>,
        arrival: Arrival,
        copy: &KeyedCopy,
        fence: Fence,
        is_covered: bool,
    ) {
        let is_first_send = fence.sequence == 0 && arrival::is_first_send(cx, &arrival.handover);
        let has_unlisted_inquirer = self
            .unlisted_inquirers
            .has_other(&copy.key, &cx.view.cfg().vm);
        let is_known = is_covered && cx.view.knows_witnesses(cx.now, &copy.key);
        let id = DuplicateCheckId(self.next_number());
        self.origins.insert(arrival.origin, id.into());
        self.deadlines.set(id.into(), arrival.deadline);
        let mut check = DuplicateCheck {
            arrival,
            copy: copy.clone(),
            fence,
            pending: BTreeMap::new(),
            version: cx.view.version(),
            is_first_send,
            is_known_to_witnesses: true,
            unknown_reason: initial_unknown_reason(
                has_unlisted_inquirer,
                is_known || is_first_send,
            ),
        };
        for witness in cx.view.witnesses(cx.now.mono) {
            self.send_inquiry(cx, id, &mut check, &witness);
        }
        self.duplicate_checks.insert(id, check);
        self.conclude_if_complete(cx, id);
    }

    /// Handles the vote of a witness.
    pub(in crate::requests) fn handle_vote(
        &mut self,
        cx: &mut Context<'_>,
        exchange: ExchangeId,
        vote: Vote,
    ) {
        let Some(id) = self.inquiries.remove(&exchange) else {
            return;
        };
        let Some(check) = self.duplicate_checks.get_mut(&id) else {
            return;
        };
        let witness = check.pending.remove(&exchange);
        check.is_known_to_witnesses &= vote.version >= check.version;
        if vote.version > cx.view.version() {
            catch_up(cx, &vote, witness);
        }
        match evaluate_vote(vote.seen, check.is_first_send) {
            Ok(unknown_reason) => check.unknown_reason = check.unknown_reason.or(unknown_reason),
            Err(outcome) => return self.conclude(cx, id, outcome),
        }
        self.conclude_if_complete(cx, id);
    }

    /// Handles a failed inquiry: its witness can't be asked.
    pub(in crate::requests) fn handle_inquiry_failure(
        &mut self,
        cx: &mut Context<'_>,
        exchange: ExchangeId,
    ) {
        let Some(id) = self.inquiries.remove(&exchange) else {
            return;
        };
        if let Some(check) = self.duplicate_checks.get_mut(&id) {
            check.pending.remove(&exchange);
            check.record_unreachable();
        }
        self.conclude_if_complete(cx, id);
    }

    /// Handles a state change of a member. A check doesn't wait for a dead witness.
    pub(in crate::requests) fn handle_member_state(
        &mut self,
        cx: &mut Context<'_>,
        vm: &VmName,
        state: MemberState,
    ) {
        if state != MemberState::Dead {
            return;
        }
        let pending = self.duplicate_checks.values().flat_map(|c| &c.pending);
        let lost: Vec<_> = pending
            .filter(|(_, witness)| *witness == vm)
            .map(|(exchange, _)| *exchange)
            .collect();
        for exchange in lost {
            cx.abandon(exchange, false);
            self.handle_inquiry_failure(cx, exchange);
        }
    }

    /// Removes a check and abandons its pending inquiries.
    pub(super) fn remove_duplicate_check(
        &mut self,
        cx: &mut Context<'_>,
        id: DuplicateCheckId,
    ) -> Option<DuplicateCheck> {
        let check = self.duplicate_checks.remove(&id)?;
        self.origins.remove(&check.arrival.origin);
        self.deadlines.cancel(id.into());
        for exchange in check.pending.keys() {
            self.inquiries.remove(exchange);
            cx.abandon(*exchange, false);
        }
        Some(check)
    }

    fn send_inquiry(
        &mut self,
        cx: &mut Context<'_>,
        id: DuplicateCheckId,
        check: &mut DuplicateCheck,
        witness: &Upstream,
    ) {
        if cx.view.member(&witness.vm) == MemberState::Dead {
            check.record_unreachable();
            return;
        }
        let inquiry = inquiry(cx, check);
        let exchange = cx.send(witness, inquiry.into(), check.arrival.deadline);
        check.pending.insert(exchange, witness.vm.clone());
        self.inquiries.insert(exchange, id);
    }

    fn conclude(&mut self, cx: &mut Context<'_>, id: DuplicateCheckId, outcome: ReplyOutcome) {
        if let Some(check) = self.remove_duplicate_check(cx, id) {
            self.reply(cx, check.arrival.origin, outcome);
        }
    }

    fn conclude_if_complete(&mut self, cx: &mut Context<'_>, id: DuplicateCheckId) {
        let check = self.duplicate_checks.get(&id);
        let Some(check) = check.filter(|c| c.pending.is_empty()) else {
            return;
        };
        if check.is_known_to_witnesses && check.version == cx.view.version() {
            cx.view.mark_known_to_peers();
        }
        if let Some(unknown_reason) = check.unknown_reason(cx) {
            let outcome = check.failure_outcome(unknown_reason);
            self.conclude(cx, id, outcome);
            return;
        }
        let Some(check) = self.remove_duplicate_check(cx, id) else {
            return;
        };
        let DuplicateCheck {
            arrival,
            copy,
            fence,
            ..
        } = check;
        let waiter = WaiterId(self.next_number());
        let decision = self
            .journal
            .finish_duplicate_check(cx.now, &copy, &fence, waiter);
        self.apply_key_decision(cx, arrival, &copy, waiter, decision);
    }
}

/// Returns why the outcome is unknown before any witness was asked, if it is.
fn initial_unknown_reason(has_unlisted_inquirer: bool, is_known: bool) -> Option<Unknown> {
    if has_unlisted_inquirer {
        Some(Unknown::NotJudged)
    } else {
        (!is_known).then_some(Unknown::WitnessRestarted)
    }
}

fn inquiry(cx: &Context<'_>, check: &DuplicateCheck) -> Inquiry {
    let DuplicateCheck {
        arrival,
        copy,
        fence,
        ..
    } = check;
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

/// Returns the reason why the outcome is unknown after a vote, if there is one, or the
/// outcome that the vote decides.
fn evaluate_vote(seen: Seen, is_first_send: bool) -> Result<Option<Unknown>> {
    match seen {
        Seen::Fenced => Ok(None),
        Seen::TooYoung if is_first_send => Ok(None),
        Seen::TooYoung => Ok(Some(Unknown::WitnessRestarted)),
        Seen::Behind => Ok(Some(Unknown::WitnessUnreachable)),
        Seen::Done(response) => Err(keyed::completed_outcome(response)),
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
