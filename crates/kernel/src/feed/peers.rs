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
    left_until: Time,
    position: Option<Position>,
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
            let (left_until, position) =
                known.map_or((Time::ZERO, None), |p| (p.left_until, p.position));
            let peer = Peer {
                addr: SocketAddr::new(record.addr.ip(), port),
                rank: rank(&record.zone, &vm),
                is_near: record.zone == *zone,
                left_until,
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
                left_until: Time::ZERO,
                position: None,
            };
            self.known.insert(vm, peer);
        }
    }

    /// Returns where a node reads: the first node of its zone that is in order
    /// reads the store, and the others follow it.
    pub(super) fn choose(&self, now: Time, own: &VmName, zone: &ZoneName) -> Choice {
        let own_rank = rank(zone, own);
        let before = self
            .known
            .iter()
            .filter(|(vm, p)| p.is_near && p.left_until <= now && (p.rank, *vm) < (own_rank, own));
        let first = before.min_by_key(|(vm, p)| (p.rank, (*vm).clone()));
        first.map_or(Choice::Store, |(vm, _)| Choice::Peer(vm.clone()))
    }

    /// Returns any node that may know more while the store does not answer.
    pub(super) fn draw(&self, now: Time, rng: &mut fastrand::Rng) -> Option<VmName> {
        let usable = self.known.iter().filter(|(_, p)| p.left_until <= now);
        let usable: Vec<_> = usable.map(|(vm, _)| vm).collect();
        rng.choice(usable).cloned()
    }

    /// Returns the earliest time after `now` at which a peer is in order again.
    pub(super) fn next_due(&self, now: Time) -> Option<Time> {
        let left = self.known.values().map(|p| p.left_until);
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
            peer.left_until = now + LEFT_ALONE;
        }
    }

    /// Returns how many other nodes are known.
    pub(super) fn len(&self) -> usize {
        self.known.len()
    }
}
