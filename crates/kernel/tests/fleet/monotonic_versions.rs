//! No node returns to an older version.
//!
//! Every simulated node asserts that each configuration has a higher version than
//! the one before.

use std::time::Duration;

use bytes::Bytes;
use celeryshore_kernel::Report;
use celeryshore_model::Index;

use crate::support::FleetRules;
use crate::support::PollingFleet;
use crate::support::Simulation;

#[test]
fn reordered_updates() {
    let rules = FleetRules::new(3, 8);
    let mut sim = Simulation::settled(&rules, 11);
    sim.net.jitter = Duration::from_secs(2);
    sim.net.duplicate_rate = 0.3;
    sim.net.loss_rate = 0.1;
    for revision in 2..12 {
        sim.publish(&rules.revision(revision));
        sim.run_for(Duration::from_millis(700));
    }
    sim.net.jitter = Duration::from_millis(1);
    let version = sim.publish(&rules.revision(99));
    let took = sim.run_until(Duration::from_secs(5), |s| s.has_converged(version));
    assert!(took.is_some(), "{took:?}");
}

#[test]
fn older_source() {
    let rules = FleetRules::new(3, 8);
    let mut sim = Simulation::settled(&rules, 12);
    let old = (sim.source.index, sim.source.value.clone());
    let version = sim.publish(&rules.revision(2));
    sim.run_for(Duration::from_secs(3));
    (sim.source.index, sim.source.value) = old.clone();
    sim.answer_watches();
    let victim = sim.readers()[0];
    sim.kill(victim);
    sim.run_for(Duration::from_secs(1));
    sim.restart(victim);
    sim.run_for(Duration::from_secs(15));
    assert!(sim.has_converged(version));
    assert_eq!(sim.nodes[victim].configured[0].1, version);
    let is_reported = |r: &(_, Report)| matches!(r.1, Report::StaleSource { .. });
    assert!(sim.nodes.iter().any(|n| n.reports.iter().any(is_reported)));

    let mut polling = PollingFleet::new(rules.nodes(), 12);
    let new = rules.revision(2).to_bytes();
    polling.run_to(sim.now, Some((Index(old.0.0 + 1), &new)));
    let later = sim.now + Duration::from_secs(2);
    polling.run_to(later, Some((old.0, &old.1)));
    assert_eq!(polling.regressed_nodes(), rules.nodes());
}

#[test]
fn restored_source() {
    let mut rules = FleetRules::new(3, 8);
    let mut sim = Simulation::settled(&rules, 13);
    sim.source.index = Index(40);
    sim.publish(&rules.revision(2));
    sim.run_for(Duration::from_secs(3));
    rules.epoch = 2;
    sim.source.index = Index(3);
    let version = sim.publish(&rules);
    let took = sim.run_until(Duration::from_secs(10), |s| s.has_converged(version));
    assert!(took.is_some(), "{took:?}");
}

#[test]
fn invalid_version() {
    let rules = FleetRules::new(3, 8);
    let mut sim = Simulation::settled(&rules, 14);
    let version = sim.newest_version();
    let mut invalid = rules.revision(2);
    invalid.is_invalid = true;
    sim.source.publish(invalid.to_bytes());
    sim.answer_watches();
    sim.run_for(Duration::from_secs(5));
    assert!(sim.nodes.iter().all(|n| n.effective_version() == version));
    sim.source
        .publish(Bytes::from_static(b"epoch 1  # operations\nservi"));
    sim.answer_watches();
    sim.run_for(Duration::from_secs(5));
    assert!(sim.nodes.iter().all(|n| n.effective_version() == version));
    let valid = sim.publish(&rules.revision(3));
    let took = sim.run_until(Duration::from_secs(5), |s| s.has_converged(valid));
    assert!(took.is_some(), "{took:?}");
}

#[test]
fn rolling_restarts() {
    let rules = FleetRules::new(3, 8);
    let mut sim = Simulation::settled(&rules, 15);
    let mut rng = fastrand::Rng::with_seed(15);
    for revision in 2..20 {
        let version = sim.publish(&rules.revision(revision));
        sim.run_for(Duration::from_secs(3));
        assert!(sim.has_converged(version));
        let victim = rng.usize(..rules.nodes());
        sim.kill(victim);
        sim.run_for(Duration::from_millis(rng.u64(..2_000)));
        sim.source.is_down = rng.bool();
        sim.restart(victim);
        sim.run_for(Duration::from_secs(4));
        assert_eq!(sim.nodes[victim].configured[0].1, version);
        sim.source.is_down = false;
        sim.run_for(Duration::from_secs(2));
    }
}
