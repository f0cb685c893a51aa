//! The platform is unavailable, flapping or returns old data. Nodes report the age
//! of their view and limit their calls.

use std::time::Duration;

use crate::support::FleetRules;
use crate::support::Simulation;

#[test]
fn view_age() {
    let rules = FleetRules::new(3, 8);
    let mut sim = Simulation::settled(&rules, 81);
    let age = |s: &Simulation, i: usize| s.nodes[i].kernel.fleet.view_age(s.now).unwrap();
    assert!((0..24).all(|i| age(&sim, i) < Duration::from_secs(12)));
    sim.source.is_down = true;
    sim.run_for(Duration::from_secs(100));
    assert!((0..24).all(|i| age(&sim, i) > Duration::from_secs(95)));
    sim.source.is_down = false;
    sim.run_for(Duration::from_secs(15));
    assert!((0..24).all(|i| age(&sim, i) < Duration::from_secs(15)));
}

#[test]
fn flapping_source() {
    let rules = FleetRules::new(3, 8);
    let mut sim = Simulation::settled(&rules, 82);
    let start = sim.now;
    for _ in 0..30 {
        sim.source.is_down = !sim.source.is_down;
        sim.run_for(Duration::from_secs(1));
    }
    let calls = sim.source.calls_between(start, sim.now);
    assert!(calls < 300, "{calls} calls in 30 s");
    sim.source.is_down = false;
    let version = sim.publish(&rules.revision(2));
    let took = sim.run_until(Duration::from_secs(5), |s| s.has_converged(version));
    assert!(took.is_some(), "{took:?}");
}

#[test]
fn outage_and_partition() {
    let rules = FleetRules::new(3, 8);
    let mut sim = Simulation::settled(&rules, 83);
    sim.source.is_down = true;
    sim.net.isolated_zones.insert(FleetRules::zone(1));
    sim.run_for(Duration::from_secs(30));
    let version = sim.publish(&rules.revision(2));
    sim.source.is_down = false;
    sim.run_for(Duration::from_secs(6));
    sim.net.isolated_zones.clear();
    let took = sim.run_until(Duration::from_secs(5), |s| s.has_converged(version));
    assert!(took.is_some(), "{took:?}");
}

#[test]
fn older_responses() {
    let rules = FleetRules::new(3, 8);
    let mut sim = Simulation::settled(&rules, 84);
    let old = (sim.source.index, sim.source.value.clone());
    let version = sim.publish(&rules.revision(2));
    sim.run_for(Duration::from_secs(5));
    (sim.source.index, sim.source.value) = old;
    sim.answer_watches();
    sim.run_for(Duration::from_secs(40));
    assert!(sim.has_converged(version));
    for node in &sim.nodes {
        let age = node.kernel.fleet.view_age(sim.now).unwrap();
        assert!(age > Duration::from_secs(35), "{age:?}");
    }
}
