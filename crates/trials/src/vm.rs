//! VMs of a fleet and the addresses of their ports.

use std::net::SocketAddr;

use celeryshore_standins::loopback;
use serde_json::Value;
use serde_json::json;

use crate::deployment::Deployment;

const VMS_PER_FLEET: u16 = 100;

/// Port of a VM, or of the stand-ins that a fleet shares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Port {
    /// Callers' port of a node.
    Callers = 7_000,
    /// Peer port of a node, for requests that nodes forward to each other.
    Peer = 7_010,
    /// Control port of a node, for configuration and heartbeats.
    Control = 7_020,
    /// Operators' port of a node.
    Operators = 7_030,
    /// Port of a target.
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

/// VM with one node and one target.
#[derive(Clone, Debug)]
pub struct Vm {
    /// Name of the VM.
    pub name: String,
    /// Availability zone of the VM.
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

    /// Returns the VM's entry in the platform's list of VMs.
    pub(crate) fn catalog_entry(&self) -> Value {
        json!({
            "Node": self.name,
            "Address": self.address(Port::Peer).ip(),
            "Meta": { "zone": self.zone, "state": "live" },
        })
    }
}

/// Creates the VMs of a deployment, with its availability zones assigned in turn.
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
