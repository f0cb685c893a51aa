//! A valid version takes effect on all nodes within seconds.

use std::time::Duration;

use crate::support::FleetRules;
use crate::support::PollingFleet;
use crate::support::Simulation;

/// Bound for a change that takes effect on all nodes.
const CONVERGENCE_BOUND: Duration = Duration::from_secs(5);

/// Bound for an idle fleet. Distribution by heartbeats alone takes longer.
const FAST_BOUND: Duration = Duration::from_millis(500);

#[test]
fn cold_start() {
    let rules = FleetRules::new(4, 15);
    let mut sim = Simulation::start(&rules, 1);
    let version = sim.version_of(&rules);
    let took = sim.run_until(Duration::from_secs(15), |s| s.has_converged(version));
    assert!(took.is_some());
}

#[test]
fn one_change() {
    let rules = FleetRules::new(4, 15);
    let mut sim = Simulation::settled(&rules, 2);
    let version = sim.publish(&rules.revision(2));
    let took = sim.run_until(CONVERGENCE_BOUND, |s| s.has_converged(version));
    assert!(took.is_some_and(|t| t < FAST_BOUND), "{took:?}");
}

#[test]
fn lossy_network() {
    let rules = FleetRules::new(4, 15);
    let mut sim = Simulation::settled(&rules, 3);
    sim.net.loss_rate = 0.2;
    sim.net.duplicate_rate = 0.2;
    sim.net.jitter = Duration::from_millis(50);
    let version = sim.publish(&rules.revision(2));
    let took = sim.run_until(CONVERGENCE_BOUND, |s| s.has_converged(version));
    assert!(took.is_some(), "{took:?}");
}

#[test]
fn quick_changes() {
    let rules = FleetRules::new(4, 15);
    let mut sim = Simulation::settled(&rules, 4);
    sim.publish(&rules.revision(2));
    sim.run_for(Duration::from_millis(400));
    sim.publish(&rules);
    sim.run_for(Duration::from_millis(400));
    let version = sim.publish(&rules.revision(2));
    let took = sim.run_until(CONVERGENCE_BOUND, |s| s.has_converged(version));
    assert!(took.is_some(), "{took:?}");
}

#[test]
fn isolated_zone() {
    let rules = FleetRules::new(4, 15);
    let mut sim = Simulation::settled(&rules, 5);
    let zone = FleetRules::zone(3);
    sim.net.isolated_zones.insert(zone.clone());
    sim.net.zones_without_source.insert(zone.clone());
    sim.run_for(Duration::from_secs(2));
    let version = sim.publish(&rules.revision(2));
    sim.run_for(Duration::from_secs(20));
    let behind = sim.nodes.iter().filter(|n| n.effective_version() < version);
    assert_eq!(behind.count(), 15);
    sim.net.isolated_zones.clear();
    let took = sim.run_until(CONVERGENCE_BOUND, |s| s.has_converged(version));
    assert!(took.is_some(), "{took:?}");
}

/// The fleet makes less than a tenth of the calls of a fleet in which every node
/// polls the platform.
#[test]
fn polling_baseline() {
    let rules = FleetRules::new(4, 15);
    let mut sim = Simulation::settled(&rules, 6);
    let mut polling = PollingFleet::new(rules.nodes(), 6);
    let start = sim.now;
    polling.run_to(start, Some((sim.source.index, &sim.source.value)));
    polling.calls = 0;
    sim.run_for(Duration::from_secs(20));
    polling.run_to(sim.now, Some((sim.source.index, &sim.source.value)));
    assert!(polling.has_converged(sim.source.index));
    let calls = sim.source.calls_between(start, sim.now);
    assert!(
        calls * 10 < polling.calls,
        "{calls} against {}",
        polling.calls
    );
}
