//! Choice among the upstreams that may take a request.

use std::time::Duration;

use celeryshore_model::RequestKey;
use celeryshore_model::Service;
use celeryshore_model::Snapshot;
use celeryshore_model::Upstream;
use celeryshore_model::UpstreamName;
use celeryshore_model::ZoneName;
use derive_more::Display;
use serde::Serialize;

use super::estimate::Estimate;
use crate::requests::rendezvous;

/// Cost of another zone in the region: ten times the round trip.
const REGION_PENALTY: Duration = Duration::from_millis(20);
/// Cost of another region: ten times the round trip.
const FAR_PENALTY: Duration = Duration::from_millis(250);

/// All distances, from near to far.
pub(super) const DISTANCES: [Distance; 3] = [Distance::Zone, Distance::Region, Distance::Far];

/// Distance of an upstream from this node, ordered from near to far.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Distance {
    /// The same availability zone.
    #[display("zone")]
    Zone,
    /// Another availability zone of the same region.
    #[display("region")]
    Region,
    /// Another region.
    #[display("far")]
    Far,
}

impl Distance {
    /// Returns the time that an upstream at this distance has to save to be chosen.
    ///
    /// It exceeds the round trip because traffic across zones and regions costs
    /// bandwidth as well as time.
    pub(super) const fn penalty(self) -> Duration {
        match self {
            Self::Zone => Duration::ZERO,
            Self::Region => REGION_PENALTY,
            Self::Far => FAR_PENALTY,
        }
    }
}

/// An upstream that may take the request, with the criteria for the choice.
#[derive(Debug)]
pub(super) struct Candidate<'a> {
    pub(super) upstream: &'a Upstream,
    pub(super) distance: Distance,
    pub(super) is_unhealthy: bool,
    /// Whether neither a rate limit nor the link delays the request.
    pub(super) is_open: bool,
    pub(super) has_room: bool,
    pub(super) cost: Duration,
    /// Expected load, if the load is to be even.
    pub(super) estimate: Option<Estimate>,
}

/// Returns the distance of a zone from this node's own.
pub(super) fn distance(snapshot: &Snapshot, own: &ZoneName, other: &ZoneName) -> Distance {
    if own == other {
        return Distance::Zone;
    }
    let region = |zone| snapshot.zones.get(zone).map(|z| &z.region);
    match (region(own), region(other)) {
        (Some(a), Some(b)) if a == b => Distance::Region,
        _ => Distance::Far,
    }
}

/// Chooses the cheapest upstream with room in the nearest zone that has one.
pub(super) fn choose<'a>(
    rng: &mut fastrand::Rng,
    candidates: &[Candidate<'a>],
) -> Option<&'a Upstream> {
    cheapest(rng, eligible(candidates))
}

/// Returns the chance of each candidate in [`choose`].
pub(super) fn chances(candidates: &[Candidate<'_>]) -> Vec<f64> {
    let eligible = eligible(candidates);
    let least = eligible.iter().map(|c| c.cost).min();
    let is_best = |c: &Candidate<'_>| {
        let is_eligible = eligible.iter().any(|e| e.upstream.name == c.upstream.name);
        is_eligible && Some(c.cost) == least
    };
    let best: Vec<_> = candidates.iter().map(is_best).collect();
    let ties: f64 = best.iter().map(|is_best| chance(*is_best)).sum();
    best.iter().map(|is_best| chance(*is_best) / ties).collect()
}

/// Returns chances of which the upstream of this name has all.
pub(super) fn certain(candidates: &[Candidate<'_>], name: Option<&UpstreamName>) -> Vec<f64> {
    let chances = candidates.iter();
    chances
        .map(|c| chance(Some(&c.upstream.name) == name))
        .collect()
}

const fn chance(is_chosen: bool) -> f64 {
    if is_chosen { 1.0 } else { 0.0 }
}

/// Returns the candidates of which the cheapest is chosen: the nearest healthy ones with
/// room, or any healthy ones, or all.
fn eligible<'b, 'a>(candidates: &'b [Candidate<'a>]) -> Vec<&'b Candidate<'a>> {
    let healthy: Vec<_> = candidates.iter().filter(|c| !c.is_unhealthy).collect();
    for distance in DISTANCES {
        let with_room = healthy
            .iter()
            .filter(|c| c.has_room && c.distance == distance);
        let with_room: Vec<_> = with_room.copied().collect();
        if !with_room.is_empty() {
            return with_room;
        }
    }
    if healthy.is_empty() {
        candidates.iter().collect()
    } else {
        healthy
    }
}

/// Chooses by the rendezvous order of a key.
///
/// Only the first send of a key may skip an upstream that has no room. A resend
/// has to reach the node that may have run the key before.
pub(super) fn by_key<'a>(
    service: &Service,
    key: &RequestKey,
    candidates: &[Candidate<'a>],
    is_first_send: bool,
) -> Option<&'a Upstream> {
    let order: Vec<_> = rendezvous::order(&service.upstreams, key)
        .into_iter()
        .filter_map(|name| candidates.iter().find(|c| c.upstream.name == *name))
        .collect();
    let with_room = order
        .iter()
        .find(|c| is_first_send && !c.is_unhealthy && c.has_room);
    let healthy = order.iter().find(|c| !c.is_unhealthy);
    let choice = with_room.or(healthy).or(order.first())?;
    Some(choice.upstream)
}

pub(super) fn cheapest<'a>(
    rng: &mut fastrand::Rng,
    mut candidates: Vec<&Candidate<'a>>,
) -> Option<&'a Upstream> {
    rng.shuffle(&mut candidates);
    let choice = candidates.into_iter().min_by_key(|c| c.cost)?;
    Some(choice.upstream)
}
