//! A configuration that is published in several parts takes effect only if all
//! parts are complete.

use std::time::Duration;

use bytes::Bytes;

use crate::support::FleetRules;
use crate::support::Simulation;

const PART_BYTES: usize = 1_500;

#[test]
fn all_parts() {
    let rules = FleetRules::new(2, 8);
    let mut sim = Simulation::settled(&rules, 71);
    let next = rules.revision(2);
    sim.source.publish_parts(&next.to_bytes(), PART_BYTES);
    assert!(sim.source.parts.len() > 1);
    sim.answer_watches();
    let version = sim.version_of(&next);
    let took = sim.run_until(Duration::from_secs(5), |s| s.has_converged(version));
    assert!(took.is_some(), "{took:?}");
    let start = sim.now;
    sim.run_for(Duration::from_secs(20));
    let calls = sim.source.calls_between(start, sim.now);
    assert!(calls < 50, "{calls} calls");
}

#[test]
fn missing_part() {
    let rules = FleetRules::new(2, 8);
    let mut sim = Simulation::settled(&rules, 72);
    let old = sim.newest_version();
    let next = rules.revision(2);
    sim.source.publish_parts(&next.to_bytes(), PART_BYTES);
    let (key, part) = sim.source.parts.pop_first().unwrap();
    sim.answer_watches();
    sim.run_for(Duration::from_secs(10));
    assert!(sim.nodes.iter().all(|n| n.effective_version() == old));
    sim.source.parts.insert(key, part);
    let version = sim.version_of(&next);
    let took = sim.run_until(Duration::from_secs(8), |s| s.has_converged(version));
    assert!(took.is_some(), "{took:?}");
}

#[test]
fn truncated_part() {
    let rules = FleetRules::new(2, 8);
    let mut sim = Simulation::settled(&rules, 73);
    let old = sim.newest_version();
    sim.source
        .publish_parts(&rules.revision(2).to_bytes(), PART_BYTES);
    let part = sim.source.parts.values_mut().next().unwrap();
    *part = Bytes::copy_from_slice(&part[..part.len() / 2]);
    sim.answer_watches();
    sim.run_for(Duration::from_secs(10));
    assert!(sim.nodes.iter().all(|n| n.effective_version() == old));
}
