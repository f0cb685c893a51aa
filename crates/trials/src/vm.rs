//! VMs of a fleet and their addresses.

use std::net::SocketAddr;

use celeryshore_standins::loopback;
use serde_json::Value;
use serde_json::json;

use crate::deployment::Deployment;

const VMS_PER_FLEET: u16 = 100;

/// A port of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Port {
    /// Callers' port of the node.
    Callers = 7_000,
    /// Hand-overs between nodes.
    Peer = 7_010,
    /// Configuration and heartbeats between nodes.
    Control = 7_020,
    /// Operators' port of the node.
    Operators = 7_030,
    /// The target.
    Target = 7_040,
    /// Readers' port of the platform.
    Platform = 7_050,
    /// Control port of the platform.
    PlatformControl = 7_060,
    /// Control port of the targets.
    TargetControl = 7_070,
    /// Control port of the relay.
    RelayControl = 7_080,
}

/// A VM with one node and one target.
#[derive(Clone, Debug)]
pub struct Vm {
    /// Name of the VM.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Service of its target.
    pub service: String,
    number: u16,
}

impl Vm {
    /// Returns the address of a port.
    #[must_use]
    pub fn address(&self, port: Port) -> SocketAddr {
        loopback(self.number, port as u16)
    }

    /// Returns the VM's entry in the platform's list.
    pub(crate) fn catalog_entry(&self) -> Value {
        json!({
            "Node": self.name,
            "Address": self.address(Port::Peer).ip(),
            "Meta": { "zone": self.zone, "state": "live" },
        })
    }
}

/// Returns the VMs of a deployment, with its availability zones in turn.
pub fn create_all(deployment: &Deployment, fleet: u16) -> Vec<Vm> {
    let services = deployment.services.iter();
    let names = services.flat_map(|s| std::iter::repeat_n(s.name, usize::from(s.upstreams)));
    let zones = deployment.zones.iter().cycle();
    let vm = |((i, service), zone): ((u16, &str), &&str)| Vm {
        name: format!("vm-{fleet}-{i}"),
        zone: (*zone).to_owned(),
        service: service.to_owned(),
        number: fleet * VMS_PER_FLEET + i,
    };
    (0..).zip(names).zip(zones).map(vm).collect()
}
