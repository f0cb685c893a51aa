//! Generator of rules texts for the simulated fleet.

use std::fmt::Write as _;
use std::net::SocketAddr;

use bytes::Bytes;
use celeryshore_model::VmName;
use celeryshore_model::ZoneName;

const FIRST_PORT: usize = 1_000;
const PORTS_PER_ADDRESS: usize = 20_000;

/// Rules of a fleet whose zones all have the same number of VMs.
#[derive(Clone, Debug)]
pub struct FleetRules {
    pub epoch: u64,
    pub zones: usize,
    pub vms_per_zone: usize,
    /// Number in a comment of the text, which makes the text of each revision unique.
    pub revision: u64,
    pub zone_out_of_service: Option<usize>,
    /// Whether the text refers to an unknown zone.
    pub is_invalid: bool,
    /// Size of added comments, in bytes. They do not compress well.
    pub padding: usize,
}

impl FleetRules {
    pub fn new(zones: usize, vms_per_zone: usize) -> Self {
        Self {
            epoch: 1,
            zones,
            vms_per_zone,
            revision: 1,
            zone_out_of_service: None,
            is_invalid: false,
            padding: 0,
        }
    }

    pub fn revision(&self, revision: u64) -> Self {
        Self {
            revision,
            ..self.clone()
        }
    }

    pub fn nodes(&self) -> usize {
        self.zones * self.vms_per_zone
    }

    pub fn zone(i: usize) -> ZoneName {
        format!("zone-{i}").parse().unwrap()
    }

    pub fn vm(i: usize) -> VmName {
        format!("vm-{i:05}").parse().unwrap()
    }

    pub fn zone_of(&self, node: usize) -> ZoneName {
        Self::zone(node / self.vms_per_zone)
    }

    pub fn peer(i: usize) -> SocketAddr {
        address(1, i)
    }

    pub fn control(i: usize) -> SocketAddr {
        address(101, i)
    }

    pub fn to_bytes(&self) -> Bytes {
        let mut text = format!("epoch {}  # operations\n", self.epoch);
        let revision = self.revision;
        for i in 0..self.zones {
            let zone = Self::zone(i);
            writeln!(text, "zone {zone} region=scotland  # revision {revision}").unwrap();
        }
        text.push_str("service ordering slots=6 connections=110  # operations\n");
        for i in 0..self.nodes() {
            let (zone, vm) = (self.zone_of(i), Self::vm(i));
            let (peer, control) = (Self::peer(i), Self::control(i));
            writeln!(
                text,
                "upstream ordering-{i} service=ordering zone={zone} vm={vm} \
                 peer={peer} control={control}  # operations"
            )
            .unwrap();
        }
        if let Some(zone) = self.zone_out_of_service {
            writeln!(text, "out zone={}  # operations", Self::zone(zone)).unwrap();
        }
        if self.is_invalid {
            text.push_str("out zone=nowhere  # operations\n");
        }
        pad(&mut text, self.padding);
        text.into()
    }
}

fn pad(text: &mut String, bytes: usize) {
    let mut rng = fastrand::Rng::with_seed(1);
    let end = text.len() + bytes;
    while text.len() < end {
        writeln!(text, "# {:016x}{:016x}", rng.u64(..), rng.u64(..)).unwrap();
    }
}

fn address(net: usize, i: usize) -> SocketAddr {
    let host = net + i / PORTS_PER_ADDRESS;
    let port = FIRST_PORT + i % PORTS_PER_ADDRESS;
    format!("127.0.0.{host}:{port}").parse().unwrap()
}
