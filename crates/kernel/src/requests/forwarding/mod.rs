//! The handing node: takes callers' requests and hands them to upstreams.

mod balancer;
mod call;
mod poison;
mod response_times;
mod retry;
mod retry_budget;
mod stall;
mod upstream_load;

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::HttpRequest;
use celeryshore_model::ServiceName;
use celeryshore_model::Time;
use celeryshore_model::UpstreamName;

use self::balancer::Balancer;
use self::call::Call;
use self::call::UpstreamRequest;
use self::response_times::ResponseTimes;
use self::retry::MAX_REFUSALS;
use self::retry_budget::RetryBudget;
use self::upstream_load::UpstreamLoad;
use crate::NotRun;
use crate::Reply;
use crate::ReplyOutcome;
use crate::RequestStep;
use crate::Unknown;
use crate::requests::Answer;
use crate::requests::CallId;
use crate::requests::ExchangeId;
use crate::requests::Progress;
use crate::requests::RequestAction;
use crate::requests::context::Context;
use crate::requests::headers;
use crate::requests::timers::Timers;

/// When to come back after a refusal that no upstream gave a time for.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Requests of callers at this node.
#[derive(Debug)]
pub(super) struct Forwarder {
    calls: BTreeMap<CallId, Call>,
    exchanges: BTreeMap<ExchangeId, CallId>,
    deadlines: Timers<CallId>,
    stalls: Timers<CallId>,
    response_times: ResponseTimes,
    balancer: Balancer,
    budgets: BTreeMap<ServiceName, RetryBudget>,
    retries: u64,
}

impl Forwarder {
    /// Makes the handing side of a process that starts now.
    pub(super) fn new(seed: u64) -> Self {
        Self {
            calls: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            deadlines: Timers::new(),
            stalls: Timers::new(),
            response_times: ResponseTimes::default(),
            balancer: Balancer::new(seed),
            budgets: BTreeMap::new(),
            retries: 0,
        }
    }

    /// Returns the number of calls that have not been answered.
    pub(super) fn open(&self) -> usize {
        self.calls.len()
    }

    /// Returns how many hand-overs were retries.
    pub(super) const fn retries(&self) -> u64 {
        self.retries
    }

    /// Returns what is known of the load of each upstream.
    pub(super) fn loads(&self) -> impl Iterator<Item = (&UpstreamName, &UpstreamLoad)> {
        self.balancer.loads()
    }

    /// Returns the earliest deadline.
    pub(super) fn next_due(&self) -> Option<Time> {
        let due = [self.deadlines.next(), self.stalls.next()];
        due.into_iter().flatten().min()
    }

    /// Takes a caller's request.
    pub(super) fn handle_request(
        &mut self,
        cx: &mut Context<'_>,
        id: CallId,
        request: HttpRequest,
    ) {
        let resend = call::Resend::of(&request);
        match Call::route(cx, request, self.balancer.random()) {
            Ok(call) => self.start(cx, id, call),
            Err(reason) if call::may_have_run(reason, resend) => {
                self.answer(cx, id, retry::unknown_answer(Unknown::NotJudged));
            }
            Err(reason) => {
                let retry_after = RETRY_AFTER;
                let answer = Answer::NotRun {
                    reason,
                    retry_after,
                };
                self.answer(cx, id, answer);
            }
        }
    }

    fn start(&mut self, cx: &mut Context<'_>, id: CallId, mut call: Call) {
        call.crashed_vms = cx.suspect_requests.crashed_vms(&call.fingerprint);
        if let Some(service) = cx.view.service(&call.kind.service) {
            let terms = cx.view.cfg().terms.retry;
            let share = terms.share.unwrap_or(service.retry.budget);
            self.budget(cx, &call).deposit(share);
        }
        let now = cx.now.mono;
        if let Some(retry_after) = cx.suspect_requests.quarantine_left(now, &call.fingerprint) {
            let answer = retry::refusal_answer(&call, NotRun::Poison, retry_after);
            self.answer(cx, id, answer);
            return;
        }
        self.deadlines.set(id, call.deadline);
        let answer = retry::refusal_answer(&call, NotRun::NoUpstream, RETRY_AFTER);
        self.forward(cx, id, call, answer);
    }

    /// Gives up a call whose caller has gone.
    pub(super) fn handle_cancellation(&mut self, cx: &mut Context<'_>, id: CallId) {
        for req in self.end_call(cx, id) {
            self.balancer.record_abandoned(&req);
        }
    }

    /// Answers the calls whose deadline has passed, and leaves those that stall.
    pub(super) fn expire(&mut self, cx: &mut Context<'_>) {
        while let Some(id) = self.deadlines.pop(cx.now.mono) {
            if let Some(call) = self.calls.get(&id) {
                call.report(cx, RequestStep::Deadline);
            }
            for req in self.end_call(cx, id) {
                self.record_timeout(cx, &req);
            }
            self.answer(cx, id, retry::unknown_answer(Unknown::Deadline));
        }
        self.reroute_stalled(cx);
    }

    /// Takes the reply to a hand-over.
    pub(super) fn handle_reply(
        &mut self,
        cx: &mut Context<'_>,
        exchange: ExchangeId,
        reply: Reply,
    ) {
        let Some((id, mut call, req)) = self.take_call(exchange) else {
            return;
        };
        self.balancer.record_reply(cx, &req, &reply);
        self.budget(cx, &call).observe(is_overload(&reply.outcome));
        match reply.outcome {
            ReplyOutcome::Answered(response) => {
                cx.suspect_requests.clear(&call.fingerprint);
                if !headers::is_failure(&response) {
                    self.response_times
                        .observe(&call.kind, cx.now.mono - req.since);
                }
                self.abandon_stalled(cx, &mut call);
                self.answer(cx, id, Answer::Response(response));
            }
            ReplyOutcome::NotRun {
                reason,
                retry_after,
            } => self.handle_refusal(cx, id, call, &req, (reason, retry_after)),
            ReplyOutcome::Unknown(reason) => self.handle_unknown(cx, id, call, &req, reason),
        }
    }

    /// Takes the failure of a hand-over's exchange; tells whether it was one.
    pub(super) fn handle_exchange_failure(
        &mut self,
        cx: &mut Context<'_>,
        exchange: ExchangeId,
        progress: Progress,
    ) -> bool {
        let Some((id, call, req)) = self.take_call(exchange) else {
            return false;
        };
        self.balancer.record_failure(cx.now.mono, &req);
        self.handle_failure(cx, id, call, &req, progress);
        true
    }

    /// Hands a call to an upstream, or gives the answer if there is none left.
    fn forward(&mut self, cx: &mut Context<'_>, id: CallId, mut call: Call, answer: Answer) {
        let Some(upstream) = self.balancer.pick(cx, &call) else {
            call.report(cx, RequestStep::NoUpstream);
            self.answer(cx, id, answer);
            return;
        };
        let is_retry = !call.tried.is_empty();
        call.tried.push(upstream.name.clone());
        let has_others = call.refusals + 1 < MAX_REFUSALS && self.balancer.has_healthy(cx, &call);
        let handover = call.handover(cx, &upstream, has_others);
        let exchange = cx.send(&upstream, Box::new(handover).into(), call.deadline);
        let now = cx.now.mono;
        let stall_timeout = self
            .response_times
            .stall_timeout(&call.kind, call.deadline - now);
        self.stalls.set(id, now + stall_timeout);
        self.retries += u64::from(is_retry);
        call.attempts += 1;
        call.current = Some(UpstreamRequest {
            exchange,
            since: now,
            is_local: upstream.vm == cx.view.cfg().vm,
            upstream: upstream.name,
            vm: upstream.vm,
        });
        self.exchanges.insert(exchange, id);
        self.calls.insert(id, call);
    }

    fn budget(&mut self, cx: &Context<'_>, call: &Call) -> &mut RetryBudget {
        self.service_budget(cx, &call.kind.service)
    }

    fn service_budget(&mut self, cx: &Context<'_>, service: &ServiceName) -> &mut RetryBudget {
        let budget = self.budgets.entry(service.clone()).or_default();
        if let Some(slack) = cx.view.cfg().terms.retry.slack {
            budget.set_node_share(slack, cx.view.node_count());
        }
        budget
    }

    /// Blames an upstream for a deadline that passed, unless this process was
    /// frozen meanwhile.
    fn record_timeout(&mut self, cx: &Context<'_>, req: &UpstreamRequest) {
        if cx.lost_time.is_zero() {
            self.balancer.record_failure(cx.now.mono, req);
        } else {
            self.balancer.record_abandoned(req);
        }
    }

    /// Takes a call whose hand-over has ended, with that hand-over.
    fn take_call(&mut self, exchange: ExchangeId) -> Option<(CallId, Call, UpstreamRequest)> {
        let id = self.exchanges.remove(&exchange)?;
        self.stalls.cancel(id);
        let mut call = self.calls.remove(&id)?;
        let is_ended = |req: &mut UpstreamRequest| req.exchange == exchange;
        if let Some(req) = call.stalled.take_if(is_ended) {
            call.stalled = call.current.take();
            return Some((id, call, req));
        }
        let req = call.current.take()?;
        Some((id, call, req))
    }

    /// Ends a call; returns its hand-overs.
    fn end_call(&mut self, cx: &mut Context<'_>, id: CallId) -> Vec<UpstreamRequest> {
        self.deadlines.cancel(id);
        self.stalls.cancel(id);
        let call = self.calls.remove(&id);
        let pending = call.map(|call| [call.current, call.stalled]);
        let pending: Vec<_> = pending.into_iter().flatten().flatten().collect();
        for req in &pending {
            self.exchanges.remove(&req.exchange);
            cx.abandon(req.exchange, req.is_local);
        }
        pending
    }

    /// Gives up the hand-over that another was faster than.
    fn abandon_stalled(&mut self, cx: &mut Context<'_>, call: &mut Call) {
        if let Some(req) = call.stalled.take() {
            self.exchanges.remove(&req.exchange);
            cx.abandon(req.exchange, req.is_local);
            self.balancer.record_failure(cx.now.mono, &req);
        }
    }

    /// Spreads the times at which refused callers come back.
    pub(super) fn jitter_retry_after(&mut self, answer: Answer) -> Answer {
        match answer {
            Answer::NotRun {
                reason,
                retry_after,
            } => Answer::NotRun {
                reason,
                retry_after: self.balancer.jitter(retry_after),
            },
            other => other,
        }
    }

    fn answer(&mut self, cx: &mut Context<'_>, call: CallId, answer: Answer) {
        self.deadlines.cancel(call);
        cx.actions.push(RequestAction::Answer { call, answer });
    }
}

const fn is_overload(outcome: &ReplyOutcome) -> bool {
    matches!(
        outcome,
        ReplyOutcome::NotRun {
            reason: NotRun::Overloaded | NotRun::ColdStart,
            ..
        }
    )
}
