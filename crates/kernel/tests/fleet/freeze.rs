//! A process that was paused does not continue with an outdated view.

use std::time::Duration;

use celeryshore_kernel::FleetEvent;
use celeryshore_kernel::Report;
use celeryshore_kernel::StageKind;

use crate::support::FleetRules;
use crate::support::Simulation;

const VICTIM: usize = 4;

#[test]
fn missed_versions() {
    let rules = FleetRules::new(3, 8);
    let mut sim = Simulation::settled(&rules, 91);
    sim.freeze(VICTIM);
    for revision in 2..5 {
        sim.publish(&rules.revision(revision));
        sim.run_for(Duration::from_secs(4));
    }
    let version = sim.newest_version();
    sim.unfreeze(VICTIM);
    assert_eq!(sim.nodes[VICTIM].kernel.fleet.stage(), StageKind::Stale);
    let took = sim.run_until(Duration::from_secs(2), |s| {
        s.nodes[VICTIM].kernel.fleet.stage() == StageKind::Fresh
    });
    assert!(took.is_some());
    assert_eq!(sim.nodes[VICTIM].effective_version(), version);
    let reports = &sim.nodes[VICTIM].reports;
    assert!(reports.iter().any(|r| matches!(r.1, Report::Frozen { .. })));
}

#[test]
fn no_wrong_suspicions() {
    let rules = FleetRules::new(3, 8);
    let mut sim = Simulation::settled(&rules, 92);
    sim.freeze(VICTIM);
    sim.run_for(Duration::from_secs(10));
    sim.unfreeze(VICTIM);
    let unfrozen_at = sim.now;
    sim.run_for(Duration::from_secs(5));
    let members = &sim.nodes[VICTIM].members;
    assert!(members.iter().all(|m| m.0 < unfrozen_at), "{members:?}");
}

#[test]
fn isolated_recovery() {
    let rules = FleetRules::new(3, 1);
    let mut sim = Simulation::settled(&rules, 93);
    sim.net.isolated_zones.insert(FleetRules::zone(0));
    sim.freeze(0);
    sim.run_for(Duration::from_secs(10));
    sim.unfreeze(0);
    assert_eq!(sim.nodes[0].kernel.fleet.stage(), StageKind::Stale);
    sim.run_for(Duration::from_secs(8));
    assert_eq!(sim.nodes[0].kernel.fleet.stage(), StageKind::Fresh);
}

#[test]
fn catch_up() {
    let rules = FleetRules::new(3, 8);
    let mut sim = Simulation::settled(&rules, 94);
    sim.net.loss_rate = 1.0;
    let version = sim.publish(&rules.revision(2));
    sim.run_for(Duration::from_millis(200));
    let (reader, behind) = (sim.readers()[0], 23);
    assert_eq!(sim.nodes[reader].effective_version(), version);
    let from = FleetRules::vm(reader);
    sim.handle(behind, FleetEvent::CatchUp { version, from });
    sim.run_for(Duration::from_millis(50));
    assert_eq!(sim.nodes[behind].effective_version(), version);
}
