//! A few nodes in each zone read the platform; other nodes replace failed readers
//! within seconds.

use std::time::Duration;

use crate::support::FleetRules;
use crate::support::Simulation;

const OBSERVATION_TIME: Duration = Duration::from_secs(30);

/// Less than the timeout after which a node abandons a watch in any case.
const STALLED_READ_BOUND: Duration = Duration::from_secs(4);

/// Bound for the replacement of failed readers.
const TAKEOVER_BOUND: Duration = Duration::from_secs(6);

/// Returns the number of calls to the platform that an idle fleet makes in 30 s.
fn idle_calls(vms_per_zone: usize) -> usize {
    let mut sim = Simulation::settled(&FleetRules::new(3, vms_per_zone), 21);
    sim.run_for(OBSERVATION_TIME);
    let start = sim.now;
    sim.run_for(OBSERVATION_TIME);
    sim.source.calls_between(start, sim.now)
}

/// Returns the indexes of all readers of a zone.
fn readers_of(sim: &Simulation, zone: usize) -> Vec<usize> {
    let zone = FleetRules::zone(zone);
    let mut readers = sim.readers();
    readers.retain(|i| sim.nodes[*i].zone == zone);
    readers
}

#[test]
fn two_per_zone() {
    let sim = Simulation::settled(&FleetRules::new(3, 10), 20);
    for zone in 0..3 {
        assert_eq!(readers_of(&sim, zone).len(), 2);
    }
}

#[test]
fn constant_call_rate() {
    let (small, large) = (idle_calls(5), idle_calls(20));
    assert!(large <= small + 6, "{small} calls, then {large}");
    assert!(large < 100, "{large} calls");
}

#[test]
fn dead_readers() {
    let rules = FleetRules::new(1, 10);
    let mut sim = Simulation::settled(&rules, 22);
    for i in sim.readers() {
        sim.kill(i);
    }
    sim.run_for(TAKEOVER_BOUND);
    assert_eq!(sim.readers().len(), 2);
    let version = sim.publish(&rules.revision(2));
    let took = sim.run_until(Duration::from_secs(5), |s| s.has_converged(version));
    assert!(took.is_some(), "{took:?}");
}

#[test]
fn frozen_readers() {
    let rules = FleetRules::new(1, 10);
    let mut sim = Simulation::settled(&rules, 23);
    for i in sim.readers() {
        sim.freeze(i);
    }
    let version = sim.publish(&rules.revision(2));
    let took = sim.run_until(TAKEOVER_BOUND, |s| s.has_converged(version));
    assert!(took.is_some(), "{took:?}");
}

#[test]
fn stalled_reads() {
    let rules = FleetRules::new(2, 10);
    let mut sim = Simulation::settled(&rules, 24);
    sim.publish(&rules.revision(2));
    sim.run_for(Duration::from_millis(500));
    let stalled = readers_of(&sim, 0);
    for i in &stalled {
        sim.nodes[*i].has_stalled_reads = true;
    }
    let version = sim.publish(&rules.revision(3));
    let took = sim.run_until(Duration::from_secs(5), |s| s.has_converged(version));
    assert!(took.is_some(), "{took:?}");
    let took = sim.run_until(STALLED_READ_BOUND, |s| {
        let now = readers_of(s, 0);
        now.len() == 2 && stalled.iter().all(|i| !now.contains(i))
    });
    assert!(took.is_some());
}

#[test]
fn isolated_readers() {
    let rules = FleetRules::new(2, 10);
    let mut sim = Simulation::settled(&rules, 25);
    sim.net.zones_without_source.insert(FleetRules::zone(0));
    sim.run_for(OBSERVATION_TIME);
    let version = sim.publish(&rules.revision(2));
    let took = sim.run_until(Duration::from_secs(5), |s| s.has_converged(version));
    assert!(took.is_some(), "{took:?}");
}

#[test]
fn reconnect_storm() {
    let rules = FleetRules::new(3, 30);
    let mut sim = Simulation::settled(&rules, 26);
    let version = sim.newest_version();
    let start = sim.now;
    let victims: Vec<_> = (0..rules.nodes()).filter(|i| i % 3 == 0).collect();
    for i in &victims {
        sim.kill(*i);
    }
    sim.run_for(Duration::from_secs(1));
    for i in &victims {
        sim.restart(*i);
    }
    let took = sim.run_until(Duration::from_secs(5), |s| s.has_converged(version));
    assert!(took.is_some(), "{took:?}");
    sim.run_for(Duration::from_secs(4));
    let calls = sim.source.calls_between(start, sim.now);
    assert!(calls < 60, "{calls} calls");
}

#[test]
fn long_outage() {
    let rules = FleetRules::new(3, 30);
    let mut sim = Simulation::settled(&rules, 27);
    sim.source.is_down = true;
    let start = sim.now;
    sim.run_for(Duration::from_mins(2));
    let calls = sim.source.calls_between(start, sim.now);
    assert!(calls < 120 * 10, "{calls} calls in two minutes");
    let version = sim.publish(&rules.revision(2));
    sim.source.is_down = false;
    let took = sim.run_until(Duration::from_secs(5), |s| s.has_converged(version));
    assert!(took.is_some(), "{took:?}");
}
