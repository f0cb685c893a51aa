//! Explanation of the choice among upstreams, by the same code as the choice itself.

use celeryshore_model::HttpRequest;
use celeryshore_model::Service;
use celeryshore_model::Snapshot;
use celeryshore_model::Upstream;
use celeryshore_model::UpstreamName;

use super::Forwarder;
use super::RETRY_AFTER;
use super::RequestSource;
use super::balancer;
use super::balancer::Balancer;
use super::call::Call;
use super::checks;
use super::choice;
use super::choice::Candidate;
use super::even;
use super::retry;
use super::retry_budget::RetryBudget;
use crate::MemberState;
use crate::NotRun;
use crate::requests::context::ReadContext;
use crate::requests::explain::Exclusion;
use crate::requests::explain::ExplainedRefusal;
use crate::requests::explain::ExplainedUpstream;
use crate::requests::explain::Explanation;
use crate::requests::explain::millis;

impl Forwarder {
    /// Explains where a request would be sent.
    pub(in crate::requests) fn explain(
        &self,
        cx: ReadContext<'_>,
        request: &HttpRequest,
        explanation: &mut Explanation,
    ) {
        let mut rng = self.balancer.rng();
        let destination = checks::route(cx, request, RequestSource::default(), rng.u64(..));
        let kind = destination.as_ref().ok().map(|to| to.kind.to_string());
        explanation.kind = kind;
        let call = destination.and_then(|to| self.new_call(cx, request.clone(), to));
        let mut call = match call {
            Ok(call) => call,
            Err(reason) => {
                explanation.refusal = Some(explain_refusal(reason));
                return;
            }
        };
        explanation.workspace.clone_from(&call.workspace);
        let snapshot = cx.view.snapshot();
        let Some((snapshot, service)) = snapshot.zip(cx.view.service(&call.kind.service)) else {
            return;
        };
        let candidates: Vec<_> = self
            .balancer
            .candidates(cx, snapshot, service, &call)
            .collect();
        let chosen = balancer::select(&mut rng, cx.view, service, &call, &candidates);
        let chosen = chosen.map(|u| u.name.clone());
        let chances = chances(cx, &call, &candidates, chosen.as_ref());
        let listed = service.upstreams.iter();
        let listed = listed.filter_map(|name| snapshot.upstreams.get(name));
        explanation.upstreams = listed
            .map(|u| {
                let mut found = candidates.iter().zip(&chances);
                let found = found.find(|(c, _)| c.upstream.name == u.name);
                let explained = self.balancer.explain(cx, snapshot, service, u, found);
                ExplainedUpstream {
                    left_out: explained
                        .left_out
                        .or_else(|| self.balancer.exclusion(cx, snapshot, u, &call)),
                    ..explained
                }
            })
            .collect();
        if let Some(chosen) = &chosen {
            call.tried.push(chosen.clone());
            call.attempts += 1;
            explanation.next = self.explain_next(cx, call, &mut rng);
        } else {
            explanation.refusal = Some(explain_refusal(NotRun::NoUpstream));
        }
        explanation.chosen = chosen;
    }

    /// Returns the upstream that a call is sent to after the first one was at capacity.
    fn explain_next(
        &self,
        cx: ReadContext<'_>,
        mut call: Call,
        rng: &mut fastrand::Rng,
    ) -> Option<UpstreamName> {
        let budget = self.budgets.get(&call.kind.service);
        let may_retry = if cx.view.cfg().terms.retry.exempts_node_refusals {
            call.attempts -= 1;
            call.refusals += 1;
            retry::may_ask_others(cx, &call, call.refusals)
        } else {
            let has_attempts = call.attempts < call.max_attempts;
            call.depth.get() == 0 && has_attempts && budget.is_none_or(RetryBudget::can_withdraw)
        };
        let snapshot = cx.view.snapshot().filter(|_| may_retry)?;
        let service = cx.view.service(&call.kind.service)?;
        let candidates: Vec<_> = self
            .balancer
            .candidates(cx, snapshot, service, &call)
            .collect();
        let next = balancer::select(rng, cx.view, service, &call, &candidates)?;
        Some(next.name.clone())
    }
}

impl Balancer {
    /// Explains one upstream, with its candidate and chance if it is one.
    fn explain(
        &self,
        cx: ReadContext<'_>,
        snapshot: &Snapshot,
        service: &Service,
        upstream: &Upstream,
        found: Option<(&Candidate<'_>, &f64)>,
    ) -> ExplainedUpstream {
        let now = cx.now.mono;
        let load = self.known_load(&upstream.name);
        let defaults = balancer::load_defaults(service, upstream, self.mean_warm_time(service));
        let estimate = found.and_then(|(candidate, _)| candidate.estimate);
        let (free, wait) = estimate.map_or_else(
            || (load.free_slots(now, defaults), load.wait(now, defaults)),
            |estimate| (estimate.free_capacity(), estimate.wait()),
        );
        let age = if balancer::is_even(cx.view) {
            let known = cx.loads.get(&upstream.name, upstream.incarnation);
            known.map(|known| now - known.measured_at)
        } else {
            load.report_age(now)
        };
        let chance = found.map_or(0.0, |(_, chance)| *chance);
        let left_out = found.filter(|_| chance <= 0.0).map(|(candidate, _)| {
            if load.is_avoided(now) {
                Exclusion::Avoided
            } else if cx.view.member(&upstream.vm) == MemberState::Suspect {
                Exclusion::Suspect
            } else if candidate.is_unhealthy {
                Exclusion::Stalled
            } else if candidate.has_room {
                Exclusion::OthersPreferred
            } else {
                Exclusion::NoRoom
            }
        });
        ExplainedUpstream {
            upstream: upstream.name.clone(),
            vm: upstream.vm.clone(),
            zone: upstream.zone.clone(),
            distance: choice::distance(snapshot, &cx.view.cfg().zone, &upstream.zone),
            free,
            wait_ms: millis(wait),
            age_ms: age.map(millis),
            chance,
            left_out,
        }
    }
}

/// Returns the refusal that a caller gets before any upstream is asked.
pub(in crate::requests) fn explain_refusal(reason: NotRun) -> ExplainedRefusal {
    ExplainedRefusal {
        reason,
        retry_after_ms: millis(RETRY_AFTER),
    }
}

/// Returns the chance of each candidate to be chosen.
fn chances(
    cx: ReadContext<'_>,
    call: &Call,
    candidates: &[Candidate<'_>],
    chosen: Option<&UpstreamName>,
) -> Vec<f64> {
    if call.key().is_some() {
        choice::certain(candidates, chosen)
    } else if balancer::is_even(cx.view) {
        even::chances(candidates)
    } else {
        choice::chances(candidates)
    }
}
