//! A restarted node obtains a current configuration before it accepts requests of
//! callers.

use std::time::Duration;

use celeryshore_kernel::StageKind;
use celeryshore_model::Version;

use crate::support::FleetRules;
use crate::support::Simulation;

#[test]
fn learn_from_peers() {
    let rules = FleetRules::new(3, 8);
    let mut sim = Simulation::settled(&rules, 31);
    let version = sim.publish(&rules.revision(2));
    sim.run_for(Duration::from_secs(3));
    sim.source.is_down = true;
    sim.kill(5);
    sim.run_for(Duration::from_secs(1));
    sim.restart(5);
    let took = sim.run_until(Duration::from_secs(5), |s| s.has_converged(version));
    assert!(took.is_some(), "{took:?}");
    assert_eq!(sim.nodes[5].configured[0].1, version);
}

#[test]
fn isolated_restart() {
    let rules = FleetRules::new(3, 1);
    let mut sim = Simulation::settled(&rules, 32);
    sim.kill(0);
    sim.net.isolated_zones.insert(FleetRules::zone(0));
    sim.restart(0);
    sim.run_for(Duration::from_mins(1));
    assert_eq!(sim.nodes[0].kernel.fleet.stage(), StageKind::Learning);
    assert_eq!(sim.nodes[0].effective_version(), Version::default());
    sim.net.isolated_zones.clear();
    let version = sim.newest_version();
    let took = sim.run_until(Duration::from_secs(5), |s| s.has_converged(version));
    assert!(took.is_some(), "{took:?}");
}

#[test]
fn single_node() {
    let rules = FleetRules::new(1, 1);
    let mut sim = Simulation::start(&rules, 33);
    let version = sim.version_of(&rules);
    let took = sim.run_until(Duration::from_secs(15), |s| s.has_converged(version));
    assert!(took.is_some());
}

#[test]
fn whole_fleet_restart() {
    let rules = FleetRules::new(3, 8);
    let mut sim = Simulation::settled(&rules, 34);
    for i in 0..rules.nodes() {
        sim.kill(i);
    }
    sim.run_for(Duration::from_secs(1));
    for i in 0..rules.nodes() {
        sim.restart(i);
    }
    let version = sim.version_of(&rules);
    let took = sim.run_until(Duration::from_secs(15), |s| s.has_converged(version));
    assert!(took.is_some());
}

#[test]
fn start_without_source() {
    let rules = FleetRules::new(3, 8);
    let mut sim = Simulation::start(&rules, 35);
    sim.source.is_down = true;
    sim.run_for(Duration::from_mins(1));
    assert_eq!(sim.newest_version(), Version::default());
    sim.source.is_down = false;
    let version = sim.version_of(&rules);
    let took = sim.run_until(Duration::from_secs(15), |s| s.has_converged(version));
    assert!(took.is_some());
}

/// Nodes that start when a partition ends do not take the old version that the
/// isolated zone still has, nor accept it from each other.
#[test]
fn outdated_peers() {
    for seed in 0..60 {
        let rules = FleetRules::new(3, 3);
        let mut sim = Simulation::settled(&rules, seed);
        sim.net.isolated_zones.insert(FleetRules::zone(1));
        sim.net.zones_without_source.insert(FleetRules::zone(1));
        let version = sim.publish(&rules.revision(2));
        sim.run_for(Duration::from_secs(3));
        sim.seeds = vec![3, 4, 6];
        (6..9).for_each(|i| sim.kill(i));
        // The end of the partition varies within the time between two heartbeats.
        sim.run_for(Duration::from_millis(3_000 + seed * 17 % 500));
        sim.net.isolated_zones.clear();
        (6..9).for_each(|i| sim.restart(i));
        sim.run_for(Duration::from_secs(5));
        for i in 6..9 {
            assert_eq!(sim.nodes[i].configured[0].1, version, "seed {seed}");
        }
    }
}
