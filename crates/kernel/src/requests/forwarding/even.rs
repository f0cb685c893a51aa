//! Choice that keeps the load of a service's targets even.
//!
//! Load pattern: many nodes that know the same old reports. If each chooses the target that
//! looks cheapest, all choose the same one, and targets are overloaded in turns. Each node
//! therefore chooses at random, in proportion to the free capacity that it expects.

use std::time::Duration;

use celeryshore_model::Service;
use celeryshore_model::Snapshot;
use celeryshore_model::Upstream;

use super::balancer::Balancer;
use super::call::Call;
use super::call::UpstreamRequest;
use super::choice;
use super::choice::Candidate;
use super::choice::DISTANCES;
use super::choice::Distance;
use super::estimate::Estimate;
use super::estimate::ServiceMeans;
use super::spillover::Threshold;
use super::upstream_load::LoadDefaults;
use crate::KnownLoad;
use crate::NotRun;
use crate::Phase;
use crate::Reply;
use crate::ReplyOutcome;
use crate::requests::context::Context;
use crate::requests::context::ReadContext;

/// Run time assumed for a kind that no target has answered yet.
const ASSUMED_RUN_TIME: Duration = Duration::from_millis(200);

/// Number of refusals for load from which all zones of the region are equally near.
const MAX_ZONE_REFUSALS: usize = 2;

impl Balancer {
    /// Replaces a candidate's criteria by those of the estimate of its load.
    pub(super) fn even_candidate<'a>(
        &self,
        cx: ReadContext<'_>,
        candidate: &Candidate<'a>,
        defaults: LoadDefaults,
        means: ZoneMeans,
        call: &Call,
    ) -> Candidate<'a> {
        let now = cx.now.mono;
        let upstream = candidate.upstream;
        let known = cx.loads.get(&upstream.name, upstream.incarnation);
        let sends = self.sends.at(&upstream.name);
        let mut estimate = Estimate::new(
            now,
            known,
            means.at(candidate.distance),
            defaults.limit,
            sends,
        );
        estimate.reduce(1 + sends.overdue(now));
        let finish = estimate.finish(cx.loads.usual_run(&call.kind));
        let is_warm = known.is_some_and(|known| known.report.phase == Phase::Warm);
        let may_take_more = if is_warm {
            candidate.is_open
        } else {
            candidate.has_room
        };
        let (threshold, wait) = match candidate.distance {
            Distance::Zone => (self.spillover.threshold(call), call.spillover_wait()),
            Distance::Region | Distance::Far => (Threshold::Stay, None),
        };
        Candidate {
            is_unhealthy: candidate.is_unhealthy
                || sends.is_stuck(now, known.map(|k| k.measured_at)),
            has_room: may_take_more && threshold.is_met(&estimate, wait),
            cost: finish + candidate.distance.penalty(),
            estimate: Some(estimate),
            ..*candidate
        }
    }

    /// Chooses an upstream, and records whether the call left this node's zone.
    pub(super) fn choose_even<'a>(
        &mut self,
        call: &Call,
        candidates: &[Candidate<'a>],
    ) -> Option<&'a Upstream> {
        let choice = choose(&mut self.rng, call.refusals, candidates)?;
        if let Some(is_spilled) = choice.is_spilled {
            self.spillover.record(&call.kind.service, is_spilled);
        }
        Some(choice.upstream)
    }

    /// Records a request that is sent to the upstream chosen for it.
    pub(super) fn record_even_choice(
        &mut self,
        cx: &Context<'_>,
        call: &Call,
        upstream: &Upstream,
    ) {
        let now = cx.now.mono;
        let usual = cx.loads.usual_run(&call.kind);
        let usual = usual.unwrap_or(ASSUMED_RUN_TIME);
        self.sends.start(now, &upstream.name, usual);
        let age = cx.loads.age(now, &upstream.name);
        self.counters.record_choice(age);
    }

    /// Records the load reports that a reply carries, and counts a refusal beside free
    /// capacity.
    pub(super) fn record_loads(
        &mut self,
        cx: &mut Context<'_>,
        req: &UpstreamRequest,
        reply: &Reply,
    ) {
        let now = cx.now.mono;
        let snapshot = cx.view.snapshot();
        let Some((snapshot, upstream)) =
            snapshot.and_then(|s| Some((s, s.upstreams.get(&req.upstream)?)))
        else {
            return;
        };
        let own = KnownLoad {
            upstream: upstream.name.clone(),
            target: upstream.incarnation,
            age: Duration::ZERO,
            load: reply.load,
        };
        cx.loads.record(now, own);
        for known in &reply.others {
            cx.loads.record(now, known.clone());
        }
        let is_overloaded = matches!(
            reply.outcome,
            ReplyOutcome::NotRun {
                reason: NotRun::Overloaded,
                ..
            }
        );
        if is_overloaded && cx.loads.has_free(now, snapshot, &upstream.service) {
            self.counters.record_refusal_beside_free();
        }
    }
}

/// Means over the targets of a service in this node's zone and in all others.
#[derive(Clone, Copy, Debug)]
pub(super) struct ZoneMeans {
    own_zone: ServiceMeans,
    others: ServiceMeans,
}

impl ZoneMeans {
    /// Computes the means of the usable reports.
    pub(super) fn of(cx: ReadContext<'_>, snapshot: &Snapshot, service: &Service) -> Self {
        let own = &cx.view.cfg().zone;
        let loads = |is_own: bool| {
            let upstreams = service.upstreams.iter();
            let upstreams = upstreams.filter_map(|name| snapshot.upstreams.get(name));
            let in_zone = upstreams.filter(move |u| (u.zone == *own) == is_own);
            in_zone.filter_map(|u| cx.loads.get(&u.name, u.incarnation))
        };
        Self {
            own_zone: ServiceMeans::of(cx.now.mono, loads(true)),
            others: ServiceMeans::of(cx.now.mono, loads(false)),
        }
    }

    const fn at(self, distance: Distance) -> ServiceMeans {
        match distance {
            Distance::Zone => self.own_zone,
            Distance::Region | Distance::Far => self.others,
        }
    }
}

/// Chosen upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct EvenChoice<'a> {
    pub(super) upstream: &'a Upstream,
    /// Whether the call leaves this node's zone though that has healthy targets; absent if
    /// no target has room.
    pub(super) is_spilled: Option<bool>,
}

/// Chooses at random in proportion to the free capacity, in the nearest zone with room
/// where the response is expected earlier than in a nearer one.
pub(super) fn choose<'a>(
    rng: &mut fastrand::Rng,
    refusals: usize,
    candidates: &[Candidate<'a>],
) -> Option<EvenChoice<'a>> {
    for tier in tiers(refusals, candidates) {
        if let Some(upstream) = by_free_capacity(rng, refusals > 0, || tier.of(candidates)) {
            return Some(EvenChoice {
                upstream,
                is_spilled: tier.is_spilled,
            });
        }
    }
    let cheapest = candidates.iter().min_by_key(|c| c.cost)?;
    Some(EvenChoice {
        upstream: cheapest.upstream,
        is_spilled: None,
    })
}

/// Returns the chance of each candidate in [`choose`], for a call that was not refused.
pub(super) fn chances(candidates: &[Candidate<'_>]) -> Vec<f64> {
    let mut tiers = tiers(0, candidates);
    let Some(tier) = tiers.find(|tier| tier.of(candidates).next().is_some()) else {
        let cheapest = candidates.iter().min_by_key(|c| c.cost);
        return choice::certain(candidates, cheapest.map(|c| &c.upstream.name));
    };
    let total: f64 = tier.of(candidates).map(weight).sum();
    let chance = |c: &Candidate<'_>| {
        let is_eligible = tier.contains(c) && total > 0.0;
        if is_eligible { weight(c) / total } else { 0.0 }
    };
    candidates.iter().map(chance).collect()
}

/// Healthy candidates that are equally preferred.
#[derive(Clone, Copy, Debug)]
struct Tier {
    nearest: Distance,
    farthest: Distance,
    needs_room: bool,
    /// Limit on the cost of each.
    below: Duration,
    is_spilled: Option<bool>,
}

impl Tier {
    fn contains(&self, candidate: &Candidate<'_>) -> bool {
        let is_near = (self.nearest..=self.farthest).contains(&candidate.distance);
        let has_room = candidate.has_room || !self.needs_room;
        is_near && has_room && !candidate.is_unhealthy && candidate.cost < self.below
    }

    fn of<'a: 'b, 'b>(
        self,
        candidates: &'b [Candidate<'a>],
    ) -> impl Iterator<Item = &'b Candidate<'a>> {
        candidates.iter().filter(move |c| self.contains(c))
    }
}

/// Returns the tiers from the most preferred one on.
fn tiers(refusals: usize, candidates: &[Candidate<'_>]) -> impl Iterator<Item = Tier> {
    let without_room = |farthest| Tier {
        nearest: Distance::Zone,
        farthest,
        needs_room: false,
        below: Duration::MAX,
        is_spilled: None,
    };
    let in_region = Tier {
        needs_room: true,
        ..without_room(Distance::Region)
    };
    let in_region = Some(in_region).filter(|_| refusals >= MAX_ZONE_REFUSALS);
    let mut best_cost = Duration::MAX;
    let with_room = DISTANCES.into_iter().map(move |distance| {
        let below = best_cost;
        let near = candidates.iter().filter(|c| c.distance == distance);
        let costs = near.filter(|c| !c.is_unhealthy).map(|c| c.cost);
        best_cost = costs.min().unwrap_or(best_cost);
        Tier {
            nearest: distance,
            farthest: distance,
            needs_room: true,
            below,
            is_spilled: Some(distance != Distance::Zone && below < Duration::MAX),
        }
    });
    let last = [Distance::Zone, Distance::Far].map(without_room);
    in_region.into_iter().chain(with_room).chain(last)
}

/// Chooses at random, in proportion to the free capacity. A call that was refused before
/// gets the better of two such choices, because each refusal delays it.
fn by_free_capacity<'a: 'b, 'b, I>(
    rng: &mut fastrand::Rng,
    is_refused: bool,
    candidates: impl Fn() -> I,
) -> Option<&'a Upstream>
where
    I: Iterator<Item = &'b Candidate<'a>>,
{
    let total: f64 = candidates().map(weight).sum();
    let first = weighted(rng, total, candidates())?;
    if !is_refused {
        return Some(first.upstream);
    }
    let second = weighted(rng, total, candidates())?;
    let is_better = weight(second) > weight(first);
    Some(if is_better { second } else { first }.upstream)
}

/// Returns a candidate at random, in proportion to its part of the `total` weight.
fn weighted<'a: 'b, 'b>(
    rng: &mut fastrand::Rng,
    total: f64,
    candidates: impl Iterator<Item = &'b Candidate<'a>>,
) -> Option<&'b Candidate<'a>> {
    let mut left = rng.f64() * total;
    let mut last = None;
    for candidate in candidates {
        left -= weight(candidate);
        last = Some(candidate);
        if left < 0.0 {
            break;
        }
    }
    last
}

fn weight(candidate: &Candidate<'_>) -> f64 {
    let estimate = candidate.estimate;
    estimate.map_or(0.0, |estimate| estimate.free_capacity())
}
