//! Load balancing: chooses the upstream of a request by distance and load.

use std::collections::BTreeMap;
use std::time::Duration;

use celeryshore_model::Service;
use celeryshore_model::Snapshot;
use celeryshore_model::Time;
use celeryshore_model::Upstream;
use celeryshore_model::UpstreamName;
use celeryshore_model::UpstreamState;

use super::call::Call;
use super::call::UpstreamRequest;
use super::choice;
use super::choice::Candidate;
use super::choice::Distance;
use super::even;
use super::even::ZoneMeans;
use super::load_counters::LoadCounters;
use super::own_sends::OwnSends;
use super::spillover::Spillover;
use super::upstream_load::LoadDefaults;
use super::upstream_load::UpstreamLoad;
use crate::MemberState;
use crate::NotRun;
use crate::Reply;
use crate::ReplyOutcome;
use crate::TargetStatement;
use crate::requests::context::Context;
use crate::requests::context::ReadContext;
use crate::requests::explain::Exclusion;
use crate::requests::headers;
use crate::requests::view::View;

/// Balancer over the upstreams, by the load that this node observes.
#[derive(Debug)]
pub(super) struct Balancer {
    pub(super) rng: fastrand::Rng,
    loads: BTreeMap<UpstreamName, UpstreamLoad>,
    /// Open requests, if the load is to be even.
    pub(super) sends: OwnSends,
    pub(super) counters: LoadCounters,
    pub(super) spillover: Spillover,
}

impl Balancer {
    /// Creates a balancer that knows no loads. `seed` determines its random choices.
    pub(super) fn new(seed: u64) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(seed),
            loads: BTreeMap::new(),
            sends: OwnSends::default(),
            counters: LoadCounters::default(),
            spillover: Spillover::default(),
        }
    }

    /// Returns a random number, for the choice among traffic splits.
    pub(super) fn random(&mut self) -> u64 {
        self.rng.u64(..)
    }

    /// Returns a random time between half of `full` and `full`.
    pub(super) fn jitter(&mut self, full: Duration) -> Duration {
        crate::fleet::jitter(full, &mut self.rng)
    }

    /// Chooses an upstream that the call has not tried.
    ///
    /// The nearest healthy ones with room come first, then any healthy one, and
    /// last those that are suspect or failed recently. A keyed call follows the
    /// rendezvous order of its key, so that all its copies reach the same node.
    pub(super) fn pick(&mut self, cx: &Context<'_>, call: &Call) -> Option<Upstream> {
        let snapshot = cx.view.snapshot()?;
        let service = snapshot.services.get(&call.kind.service)?;
        let candidates: Vec<_> = self
            .candidates(cx.read(), snapshot, service, call)
            .collect();
        let upstream = if is_even(cx.view) && call.key().is_none() {
            self.choose_even(call, &candidates)?
        } else {
            select(&mut self.rng, cx.view, service, call, &candidates)?
        };
        self.load(&upstream.name).start_request();
        if is_even(cx.view) {
            self.record_even_choice(cx, call, upstream);
        }
        Some(upstream.clone())
    }

    /// Returns `true` if a healthy upstream is left that the call has not tried.
    pub(super) fn has_healthy(&self, cx: &Context<'_>, call: &Call) -> bool {
        self.has_candidate(cx, call, |c| !c.is_unhealthy)
    }

    /// Returns `true` if an upstream that the call has not tried may take it.
    pub(super) fn has_candidate(
        &self,
        cx: &Context<'_>,
        call: &Call,
        is_suitable: impl Fn(&Candidate<'_>) -> bool,
    ) -> bool {
        let snapshot = cx.view.snapshot();
        let service = cx.view.service(&call.kind.service);
        snapshot.zip(service).is_some_and(|(snapshot, service)| {
            let mut candidates = self.candidates(cx.read(), snapshot, service, call);
            candidates.any(|candidate| is_suitable(&candidate))
        })
    }

    /// Returns the counts of the choices.
    pub(super) const fn load_counters(&self) -> &LoadCounters {
        &self.counters
    }

    /// Returns the known load of each upstream.
    pub(super) fn loads(&self) -> impl Iterator<Item = (&UpstreamName, &UpstreamLoad)> {
        self.loads.iter()
    }

    /// Returns the known load of an upstream, or an empty one.
    pub(super) fn known_load(&self, name: &UpstreamName) -> UpstreamLoad {
        self.loads.get(name).copied().unwrap_or_default()
    }

    /// Returns `true` if the target of an upstream has stated that it is about to leave.
    fn is_leaving(&self, upstream: &Upstream) -> bool {
        let load = self.loads.get(&upstream.name);
        load.is_some_and(|load| load.is_leaving(upstream.incarnation))
    }

    /// Returns what an upstream's target stated about itself, if that restricts what it
    /// may be sent.
    pub(super) fn statement(&self, now: Time, upstream: &Upstream) -> Option<TargetStatement> {
        let statement = self.loads.get(&upstream.name)?.statement(now)?;
        let is_current = statement.target == upstream.incarnation;
        Some(statement).filter(|s| is_current && s.is_restrictive())
    }

    /// Updates an upstream's load and health from its reply.
    pub(super) fn record_reply(
        &mut self,
        cx: &mut Context<'_>,
        req: &UpstreamRequest,
        reply: &Reply,
    ) {
        let now = cx.now.mono;
        self.sends.end(&req.upstream, req.since);
        if is_even(cx.view) {
            self.record_loads(cx, req, reply);
        }
        let load = self.load(&req.upstream);
        load.end_request();
        load.record_report(now, reply.load);
        if let Some(statement) = reply.statement {
            load.record_statement(now, statement);
        }
        match &reply.outcome {
            ReplyOutcome::Answered(response) if headers::is_failure(response) => {
                load.penalize(now);
            }
            ReplyOutcome::Answered(_) => load.record_success(),
            ReplyOutcome::NotRun { reason, .. } if is_lasting(*reason) => load.penalize(now),
            ReplyOutcome::NotRun { .. } | ReplyOutcome::Unknown(_) => {}
        }
    }

    /// Records that a request to an upstream failed, and avoids the upstream for a
    /// while.
    pub(super) fn record_failure(&mut self, now: Time, req: &UpstreamRequest) {
        self.sends.end(&req.upstream, req.since);
        let load = self.load(&req.upstream);
        load.end_request();
        load.penalize(now);
    }

    /// Records that this node abandoned a request. The upstream isn't penalized.
    pub(super) fn record_abandoned(&mut self, req: &UpstreamRequest) {
        self.sends.end(&req.upstream, req.since);
        self.load(&req.upstream).end_request();
    }

    fn load(&mut self, name: &UpstreamName) -> &mut UpstreamLoad {
        self.loads.entry(name.clone()).or_default()
    }

    /// Returns the random generator as it is, for choices that are only explained.
    pub(super) fn rng(&self) -> fastrand::Rng {
        self.rng.clone()
    }

    /// Returns the upstreams that the call may be sent to.
    pub(super) fn candidates<'a>(
        &self,
        cx: ReadContext<'_>,
        snapshot: &'a Snapshot,
        service: &Service,
        call: &Call,
    ) -> impl Iterator<Item = Candidate<'a>> {
        let mean_service_time = self.mean_warm_time(service);
        let means = is_even(cx.view).then(|| ZoneMeans::of(cx, snapshot, service));
        service
            .upstreams
            .iter()
            .filter_map(|name| snapshot.upstreams.get(name))
            .filter(move |u| self.exclusion(cx, snapshot, u, call).is_none())
            .map(move |u| {
                let defaults = load_defaults(service, u, mean_service_time);
                let candidate = self.candidate(cx, snapshot, u, defaults, call);
                match means {
                    Some(means) => self.even_candidate(cx, &candidate, defaults, means, call),
                    None => candidate,
                }
            })
    }

    /// Returns the reason why an upstream can't take the call at all.
    pub(super) fn exclusion(
        &self,
        cx: ReadContext<'_>,
        snapshot: &Snapshot,
        upstream: &Upstream,
        call: &Call,
    ) -> Option<Exclusion> {
        let is_listed_leaving = upstream.state != UpstreamState::Serving;
        if call.tried.contains(&upstream.name) {
            Some(Exclusion::Tried)
        } else if is_listed_leaving || self.is_leaving(upstream) {
            Some(Exclusion::Leaving)
        } else if snapshot.is_out_of_service(upstream) {
            Some(Exclusion::OutOfService)
        } else if cx.view.is_usable(&upstream.vm) {
            None
        } else if cx.view.member(&upstream.vm) == MemberState::Dead {
            Some(Exclusion::Dead)
        } else {
            Some(Exclusion::Leaving)
        }
    }

    /// Returns the mean service time of a service's warm upstreams; zero if none has
    /// reported one.
    pub(super) fn mean_warm_time(&self, service: &Service) -> Duration {
        let loads = service.upstreams.iter().filter_map(|n| self.loads.get(n));
        let (mut sum, mut count) = (Duration::ZERO, 0);
        for time in loads.filter_map(UpstreamLoad::warm_time) {
            sum += time;
            count += 1;
        }
        sum / count.max(1)
    }

    fn candidate<'a>(
        &self,
        cx: ReadContext<'_>,
        snapshot: &Snapshot,
        upstream: &'a Upstream,
        defaults: LoadDefaults,
        call: &Call,
    ) -> Candidate<'a> {
        let now = cx.now.mono;
        let distance = choice::distance(snapshot, &cx.view.cfg().zone, &upstream.zone);
        let spillover_wait = call.spillover_wait().filter(|_| distance == Distance::Zone);
        let load = self.known_load(&upstream.name);
        let is_suspect = cx.view.member(&upstream.vm) == MemberState::Suspect;
        let link_wait = if call.is_large {
            load.link_wait(now)
        } else {
            Duration::ZERO
        };
        let is_link_free = call.spillover_wait().is_none_or(|wait| link_wait <= wait);
        let has_slot = load.has_room(now, defaults, cx.view.zone_size(&upstream.zone))
            || spillover_wait.is_some_and(|wait| load.wait(now, defaults) <= wait);
        Candidate {
            upstream,
            distance,
            is_unhealthy: is_suspect || load.is_avoided(now),
            is_open: is_link_free && !load.is_delayed(now),
            has_room: is_link_free && has_slot,
            cost: load.cost(now, defaults).max(link_wait) + distance.penalty(),
            estimate: None,
        }
    }
}

/// Chooses among the candidates of a call.
pub(super) fn select<'a>(
    rng: &mut fastrand::Rng,
    view: &View,
    service: &Service,
    call: &Call,
    candidates: &[Candidate<'a>],
) -> Option<&'a Upstream> {
    match call.key() {
        Some(key) => choice::by_key(service, key, candidates, call.is_first_send()),
        None if is_even(view) => even::choose(rng, call.refusals, candidates).map(|c| c.upstream),
        None => choice::choose(rng, candidates),
    }
}

/// Returns what is assumed of an upstream that has not reported its load.
pub(super) fn load_defaults(
    service: &Service,
    upstream: &Upstream,
    mean_service_time: Duration,
) -> LoadDefaults {
    LoadDefaults {
        limit: upstream.slots.unwrap_or(service.limits.cold_slots).get(),
        mean_service_time,
        is_cold: upstream.is_cold,
    }
}

/// Returns `true` if the load is to be even.
pub(super) const fn is_even(view: &View) -> bool {
    view.cfg().terms.even_load
}

/// Returns `true` if a refusal holds for some time, whatever the load.
const fn is_lasting(reason: NotRun) -> bool {
    matches!(
        reason,
        NotRun::TargetDown
            | NotRun::Leaving
            | NotRun::OutOfService
            | NotRun::NotHere
            | NotRun::Learning
    )
}
