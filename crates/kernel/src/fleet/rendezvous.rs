//! Rendezvous hashing of the VMs of a zone.

use celeryshore_model::VmName;
use celeryshore_model::ZoneName;
use sha2::Digest as _;
use sha2::Sha256;

/// Returns the rank of a VM among the VMs of its zone. The smallest rank comes
/// first.
///
/// The rank depends only on the names, so all nodes agree on the order.
pub fn rank(zone: &ZoneName, vm: &VmName) -> u64 {
    let digest = Sha256::new()
        .chain_update(zone.as_str())
        .chain_update(b"/")
        .chain_update(vm.as_str())
        .finalize();
    digest
        .iter()
        .take(size_of::<u64>())
        .fold(0, |rank, b| rank << 8 | u64::from(*b))
}
