//! One whole configuration, made of what is published apart.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use celeryshore_model::Incarnation;
use celeryshore_model::Slots;
use celeryshore_model::Snapshot;
use celeryshore_model::Upstream;
use celeryshore_model::VmName;
use celeryshore_model::Zone;

use super::Revision;
use super::UpstreamRecord;
use super::catalog::Catalog;

/// Requests that may wait for each slot of a target. The admitting node refuses
/// what would wait too long, so this only bounds its memory.
const QUEUE_PER_SLOT: u32 = 16;

/// Returns the VM that an address belongs to: VMs are named by their addresses,
/// as the store lists no other name for them.
pub(super) fn vm_at(addr: SocketAddr) -> Option<VmName> {
    addr.ip().to_string().parse().ok()
}

/// Makes the configuration that is in force, if any is published.
///
/// An upstream whose service is not configured is left out. Of two upstreams at
/// one address the later one counts, since addresses are used again.
pub(super) fn compile(catalog: &Catalog, zones: &[Zone], peer_port: u16) -> Option<Snapshot> {
    let mut snapshot = Snapshot::clone(catalog.configuration()?.as_ref());
    let zones = zones.iter().cloned();
    snapshot.zones = zones.map(|zone| (zone.name.clone(), zone)).collect();
    snapshot.outages.zones = catalog.zones_out().cloned().collect();
    for record in latest_by_address(catalog).into_values() {
        add(&mut snapshot, record, peer_port);
    }
    Some(snapshot)
}

fn latest_by_address(catalog: &Catalog) -> BTreeMap<SocketAddr, &UpstreamRecord> {
    let mut latest: BTreeMap<SocketAddr, (Incarnation, Revision, &UpstreamRecord)> =
        BTreeMap::new();
    for (record, revision) in catalog.upstreams() {
        let candidate = (record.life, revision, record);
        let known = latest.entry(record.addr).or_insert(candidate);
        if (known.0, known.1) < (record.life, revision) {
            *known = candidate;
        }
    }
    let records = latest.into_iter();
    records
        .map(|(addr, (_, _, record))| (addr, record))
        .collect()
}

fn add(snapshot: &mut Snapshot, record: &UpstreamRecord, peer_port: u16) {
    let Some(service) = snapshot.services.get_mut(&record.service) else {
        return;
    };
    let Some(vm) = vm_at(record.addr) else {
        return;
    };
    let limits = &mut service.limits;
    limits.slots = limits.slots.max(record.slots);
    limits.queue = Slots::new(limits.slots.get().saturating_mul(QUEUE_PER_SLOT));
    service.upstreams.push(record.name.clone());
    let peer = SocketAddr::new(record.addr.ip(), peer_port);
    let upstream = Upstream {
        name: record.name.clone(),
        service: record.service.clone(),
        vm,
        zone: record.zone.clone(),
        peer,
        control: peer,
        slots: Some(record.slots),
        life: record.life,
        state: record.state,
        is_cold: !record.cold_for.is_zero(),
    };
    snapshot.upstreams.insert(record.name.clone(), upstream);
}

/// Returns what the target on a VM says of itself.
pub(super) fn own_record<'a>(catalog: &'a Catalog, vm: &VmName) -> Option<&'a UpstreamRecord> {
    let mut records = latest_by_address(catalog).into_values();
    records.find(|record| vm_at(record.addr).as_ref() == Some(vm))
}

/// Tells whether two configurations are the same in all that nodes act on.
pub(super) fn is_same(left: Option<&Arc<Snapshot>>, right: &Snapshot) -> bool {
    left.is_some_and(|left| **left == *right)
}
