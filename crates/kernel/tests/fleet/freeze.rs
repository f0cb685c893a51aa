//! A process that was paused does not go on under an old view.

use std::time::Duration;

use celeryshore_kernel::FleetEvent;
use celeryshore_kernel::Report;
use celeryshore_kernel::StageKind;

use crate::support::RulesText;
use crate::support::World;

const VICTIM: usize = 4;

#[test]
fn three_versions() {
    let text = RulesText::new(3, 8);
    let mut world = World::settled(&text, 91);
    world.freeze(VICTIM);
    for revision in 2..5 {
        world.publish(&text.revision(revision));
        world.run_for(Duration::from_secs(4));
    }
    let version = world.newest();
    world.thaw(VICTIM);
    assert_eq!(world.nodes[VICTIM].kernel.fleet.stage(), StageKind::Stale);
    let took = world.run_until(Duration::from_secs(2), |w| {
        w.nodes[VICTIM].kernel.fleet.stage() == StageKind::Fresh
    });
    assert!(took.is_some());
    assert_eq!(world.nodes[VICTIM].in_force(), version);
    let reports = &world.nodes[VICTIM].reports;
    assert!(reports.iter().any(|r| matches!(r.1, Report::Frozen { .. })));
}

#[test]
fn no_wrong_suspicions() {
    let text = RulesText::new(3, 8);
    let mut world = World::settled(&text, 92);
    world.freeze(VICTIM);
    world.run_for(Duration::from_secs(10));
    world.thaw(VICTIM);
    let woken = world.now;
    world.run_for(Duration::from_secs(5));
    let members = &world.nodes[VICTIM].members;
    assert!(members.iter().all(|m| m.0 < woken), "{members:?}");
}

#[test]
fn isolated_wake() {
    let text = RulesText::new(3, 1);
    let mut world = World::settled(&text, 93);
    world.net.cut.insert(RulesText::zone(0));
    world.freeze(0);
    world.run_for(Duration::from_secs(10));
    world.thaw(0);
    assert_eq!(world.nodes[0].kernel.fleet.stage(), StageKind::Stale);
    world.run_for(Duration::from_secs(8));
    assert_eq!(world.nodes[0].kernel.fleet.stage(), StageKind::Fresh);
}

#[test]
fn catch_up() {
    let text = RulesText::new(3, 8);
    let mut world = World::settled(&text, 94);
    world.net.loss = 1.0;
    let version = world.publish(&text.revision(2));
    world.run_for(Duration::from_millis(200));
    let (reader, behind) = (world.readers()[0], 23);
    assert_eq!(world.nodes[reader].in_force(), version);
    let from = RulesText::vm(reader);
    world.handle(behind, FleetEvent::CatchUp { version, from });
    world.run_for(Duration::from_millis(50));
    assert_eq!(world.nodes[behind].in_force(), version);
}
