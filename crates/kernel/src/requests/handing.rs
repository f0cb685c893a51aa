//! The handing node: takes callers' requests and hands them to upstreams.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::HttpRequest;
use celeryshore_model::Time;
use celeryshore_model::Upstream;

use crate::Handover;
use crate::NotRun;
use crate::Reply;
use crate::ReplyOutcome;
use crate::Unknown;
use crate::requests::Answer;
use crate::requests::CallId;
use crate::requests::ExchangeId;
use crate::requests::Progress;
use crate::requests::RequestAction;
use crate::requests::balancer::Balancer;
use crate::requests::call::Call;
use crate::requests::call::Leg;
use crate::requests::context::Context;
use crate::requests::timers::Timers;

/// When to come back after a refusal that no upstream gave a time for.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Requests of callers at this node.
#[derive(Debug)]
pub(super) struct Handing {
    calls: BTreeMap<CallId, Call>,
    exchanges: BTreeMap<ExchangeId, CallId>,
    deadlines: Timers<CallId>,
    balancer: Balancer,
}

impl Handing {
    /// Makes the handing side of a process that starts now.
    pub(super) fn new(seed: u64) -> Self {
        Self {
            calls: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            deadlines: Timers::new(),
            balancer: Balancer::new(seed),
        }
    }

    /// Returns the number of calls that have not been answered.
    pub(super) fn open(&self) -> usize {
        self.calls.len()
    }

    /// Returns the earliest deadline.
    pub(super) fn next_due(&self) -> Option<Time> {
        self.deadlines.next()
    }

    /// Takes a caller's request.
    pub(super) fn arrived(&mut self, cx: &mut Context<'_>, id: CallId, request: HttpRequest) {
        match Call::route(cx, request, self.balancer.draw()) {
            Ok(call) => {
                self.deadlines.set(id, call.deadline);
                self.hand_over(cx, id, call, NotRun::NoUpstream, RETRY_AFTER);
            }
            Err(reason) => answer_not_run(cx, id, reason, RETRY_AFTER),
        }
    }

    /// Gives up a call whose caller has gone.
    pub(super) fn cancelled(&mut self, cx: &mut Context<'_>, id: CallId) {
        if let Some(leg) = self.close(cx, id) {
            self.balancer.abandoned(&leg);
        }
    }

    /// Answers the calls whose deadline has passed.
    pub(super) fn expire(&mut self, cx: &mut Context<'_>) {
        while let Some(id) = self.deadlines.pop(cx.now.mono) {
            if let Some(leg) = self.close(cx, id) {
                self.balancer.failed(cx.now.mono, &leg);
            }
            answer_unknown(cx, id, Unknown::Deadline);
        }
    }

    /// Takes the reply to a hand-over.
    pub(super) fn replied(&mut self, cx: &mut Context<'_>, exchange: ExchangeId, reply: Reply) {
        let Some((id, call, leg)) = self.take(exchange) else {
            return;
        };
        self.balancer.replied(cx, &leg, &reply);
        match reply.outcome {
            ReplyOutcome::Answered(response) => self.answer(cx, id, Answer::Whole(response)),
            ReplyOutcome::NotRun {
                reason,
                retry_after,
            } => self.refused(cx, id, call, reason, retry_after),
            ReplyOutcome::Unknown(reason) => self.unknown(cx, id, call, reason),
        }
    }

    /// Takes the failure of a hand-over's exchange.
    pub(super) fn failed(
        &mut self,
        cx: &mut Context<'_>,
        exchange: ExchangeId,
        progress: Progress,
    ) {
        let Some((id, call, leg)) = self.take(exchange) else {
            return;
        };
        self.balancer.failed(cx.now.mono, &leg);
        match progress {
            Progress::NeverSent => {
                self.hand_over(cx, id, call, NotRun::NoUpstream, RETRY_AFTER);
            }
            Progress::MaybeSent => self.unknown(cx, id, call, Unknown::PeerLost),
        }
    }

    fn refused(
        &mut self,
        cx: &mut Context<'_>,
        id: CallId,
        call: Call,
        reason: NotRun,
        retry_after: Duration,
    ) {
        self.hand_over(cx, id, call, reason, retry_after);
    }

    fn unknown(&mut self, cx: &mut Context<'_>, id: CallId, call: Call, reason: Unknown) {
        if call.is_repeatable() && reason != Unknown::Deadline {
            self.hand_over(cx, id, call, NotRun::NoUpstream, RETRY_AFTER);
        } else {
            self.deadlines.cancel(id);
            answer_unknown(cx, id, reason);
        }
    }

    fn hand_over(
        &mut self,
        cx: &mut Context<'_>,
        id: CallId,
        mut call: Call,
        reason: NotRun,
        retry_after: Duration,
    ) {
        let Some(upstream) = self.balancer.pick(cx, &call) else {
            self.deadlines.cancel(id);
            answer_not_run(cx, id, reason, retry_after);
            return;
        };
        let handover = handover(cx, &call, &upstream);
        let exchange = cx.send(&upstream, Box::new(handover).into(), call.deadline);
        call.handovers += 1;
        call.tried.push(upstream.name.clone());
        call.current = Some(Leg {
            exchange,
            is_local: upstream.vm == cx.view.cfg().vm,
            upstream: upstream.name,
        });
        self.exchanges.insert(exchange, id);
        self.calls.insert(id, call);
    }

    fn take(&mut self, exchange: ExchangeId) -> Option<(CallId, Call, Leg)> {
        let id = self.exchanges.remove(&exchange)?;
        let mut call = self.calls.remove(&id)?;
        let leg = call.current.take()?;
        Some((id, call, leg))
    }

    fn close(&mut self, cx: &mut Context<'_>, id: CallId) -> Option<Leg> {
        self.deadlines.cancel(id);
        let leg = self.calls.remove(&id)?.current?;
        self.exchanges.remove(&leg.exchange);
        cx.abandon(leg.exchange, leg.is_local);
        Some(leg)
    }

    fn answer(&mut self, cx: &mut Context<'_>, call: CallId, answer: Answer) {
        self.deadlines.cancel(call);
        cx.actions.push(RequestAction::Answer { call, answer });
    }
}

fn handover(cx: &Context<'_>, call: &Call, upstream: &Upstream) -> Handover {
    Handover {
        from: cx.view.cfg().vm.clone(),
        version: cx.view.version(),
        upstream: upstream.name.clone(),
        kind: call.kind.clone(),
        delivery: call.delivery.clone(),
        remaining: call.deadline - cx.now.mono,
        depth: call.depth,
        fingerprint: call.fingerprint,
        casualties: call.casualties.clone(),
        request: call.request.clone(),
    }
}

fn answer_not_run(cx: &mut Context<'_>, call: CallId, reason: NotRun, retry_after: Duration) {
    let answer = Answer::NotRun {
        reason,
        retry_after,
    };
    cx.actions.push(RequestAction::Answer { call, answer });
}

fn answer_unknown(cx: &mut Context<'_>, call: CallId, reason: Unknown) {
    let answer = Answer::Unknown {
        reason,
        retry_after: RETRY_AFTER,
    };
    cx.actions.push(RequestAction::Answer { call, answer });
}
