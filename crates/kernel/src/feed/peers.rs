//! Other nodes of the fleet, and the choice of the node to follow.

mod comparison;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use celeryshore_model::Time;
use celeryshore_model::VmName;
use celeryshore_model::ZoneName;

pub(super) use self::comparison::Seeker;
use super::FeedConfig;
use super::FeedTiming;
use super::Position;
use super::catalog::Catalog;
use super::compile;
use crate::fleet::rank;

/// Number of failures after which the follow backoff stops doubling: at eight times the
/// initial one.
const MAX_DOUBLINGS: u32 = 3;
/// Time without failures after which the follow backoff of a peer is reset.
const FAILURE_RESET_AFTER: Duration = Duration::from_secs(20);

/// Other nodes, by VM.
#[derive(Debug)]
pub(super) struct Peers {
    timing: FeedTiming,
    known: BTreeMap<VmName, Peer>,
}

#[derive(Debug)]
struct Peer {
    addr: SocketAddr,
    rank: u64,
    zone: ZoneName,
    is_same_zone: bool,
    record: PeerRecord,
}

/// What a node remembers of a peer while the peer is listed.
#[derive(Debug, Default)]
struct PeerRecord {
    failure_history: FailureHistory,
    position: Option<Position>,
    /// Time of the latest answer, and whether its view was fresh.
    answer: Option<(Time, bool)>,
    compared_at: Time,
}

/// Recent failures of a peer.
///
/// A success does not reset the follow backoff. A peer whose network link fails
/// about every second would otherwise become the source of its whole zone again
/// after each success in between.
#[derive(Clone, Copy, Debug, Default)]
struct FailureHistory {
    count: u32,
    last_failure_at: Time,
    /// Time before which the peer is not polled.
    retry_at: Time,
    /// Time before which the peer is not followed.
    eligible_at: Time,
}

impl FailureHistory {
    fn fail(&mut self, now: Time, initial: Duration) {
        if now - self.last_failure_at >= FAILURE_RESET_AFTER {
            self.count = 0;
        }
        let backoff = initial * 2_u32.saturating_pow(self.count);
        self.count = (self.count + 1).min(MAX_DOUBLINGS);
        self.last_failure_at = now;
        self.retry_at = now + initial;
        self.eligible_at = now + backoff;
    }
}

/// Source that a node reads from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum SourceChoice {
    /// The platform's store.
    Store,
    /// A peer that reads the store or follows another peer.
    Peer(VmName),
}

impl Peers {
    /// Creates an empty set of peers.
    pub(super) const fn new(timing: FeedTiming) -> Self {
        Self {
            timing,
            known: BTreeMap::new(),
        }
    }

    /// Replaces the known peers by the nodes of the upstreams in the catalog.
    ///
    /// Peers that stay keep their failure history and position.
    pub(super) fn update(&mut self, catalog: &Catalog, own: &VmName, zone: &ZoneName, port: u16) {
        let mut listed = BTreeMap::new();
        for (record, _) in catalog.upstreams() {
            let Some(vm) = compile::vm_at(record.addr).filter(|vm| vm != own) else {
                continue;
            };
            let known = self.known.remove(&vm);
            let peer = Peer {
                addr: SocketAddr::new(record.addr.ip(), port),
                rank: rank(&record.zone, &vm),
                zone: record.zone.clone(),
                is_same_zone: record.zone == *zone,
                record: known.map(|p| p.record).unwrap_or_default(),
            };
            listed.insert(vm, peer);
        }
        self.known = listed;
    }

    /// Adds seeds as peers while no other peer is known.
    ///
    /// Load pattern: a fleet that starts. All its nodes would otherwise read the store until
    /// the platform lists their targets. Only seeds whose VM names sort before `own` are
    /// added, so that no two nodes follow each other. At the first start of the fleet
    /// nobody knows any node but the seeds, so that another node may follow any of them.
    pub(super) fn add_seeds(&mut self, cfg: &FeedConfig) {
        if !self.known.is_empty() {
            return;
        }
        let own = &cfg.vm;
        let seeds = cfg.seeds.iter();
        let seeds: Vec<_> = seeds
            .filter_map(|addr| Some((compile::vm_at(*addr)?, *addr)))
            .collect();
        let is_seed = seeds.iter().any(|(vm, _)| vm == own);
        let follows_any = cfg.is_first_start && !is_seed;
        let followed = seeds.into_iter().filter(|(vm, _)| vm < own || follows_any);
        for (vm, seed) in followed {
            let peer = Peer {
                addr: seed,
                rank: 0,
                zone: cfg.zone.clone(),
                is_same_zone: true,
                record: PeerRecord::default(),
            };
            self.known.insert(vm, peer);
        }
    }

    /// Chooses the source of a node.
    ///
    /// Of the nodes of its zone that are not in backoff, the one with the lowest
    /// rank reads the store, and the others follow it.
    pub(super) fn choose_source(&self, now: Time, own: &VmName, zone: &ZoneName) -> SourceChoice {
        let own_rank = rank(zone, own);
        let preferred = self.known.iter().filter(|(vm, p)| {
            p.is_same_zone
                && p.record.failure_history.eligible_at <= now
                && (p.rank, *vm) < (own_rank, own)
        });
        let first = preferred.min_by_key(|(vm, p)| (p.rank, (*vm).clone()));
        first.map_or(SourceChoice::Store, |(vm, _)| {
            SourceChoice::Peer(vm.clone())
        })
    }

    /// Returns a random peer to poll.
    ///
    /// With `prefers_other_zones` it is one of another zone if there is any. Load pattern:
    /// a zone loses the store. Its nodes share one view, so that asking them again and
    /// again only delays the news. While the store is known to be down, peers that failed
    /// repeatedly may be polled too.
    pub(super) fn choose_any(
        &self,
        now: Time,
        is_store_down: bool,
        prefers_other_zones: bool,
        rng: &mut fastrand::Rng,
    ) -> Option<VmName> {
        let usable_at = |h: &FailureHistory| {
            if is_store_down {
                h.retry_at
            } else {
                h.eligible_at
            }
        };
        let usable = self.known.iter();
        let usable: Vec<_> = usable
            .filter(|(_, p)| usable_at(&p.record.failure_history) <= now)
            .collect();
        let others = usable.iter().filter(|(_, p)| !p.is_same_zone);
        let others: Vec<_> = others.copied().collect();
        let candidates = if prefers_other_zones && !others.is_empty() {
            others
        } else {
            usable
        };
        rng.choice(candidates).map(|(vm, _)| vm.clone())
    }

    /// Returns the earliest time after `now` at which a backoff of a peer ends.
    pub(super) fn next_retry(&self, now: Time) -> Option<Time> {
        let histories = self.known.values().map(|p| p.record.failure_history);
        let retries = histories.flat_map(|h| [h.retry_at, h.eligible_at]);
        retries.filter(|at| *at > now).min()
    }

    /// Returns the address on which a peer accepts exchanges.
    pub(super) fn addr(&self, vm: &VmName) -> Option<SocketAddr> {
        self.known.get(vm).map(|p| p.addr)
    }

    /// Returns the position reached in the catalog of a peer.
    pub(super) fn position(&self, vm: &VmName) -> Option<Position> {
        self.known.get(vm).and_then(|p| p.record.position)
    }

    /// Records the position reached in the catalog of a peer; absent if the peer has to
    /// send all of it again.
    pub(super) fn set_position(&mut self, vm: &VmName, position: Option<Position>) {
        if let Some(peer) = self.known.get_mut(vm) {
            peer.record.position = position;
        }
    }

    /// Records a failure of a peer and starts its backoff.
    pub(super) fn record_failure(&mut self, vm: &VmName, now: Time) {
        if let Some(peer) = self.known.get_mut(vm) {
            let initial = self.timing.peer_backoff;
            peer.record.failure_history.fail(now, initial);
            peer.record.answer = None;
        }
    }

    /// Records an answer of a peer, and whether its view was fresh.
    pub(super) fn record_answer(&mut self, vm: &VmName, now: Time, is_fresh: bool) {
        if let Some(peer) = self.known.get_mut(vm) {
            peer.record.answer = Some((now, is_fresh));
        }
    }

    /// Does not follow a peer for a short time, because its view is old.
    ///
    /// Load pattern: a whole zone is outdated. With a backoff that doubles, its nodes would
    /// return to their reader long after it has recovered.
    pub(super) fn skip_stale(&mut self, vm: &VmName, now: Time) {
        if let Some(peer) = self.known.get_mut(vm) {
            let history = &mut peer.record.failure_history;
            let until = now + self.timing.stale_backoff;
            history.eligible_at = history.eligible_at.max(until);
        }
    }

    /// Returns `true` if a peer answered lately, so that it is probably alive.
    pub(super) fn has_answered(&self, vm: &VmName, now: Time) -> bool {
        let answer = self.known.get(vm).and_then(|p| p.record.answer);
        answer.is_some_and(|(at, _)| now - at <= self.timing.max_source_age)
    }

    /// Returns `true` if nodes of other zones are known.
    pub(super) fn has_other_zones(&self) -> bool {
        self.known.values().any(|p| !p.is_same_zone)
    }

    /// Returns the number of known peers.
    pub(super) fn len(&self) -> usize {
        self.known.len()
    }
}
