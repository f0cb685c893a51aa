//! Other nodes, and which of them to follow.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use celeryshore_model::Time;
use celeryshore_model::VmName;
use celeryshore_model::ZoneName;

use super::Position;
use super::catalog::Catalog;
use super::compile;
use crate::fleet::rank;

/// Time for which a peer that did not help is left alone. It has to be shorter
/// than the time within which a node is in touch again after an outage.
const LEFT_ALONE: Duration = Duration::from_millis(1_500);
/// Longest time for which a peer that failed several times is not followed: eight
/// times the first.
const MAX_PASSED_OVER: Duration = Duration::from_secs(12);
/// Failures beyond which the time no longer grows.
const MAX_DOUBLINGS: u32 = 3;
/// Time after which earlier failures of a peer no longer count.
const FORGIVEN_AFTER: Duration = Duration::from_secs(20);

/// Other nodes by their VMs.
#[derive(Debug, Default)]
pub(super) struct Peers {
    known: BTreeMap<VmName, Peer>,
}

#[derive(Debug)]
struct Peer {
    addr: SocketAddr,
    rank: u64,
    is_near: bool,
    trouble: Trouble,
    position: Option<Position>,
}

/// How a peer failed lately.
///
/// Load pattern: a machine whose link fails every second or so. Each success
/// between would make it the source of its whole zone again.
#[derive(Clone, Copy, Debug, Default)]
struct Trouble {
    failures: u32,
    latest: Time,
    /// Until when it is not asked at all.
    left_until: Time,
    /// Until when it is not followed.
    passed_until: Time,
}

impl Trouble {
    fn fail(&mut self, now: Time) {
        if now - self.latest >= FORGIVEN_AFTER {
            self.failures = 0;
        }
        let passed_over = LEFT_ALONE * 2_u32.saturating_pow(self.failures);
        self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
        self.latest = now;
        self.left_until = now + LEFT_ALONE;
        self.passed_until = now + passed_over.min(MAX_PASSED_OVER);
    }
}

/// Where to read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Choice {
    /// The store.
    Store,
    /// A peer that reads the store, or follows one that does.
    Peer(VmName),
}

impl Peers {
    /// Takes the nodes that the catalog lists.
    pub(super) fn list(&mut self, catalog: &Catalog, own: &VmName, zone: &ZoneName, port: u16) {
        let mut listed = BTreeMap::new();
        for (record, _) in catalog.upstreams() {
            let Some(vm) = compile::vm_at(record.addr).filter(|vm| vm != own) else {
                continue;
            };
            let known = self.known.remove(&vm);
            let (trouble, position) =
                known.map_or((Trouble::default(), None), |p| (p.trouble, p.position));
            let peer = Peer {
                addr: SocketAddr::new(record.addr.ip(), port),
                rank: rank(&record.zone, &vm),
                is_near: record.zone == *zone,
                trouble,
                position,
            };
            listed.insert(vm, peer);
        }
        self.known = listed;
    }

    /// Takes seeds for peers while the platform lists no target: all nodes of a
    /// fleet that starts would read the store until their targets are listed.
    ///
    /// Those whose names come before the own one count, so that no two nodes
    /// follow each other.
    pub(super) fn add_seeds(&mut self, seeds: &[SocketAddr], own: &VmName) {
        if !self.known.is_empty() {
            return;
        }
        for seed in seeds {
            let Some(vm) = compile::vm_at(*seed).filter(|vm| vm < own) else {
                continue;
            };
            let peer = Peer {
                addr: *seed,
                rank: 0,
                is_near: true,
                trouble: Trouble::default(),
                position: None,
            };
            self.known.insert(vm, peer);
        }
    }

    /// Returns where a node reads: the first node of its zone that is in order
    /// reads the store, and the others follow it.
    pub(super) fn choose(&self, now: Time, own: &VmName, zone: &ZoneName) -> Choice {
        let own_rank = rank(zone, own);
        let before = self.known.iter().filter(|(vm, p)| {
            p.is_near && p.trouble.passed_until <= now && (p.rank, *vm) < (own_rank, own)
        });
        let first = before.min_by_key(|(vm, p)| (p.rank, (*vm).clone()));
        first.map_or(Choice::Store, |(vm, _)| Choice::Peer(vm.clone()))
    }

    /// Returns any node that may know more while the store does not answer.
    pub(super) fn draw(&self, now: Time, rng: &mut fastrand::Rng) -> Option<VmName> {
        let usable = self
            .known
            .iter()
            .filter(|(_, p)| p.trouble.left_until <= now);
        let usable: Vec<_> = usable.map(|(vm, _)| vm).collect();
        rng.choice(usable).cloned()
    }

    /// Returns the earliest time after `now` at which a peer is in order again.
    pub(super) fn next_due(&self, now: Time) -> Option<Time> {
        let troubles = self.known.values().map(|p| p.trouble);
        let left = troubles.flat_map(|t| [t.left_until, t.passed_until]);
        left.filter(|at| *at > now).min()
    }

    /// Returns the address of a peer.
    pub(super) fn addr(&self, vm: &VmName) -> Option<SocketAddr> {
        self.known.get(vm).map(|p| p.addr)
    }

    /// Returns what was taken over from a peer.
    pub(super) fn position(&self, vm: &VmName) -> Option<Position> {
        self.known.get(vm).and_then(|p| p.position)
    }

    /// Notes what was taken over from a peer.
    pub(super) fn set_position(&mut self, vm: &VmName, position: Position) {
        if let Some(peer) = self.known.get_mut(vm) {
            peer.position = Some(position);
        }
    }

    /// Leaves a peer alone for a while.
    pub(super) fn leave(&mut self, vm: &VmName, now: Time) {
        if let Some(peer) = self.known.get_mut(vm) {
            peer.trouble.fail(now);
        }
    }

    /// Returns how many other nodes are known.
    pub(super) fn len(&self) -> usize {
        self.known.len()
    }
}
