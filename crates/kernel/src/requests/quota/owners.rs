//! Choice of the nodes that own parts of a workspace's quota.
//!
//! All nodes with the same list of upstreams choose the same owners. They are taken from
//! the zones in turn, and each part is in proportion to the nodes of its zone, so that
//! both sides of a cut between zones keep the parts of their callers.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use celeryshore_model::Snapshot;
use celeryshore_model::VmName;
use celeryshore_model::WorkspaceName;
use celeryshore_model::ZoneName;

/// Distinguishes the order for spare credits from the order of owners.
const SPARE_SALT: u64 = 1;

/// A node that may become an owner.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Candidate {
    vm: VmName,
    zone: ZoneName,
    peer: SocketAddr,
    hash: u64,
}

/// Owner of a part of a workspace's quota.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Owner {
    /// VM of the owner.
    pub(super) vm: VmName,
    /// Zone of the owner.
    pub(super) zone: ZoneName,
    /// Address at which it receives datagrams.
    pub(super) peer: SocketAddr,
    /// Its part of the quota.
    pub(super) part: PartSize,
}

/// Part of a quota, as a fraction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PartSize {
    /// Nodes of the owner's zone.
    pub(super) numerator: u64,
    /// Nodes of all zones with owners, times the owners of this zone.
    pub(super) denominator: u64,
}

/// Nodes of the listed upstreams.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct Candidates(Vec<Candidate>);

impl Candidates {
    /// Returns the nodes of the upstreams that a configuration lists.
    pub(super) fn of(snapshot: &Snapshot) -> Self {
        let upstreams = snapshot.upstreams.values();
        let candidates = upstreams.map(|u| Candidate {
            vm: u.vm.clone(),
            zone: u.zone.clone(),
            peer: u.peer,
            hash: hash(u.vm.as_str()),
        });
        Self(candidates.collect())
    }

    /// Chooses the owners of a workspace, at most `count`.
    pub(super) fn owners(&self, workspace: &WorkspaceName, count: usize) -> Vec<Owner> {
        let seed = hash(workspace.as_str());
        let mut zones: BTreeMap<&ZoneName, Vec<&Candidate>> = BTreeMap::new();
        for candidate in &self.0 {
            zones.entry(&candidate.zone).or_default().push(candidate);
        }
        let mut zones: Vec<_> = zones.into_values().collect();
        for zone in &mut zones {
            zone.sort_by_key(|c| Reverse((mix(c.hash ^ seed), c.hash)));
        }
        zones.sort_by_key(|zone| Reverse(mix(hash(zone[0].zone.as_str()) ^ seed)));
        let longest = zones.iter().map(Vec::len).max().unwrap_or(0);
        let turns = (0..longest).flat_map(|turn| zones.iter().filter_map(move |z| z.get(turn)));
        let chosen: Vec<&Candidate> = turns.copied().take(count).collect();
        let sizes = chosen.iter().map(|c| PartSize {
            numerator: self.zone_size(&c.zone),
            denominator: self.denominator(&chosen, &c.zone),
        });
        let owners = chosen.iter().zip(sizes);
        owners
            .map(|(c, part)| Owner {
                vm: c.vm.clone(),
                zone: c.zone.clone(),
                peer: c.peer,
                part,
            })
            .collect()
    }

    /// Returns `true` if a node is among the first `count` in the order for spare credits.
    pub(super) fn has_spare(&self, workspace: &WorkspaceName, vm: &VmName, count: usize) -> bool {
        let seed = hash(workspace.as_str()) ^ SPARE_SALT;
        let weight = |c: &Candidate| (mix(c.hash ^ seed), c.hash);
        let Some(own) = self.0.iter().find(|c| c.vm == *vm).map(weight) else {
            return false;
        };
        self.0.iter().filter(|c| weight(c) > own).count() < count
    }

    /// Returns the position of a node in the list, or zero if it is not listed.
    pub(super) fn position(&self, vm: &VmName) -> usize {
        self.0.iter().position(|c| c.vm == *vm).unwrap_or(0)
    }

    fn zone_size(&self, zone: &ZoneName) -> u64 {
        self.0.iter().filter(|c| c.zone == *zone).count() as u64
    }

    fn denominator(&self, chosen: &[&Candidate], zone: &ZoneName) -> u64 {
        let has_owner = |c: &&Candidate| chosen.iter().any(|owner| owner.zone == c.zone);
        let nodes = self.0.iter().filter(has_owner).count();
        let owners = chosen.iter().filter(|c| c.zone == *zone).count();
        (nodes * owners) as u64
    }
}

/// Returns the FNV-1a hash of a name, which is the same at all nodes and versions.
fn hash(name: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    name.as_bytes().iter().fold(OFFSET, step)
}

/// Spreads the bits of a hash (finalizer of `SplitMix64`).
const fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
