//! A node stays within its bandwidth limits for control traffic.

use std::time::Duration;

use celeryshore_kernel::FleetEvent;
use celeryshore_kernel::InboundPullId;
use celeryshore_kernel::PullRequest;
use celeryshore_kernel::TrafficKind;
use celeryshore_model::Version;

use crate::support::FleetRules;
use crate::support::Simulation;

/// Limit of all control traffic of a node.
const BYTES_PER_SECOND: u64 = 15 * 1_024;

/// Maximum burst of all control traffic of a node.
const BURST_BYTES: u64 = (256 + 32) * 1_024;

/// Limit of the replies to pulls of a node.
const PULL_BYTES_PER_SECOND: u64 = 8 * 1_024;
/// Maximum burst of the replies to pulls of a node.
const PULL_BURST_BYTES: u64 = 256 * 1_024;

/// Maximum size by which the last message of a burst may exceed the limit.
const MAX_MESSAGE_BYTES: u64 = 120 * 1_024;

fn sent_bytes(sim: &Simulation, i: usize) -> u64 {
    sim.nodes[i].datagram_bytes + sim.nodes[i].pull_bytes
}

#[test]
fn idle_fleet() {
    let rules = FleetRules::new(3, 20);
    let mut sim = Simulation::settled(&rules, 61);
    sim.run_for(Duration::from_secs(20));
    let before: Vec<_> = (0..rules.nodes()).map(|i| sent_bytes(&sim, i)).collect();
    sim.run_for(Duration::from_secs(20));
    for (i, before) in before.iter().enumerate() {
        let rate = (sent_bytes(&sim, i) - before) / 20;
        assert!(rate < 3 * 1_024, "{rate} B/s");
    }
}

#[test]
fn busy_fleet() {
    let rules = FleetRules::new(3, 20);
    let mut sim = Simulation::settled(&rules, 62);
    let start = sim.now;
    let before: Vec<_> = (0..rules.nodes()).map(|i| sent_bytes(&sim, i)).collect();
    for revision in 2..40 {
        for i in (0..rules.nodes()).filter(|i| i % 3 == 1) {
            sim.kill(i);
        }
        sim.publish(&rules.revision(revision));
        sim.run_for(Duration::from_millis(500));
        for i in (0..rules.nodes()).filter(|i| i % 3 == 1) {
            sim.restart(i);
        }
        sim.run_for(Duration::from_millis(500));
    }
    let span = (sim.now - start).as_secs();
    for i in (0..rules.nodes()).filter(|i| i % 3 != 1) {
        let bytes = sent_bytes(&sim, i) - before[i];
        assert!(bytes < BURST_BYTES + span * BYTES_PER_SECOND, "{bytes} B");
    }
    let kind = TrafficKind::PullSnapshot;
    let snapshots: u64 = sim
        .nodes
        .iter()
        .map(|n| n.kernel.fleet.traffic(kind).messages)
        .sum();
    assert!(snapshots > 0);
}

#[test]
fn mass_restart() {
    let mut rules = FleetRules::new(3, 20);
    rules.padding = 200 * 1_024;
    let mut sim = Simulation::settled(&rules, 63);
    let version = sim.newest_version();
    let start = sim.now;
    let victims: Vec<_> = (0..rules.nodes()).filter(|i| i % 6 != 0).collect();
    let before: Vec<_> = sim.nodes.iter().map(|n| n.pull_bytes).collect();
    for i in &victims {
        sim.kill(*i);
    }
    sim.run_for(Duration::from_secs(1));
    for i in &victims {
        sim.restart(*i);
    }
    let took = sim.run_until(Duration::from_secs(20), |s| s.has_converged(version));
    assert!(took.is_some());
    let span = (sim.now - start).as_secs() + 1;
    for i in (0..rules.nodes()).filter(|i| i % 6 == 0) {
        let bytes = sim.nodes[i].pull_bytes - before[i];
        let bound = PULL_BURST_BYTES + MAX_MESSAGE_BYTES + span * PULL_BYTES_PER_SECOND;
        assert!(bytes < bound, "{bytes} B");
    }
}

#[test]
fn many_pulls() {
    let mut rules = FleetRules::new(1, 2);
    rules.padding = 200 * 1_024;
    let mut sim = Simulation::settled(&rules, 64);
    let before = sim.nodes[0].pull_bytes;
    for i in 0..20 {
        let inbound = InboundPullId(u64::MAX - i);
        let base = Version::default();
        let request = PullRequest { base };
        sim.handle(0, FleetEvent::PullReceived { inbound, request });
        sim.run_for(Duration::from_millis(100));
    }
    let bytes = sim.nodes[0].pull_bytes - before;
    assert!(bytes > 0);
    let bound = PULL_BURST_BYTES + MAX_MESSAGE_BYTES + 2 * PULL_BYTES_PER_SECOND;
    assert!(bytes < bound, "{bytes} B");
}
