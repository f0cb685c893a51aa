//! Builds one complete configuration from separately published items.

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

/// Queued requests per slot of a target. The admitting node refuses requests that
/// would wait too long, so this limit only bounds its memory.
const QUEUE_PER_SLOT: u32 = 16;

/// Returns the name of the VM with an address.
///
/// VMs are named by their IP addresses, because the store has no other name for
/// them.
pub(super) fn vm_at(addr: SocketAddr) -> Option<VmName> {
    addr.ip().to_string().parse().ok()
}

/// Builds the configuration in effect, or returns `None` if none is published.
///
/// Upstreams of services that are not configured are omitted. If two upstreams
/// have the same address, the one with the later incarnation wins, then the one
/// with the higher revision, because the platform reuses addresses.
pub(super) fn compile(catalog: &Catalog, zones: &[Zone], peer_port: u16) -> Option<Snapshot> {
    let mut snapshot = Snapshot::clone(catalog.configuration()?.as_ref());
    let zones = zones.iter().cloned();
    snapshot.zones = zones.map(|zone| (zone.name.clone(), zone)).collect();
    snapshot.outages.zones = catalog.zones_out_of_service().cloned().collect();
    for record in latest_by_address(catalog).into_values() {
        add(&mut snapshot, record, peer_port);
    }
    Some(snapshot)
}

fn latest_by_address(catalog: &Catalog) -> BTreeMap<SocketAddr, &UpstreamRecord> {
    let mut latest: BTreeMap<SocketAddr, (Incarnation, Revision, &UpstreamRecord)> =
        BTreeMap::new();
    for (record, revision) in catalog.upstreams() {
        let candidate = (record.incarnation, revision, record);
        let known = latest.entry(record.addr).or_insert(candidate);
        if (known.0, known.1) < (record.incarnation, revision) {
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
        incarnation: record.incarnation,
        state: record.state,
        is_cold: !record.cold_remaining.is_zero(),
    };
    snapshot.upstreams.insert(record.name.clone(), upstream);
}

/// Returns the registration of the target on a VM.
pub(super) fn own_record<'a>(catalog: &'a Catalog, vm: &VmName) -> Option<&'a UpstreamRecord> {
    let mut records = latest_by_address(catalog).into_values();
    records.find(|record| vm_at(record.addr).as_ref() == Some(vm))
}

/// Returns `true` if `left` is present and equal to `right`.
pub(super) fn is_same(left: Option<&Arc<Snapshot>>, right: &Snapshot) -> bool {
    left.is_some_and(|left| **left == *right)
}
