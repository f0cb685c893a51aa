//! Nodes distinguish the loss of a complete zone from single failures.

use std::time::Duration;

use celeryshore_kernel::MemberState;
use celeryshore_kernel::Report;

use crate::support::FleetRules;
use crate::support::Simulation;

fn reports_zone_loss(sim: &Simulation, node: usize) -> bool {
    let reports = &sim.nodes[node].reports;
    reports
        .iter()
        .any(|r| matches!(r.1, Report::ZoneLost { .. }))
}

fn lose_zone(seed: u64) {
    let rules = FleetRules::new(3, 8);
    let mut sim = Simulation::settled(&rules, seed);
    sim.net.isolated_zones.insert(FleetRules::zone(2));
    sim.run_for(Duration::from_secs(40));
    let reporters = (0..16).filter(|i| reports_zone_loss(&sim, *i)).count();
    assert!(reporters >= 12, "seed {seed}: {reporters} nodes");
    let dead: usize = (16..24)
        .map(|i| sim.count_seeing(i, MemberState::Dead))
        .sum();
    assert!(dead <= 16, "seed {seed}: {dead} removals of 128");
    sim.net.isolated_zones.clear();
    let took = sim.run_until(Duration::from_secs(5), |s| {
        (0..24).all(|i| s.count_seeing(i, MemberState::Alive) == 23)
    });
    assert!(took.is_some(), "seed {seed}: suspects after 5 s");
}

#[test]
fn whole_zone() {
    for seed in [19, 30, 51, 52, 58] {
        lose_zone(seed);
    }
}

#[test]
fn single_failures() {
    let rules = FleetRules::new(3, 8);
    let mut sim = Simulation::settled(&rules, 52);
    for i in [3, 11, 19] {
        sim.kill(i);
    }
    sim.run_for(Duration::from_secs(12));
    assert!((0..24).all(|i| !reports_zone_loss(&sim, i)));
    for i in [3, 11, 19] {
        assert_eq!(sim.count_seeing(i, MemberState::Dead), 21);
    }
}

#[test]
fn change_during_partition() {
    let rules = FleetRules::new(3, 8);
    let mut sim = Simulation::settled(&rules, 53);
    sim.net.isolated_zones.insert(FleetRules::zone(0));
    sim.net.isolated_zones.insert(FleetRules::zone(2));
    sim.run_for(Duration::from_secs(10));
    sim.net.zones_without_source.insert(FleetRules::zone(2));
    let version = sim.publish(&rules.revision(2));
    sim.run_for(Duration::from_secs(10));
    sim.net.isolated_zones.clear();
    let took = sim.run_until(Duration::from_secs(5), |s| s.has_converged(version));
    assert!(took.is_some(), "{took:?}");
}
