//! Forwards callers' requests to upstreams and retries them.
//!
//! [`Forwarder`] keeps one [`Call`] for each caller request that has no final
//! response yet. It routes the request and checks its key (`checks`), asks the `balancer`
//! for an upstream, sends the request to that upstream's node and handles the reply. The
//! balancer chooses by distance and by the loads in `upstream_load`. `retry` decides
//! whether a request that was refused or lost goes to another upstream, and
//! `retry_budget` limits how often. `exchanges` ends the requests to upstreams. `stall`
//! sends a second request when the first takes much longer than the usual time in
//! `response_times`. `poison` counts the VMs that crash while they run the same request.

mod balancer;
mod call;
mod checks;
mod choice;
mod estimate;
mod even;
mod exchanges;
mod explain;
mod load_counters;
mod own_sends;
mod poison;
mod quota_waits;
mod resend;
mod response_times;
mod retry;
mod retry_budget;
mod shed;
mod spillover;
mod stall;
mod stopping;
mod upstream_load;

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::ByteSize;
use celeryshore_model::HttpRequest;
use celeryshore_model::Priority;
use celeryshore_model::ServiceName;
use celeryshore_model::Time;
use celeryshore_model::UpstreamName;

use self::balancer::Balancer;
use self::call::Call;
use self::call::UpstreamRequest;
pub use self::choice::Distance;
pub(super) use self::explain::explain_refusal;
pub use self::load_counters::LoadCounters;
use self::quota_waits::QuotaWaits;
use self::resend::Resend;
use self::response_times::ResponseTimes;
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
use crate::requests::context::ReadContext;
use crate::requests::headers;
use crate::requests::longest_times::LongestTimes;
use crate::requests::sizes::ResponseSizes;
use crate::requests::sizes::body_size;
use crate::requests::timers::Timers;
use crate::requests::view::Destination;

/// Time after which a refused caller may retry if no upstream named one.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Usual size from which the responses of a kind are large: a message of this size takes
/// the slowest links of VMs longer than a small one may wait.
const LARGE_RESPONSE: ByteSize = ByteSize::new(16 * 1_024);

/// Where a request comes from: a caller, or a run of the local target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RequestSource {
    /// Number of calls of the same run that were answered before; absent if the request
    /// isn't known to be a call of such a run.
    pub(super) earlier_calls: Option<u32>,
    /// Priority of the run that makes it, or of the most urgent run of the local target.
    pub(super) caller_priority: Option<Priority>,
}

/// State of the caller requests that this node forwards.
#[derive(Debug)]
pub(super) struct Forwarder {
    calls: BTreeMap<CallId, Call>,
    /// Calls by the open exchanges that carry their requests.
    exchanges: BTreeMap<ExchangeId, CallId>,
    deadlines: Timers<CallId>,
    /// Times at which calls count as stalled.
    stalls: Timers<CallId>,
    response_times: ResponseTimes,
    longest_times: LongestTimes,
    response_sizes: ResponseSizes,
    balancer: Balancer,
    budgets: BTreeMap<ServiceName, RetryBudget>,
    quota_waits: QuotaWaits,
    retries: u64,
}

impl Forwarder {
    /// Creates a forwarder without calls. `seed` determines its random choices.
    pub(super) fn new(seed: u64) -> Self {
        Self {
            calls: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            deadlines: Timers::new(),
            stalls: Timers::new(),
            response_times: ResponseTimes::default(),
            longest_times: LongestTimes::default(),
            response_sizes: ResponseSizes::default(),
            balancer: Balancer::new(seed),
            budgets: BTreeMap::new(),
            quota_waits: QuotaWaits::new(),
            retries: 0,
        }
    }

    /// Returns the number of calls without a final response.
    pub(super) fn open_count(&self) -> usize {
        self.calls.len() + self.quota_waits.len()
    }

    /// Returns how many requests to upstreams were retries, since the process started.
    pub(super) const fn retries(&self) -> u64 {
        self.retries
    }

    /// Returns the counts of the choices among upstreams.
    pub(super) const fn load_counters(&self) -> &LoadCounters {
        self.balancer.load_counters()
    }

    /// Returns the known load of each upstream.
    pub(super) fn loads(&self) -> impl Iterator<Item = (&UpstreamName, &UpstreamLoad)> {
        self.balancer.loads()
    }

    /// Returns the time of the earliest deadline or stall check.
    pub(super) fn next_due(&self) -> Option<Time> {
        let due = [
            self.deadlines.next(),
            self.stalls.next(),
            self.quota_waits.next_due(),
        ];
        due.into_iter().flatten().min()
    }

    /// Routes a caller's request and forwards it, or refuses it at once.
    pub(super) fn handle_request(
        &mut self,
        cx: &mut Context<'_>,
        id: CallId,
        request: HttpRequest,
        source: RequestSource,
    ) {
        let earlier = Resend::of(&request);
        let name = cx.view.cfg().terms.dialect.request_id.as_ref();
        let request_id = name.and_then(|name| request.header(name)).cloned();
        let destination = checks::route(cx.read(), &request, source, self.balancer.random());
        let kind = destination.as_ref().ok().map(|to| to.kind.clone());
        match destination.and_then(|to| self.new_call(cx.read(), request, to)) {
            Ok(mut call) => {
                let is_call = call.depth.get() > 0 || source.earlier_calls.is_some();
                let is_ranked = cx.view.cfg().terms.urgent_slots && is_call;
                call.earlier_calls = source.earlier_calls.unwrap_or_default();
                call.caller_priority = source.caller_priority.filter(|_| is_ranked);
                self.start_within_quota(cx, id, call);
            }
            Err(reason) if resend::may_have_run(reason, earlier) => {
                self.answer(cx, id, retry::unknown_answer(Unknown::NotJudged));
            }
            Err(reason) => {
                let bound = cx.view.retry_after_stop(cx.now.mono);
                let retry_after = bound.filter(|_| reason == NotRun::Leaving);
                let retry_after = retry_after.unwrap_or(RETRY_AFTER);
                let answer = Answer::NotRun {
                    reason,
                    retry_after,
                };
                self.answer(cx, id, answer);
                Call::report_refused(cx, request_id, kind, reason);
            }
        }
    }

    /// Checks a routed request, and whether its response is usually large.
    fn new_call(
        &self,
        cx: ReadContext<'_>,
        request: HttpRequest,
        destination: Destination,
    ) -> checks::Result<Call> {
        let mut call = Call::new(cx, request, destination)?;
        let size = self.response_sizes.get(&call.kind);
        call.is_large |= size.is_some_and(|size| size >= LARGE_RESPONSE);
        Ok(call)
    }

    fn start(&mut self, cx: &mut Context<'_>, id: CallId, mut call: Call) {
        if let Some(shortfall) = self.shortfall(cx, &call) {
            self.refuse_for_stop(cx, id, &call, shortfall);
            return;
        }
        call.crashed_vms = cx.suspect_requests.crashed_vms(&call.fingerprint);
        if let Some(service) = cx.view.service(&call.kind.service) {
            let terms = cx.view.cfg().terms.retry;
            let share = terms.share.unwrap_or(service.retry.budget);
            self.budget(cx, &call).deposit(share);
        }
        let now = cx.now.mono;
        if let Some(retry_after) = cx.suspect_requests.check_quarantine(now, &call.fingerprint) {
            let answer = retry::refusal_answer(&call, NotRun::Poison, retry_after);
            self.answer(cx, id, answer);
            return;
        }
        self.deadlines.set(id, call.deadline);
        let answer = retry::refusal_answer(&call, NotRun::NoUpstream, RETRY_AFTER);
        self.forward(cx, id, call, answer);
    }

    /// Drops a call whose caller closed its connection.
    pub(super) fn handle_cancellation(&mut self, cx: &mut Context<'_>, id: CallId) {
        if let Some(workspace) = self.quota_waits.cancel(id) {
            cx.quotas.stop_waiting(&workspace);
        }
        cx.quotas.settle(cx.now.mono, id, true);
        for req in self.end_call(cx, id) {
            self.balancer.record_abandoned(&req);
        }
    }

    /// Answers the calls whose deadline has passed, and reroutes those that stall.
    pub(super) fn expire(&mut self, cx: &mut Context<'_>) {
        self.expire_waiting(cx);
        while let Some(id) = self.deadlines.pop(cx.now.mono) {
            if let Some(call) = self.calls.get(&id) {
                call.report(cx, RequestStep::Deadline);
                let elapsed = cx.now.mono - call.since;
                self.longest_times.record(cx.now.mono, &call.kind, elapsed);
            }
            for req in self.end_call(cx, id) {
                self.record_timeout(cx, &req);
            }
            self.answer(cx, id, retry::unknown_answer(Unknown::Deadline));
        }
        self.reroute_stalled(cx);
    }

    /// Handles the reply to a forwarded request.
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
        if !matches!(reply.outcome, ReplyOutcome::NotRun { .. }) {
            self.record_time(cx, &call, reply.run_time, reply.longest_run);
        }
        match reply.outcome {
            ReplyOutcome::Answered(response) => {
                cx.suspect_requests.clear(&call.fingerprint);
                if !headers::is_failure(&response) {
                    self.response_sizes
                        .observe(&call.kind, body_size(&response));
                    self.response_times
                        .observe(&call.kind, cx.now.mono - req.since);
                    if let Some(run_time) = reply.run_time {
                        cx.loads.observe_run(&call.kind, run_time);
                    }
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

    /// Handles a broken exchange. Returns `false` if it carried no forwarded request.
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

    /// Sends a call to the next upstream, or answers with `answer` if none is left.
    fn forward(&mut self, cx: &mut Context<'_>, id: CallId, mut call: Call, answer: Answer) {
        call.spare_time = match self.spare_time(cx, &call) {
            Ok(spare_time) => spare_time,
            Err(shortfall) => {
                call.report(cx, RequestStep::TooLittleTime { shortfall });
                self.answer(cx, id, answer);
                return;
            }
        };
        let Some(upstream) = self.balancer.pick(cx, &call) else {
            call.report(cx, RequestStep::NoUpstream);
            self.answer(cx, id, answer);
            return;
        };
        let is_retry = !call.tried.is_empty();
        call.tried.push(upstream.name.clone());
        call.report(
            cx,
            RequestStep::Sent {
                upstream: upstream.name.clone(),
            },
        );
        let has_others = retry::may_ask_others(cx.read(), &call, call.refusals + 1)
            && self.balancer.has_healthy(cx, &call);
        let statement = self.balancer.statement(cx.now.mono, &upstream);
        let handover = call.handover(cx, &upstream, has_others, statement);
        let exchange = cx.send(&upstream, Box::new(handover).into(), call.deadline);
        let now = cx.now.mono;
        self.stalls
            .set(id, now + self.first_stall_timeout(cx, &call));
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

    /// Randomizes the retry time of a refusal, so that refused callers don't all
    /// return at once.
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
        let may_have_run = !matches!(answer, Answer::NotRun { .. });
        cx.quotas.settle(cx.now.mono, call, may_have_run);
        if let Answer::Response(response) = &answer {
            cx.link.send(cx.now.mono, body_size(response));
        }
        cx.actions.push(RequestAction::Answer { call, answer });
    }
}

const fn is_overload(outcome: &ReplyOutcome) -> bool {
    matches!(
        outcome,
        ReplyOutcome::NotRun {
            reason: NotRun::Overloaded | NotRun::RateLimited | NotRun::ColdStart,
            ..
        }
    )
}
