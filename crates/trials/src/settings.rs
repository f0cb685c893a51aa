//! Settings file of a node.

use std::net::SocketAddr;

use serde_json::Value;
use serde_json::json;

use crate::fleet::KEY;
use crate::vm::Port;
use crate::vm::Vm;

const MAX_SEEDS: usize = 3;

/// Returns the settings of a VM's node, with up to `MAX_SEEDS` other VMs as seeds.
pub fn render(vm: &Vm, vms: &[Vm], platform: SocketAddr) -> String {
    let others = vms.iter().filter(|other| other.name != vm.name);
    let step = vms.len().div_ceil(MAX_SEEDS).max(1);
    let seeds: Vec<_> = others.step_by(step).map(seed_addresses).collect();
    let settings = json!({
        "vm": vm.name,
        "zone": vm.zone,
        "callers": vm.address(Port::Callers),
        "peer": vm.address(Port::Peer),
        "control": vm.address(Port::Control),
        "operators": vm.address(Port::Operators),
        "target": vm.address(Port::Target),
        "platform": { "addresses": [platform], "key": KEY },
        "seeds": seeds,
    });
    // The node reads YAML, of which JSON is a subset.
    settings.to_string()
}

fn seed_addresses(vm: &Vm) -> Value {
    json!({
        "peer": vm.address(Port::Peer),
        "control": vm.address(Port::Control),
    })
}
