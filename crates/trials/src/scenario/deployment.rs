//! Names, addresses and rules of a scenario's deployment.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use celeryshore_model::VmName;
use celeryshore_model::ZoneName;

use super::script::Place;

/// Number of requests that a warm target runs at the same time.
pub(super) const SLOTS: usize = 6;

/// Number of requests that a target in cold start runs at the same time.
pub(super) const COLD_SLOTS: usize = 1;

/// Path of the requests of the at-most-once kind.
pub(super) const AT_MOST_ONCE_PATH: &[u8] = b"/place-order";

const PEER_PORT: u16 = 7_100;
const CONTROL_PORT: u16 = 7_200;
const BASE_IP: u32 = 0x0a00_0000;

/// Returns the name of a node's VM. Nodes are counted from 0, the names from `n1`.
pub(super) fn vm(node: usize) -> VmName {
    let name = format!("n{}", node + 1);
    name.parse().expect("`n` and a number is a name")
}

/// Returns the address at which a node receives forwarded requests and heartbeats.
pub(super) fn peer(node: usize) -> SocketAddr {
    address(node, PEER_PORT)
}

/// Returns the address at which a node serves its configuration.
pub(super) fn control(node: usize) -> SocketAddr {
    address(node, CONTROL_PORT)
}

fn address(node: usize, port: u16) -> SocketAddr {
    let host = BASE_IP + u32::try_from(node).unwrap_or_default() + 1;
    SocketAddr::new(IpAddr::V4(Ipv4Addr::from(host)), port)
}

/// Returns the initial rules: one service with an upstream at each node.
pub(super) fn rules(zones: &[ZoneName], zone_of: &[ZoneName]) -> Vec<String> {
    let mut rules = vec!["epoch 1".to_owned()];
    rules.extend(zones.iter().map(|zone| format!("zone {zone} region=r")));
    rules.push(format!(
        "service ordering slots={SLOTS} cold-slots={COLD_SLOTS} queue=12 connections=110"
    ));
    for (kind, semantics, deadline) in [
        ("place-order", "at-most-once", "2s"),
        ("look", "idempotent", "1s"),
    ] {
        rules.push(format!(
            "kind ordering/{kind} semantics={semantics} deadline={deadline}"
        ));
        rules.push(format!(
            "route {kind} path=/{kind} service=ordering kind={kind}"
        ));
    }
    for (node, zone) in zone_of.iter().enumerate() {
        let (vm, peer, control) = (vm(node), peer(node), control(node));
        rules.push(format!(
            "upstream {vm} service=ordering zone={zone} vm={vm} peer={peer} control={control}"
        ));
    }
    rules.iter().map(|rule| with_requester(rule)).collect()
}

/// Returns the rule that takes a place out of service; `Everywhere` has none.
pub(super) fn outage(place: &Place) -> Option<String> {
    match place {
        Place::Everywhere => None,
        Place::Zone(zone) => Some(with_requester(&format!("out zone={zone}"))),
        Place::Node(node) => Some(with_requester(&format!("out vm=n{node}"))),
    }
}

/// Appends the requester, which the rules language requires on every line.
fn with_requester(rule: &str) -> String {
    format!("{rule}  # scenario")
}
