//! The loss of a whole zone is told from single failures.

use std::time::Duration;

use celeryshore_kernel::MemberState;
use celeryshore_kernel::Report;

use crate::support::RulesText;
use crate::support::World;

fn zone_lost(world: &World, node: usize) -> bool {
    let reports = &world.nodes[node].reports;
    reports
        .iter()
        .any(|r| matches!(r.1, Report::ZoneLost { .. }))
}

fn lose_zone(seed: u64) {
    let text = RulesText::new(3, 8);
    let mut world = World::settled(&text, seed);
    world.net.cut.insert(RulesText::zone(2));
    world.run_for(Duration::from_secs(40));
    let told = (0..16).filter(|i| zone_lost(&world, *i)).count();
    assert!(told >= 12, "seed {seed}: {told} nodes");
    let dead: usize = (16..24).map(|i| world.seen_as(i, MemberState::Dead)).sum();
    assert!(dead <= 16, "seed {seed}: {dead} removals of 128");
    world.net.cut.clear();
    let took = world.run_until(Duration::from_secs(5), |w| {
        (0..24).all(|i| w.seen_as(i, MemberState::Alive) == 23)
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
    let text = RulesText::new(3, 8);
    let mut world = World::settled(&text, 52);
    for i in [3, 11, 19] {
        world.kill(i);
    }
    world.run_for(Duration::from_secs(12));
    assert!((0..24).all(|i| !zone_lost(&world, i)));
    for i in [3, 11, 19] {
        assert_eq!(world.seen_as(i, MemberState::Dead), 21);
    }
}

#[test]
fn cut_and_change() {
    let text = RulesText::new(3, 8);
    let mut world = World::settled(&text, 53);
    world.net.cut.insert(RulesText::zone(0));
    world.net.cut.insert(RulesText::zone(2));
    world.run_for(Duration::from_secs(10));
    world.net.cut_from_source.insert(RulesText::zone(2));
    let version = world.publish(&text.revision(2));
    world.run_for(Duration::from_secs(10));
    world.net.cut.clear();
    let took = world.run_until(Duration::from_secs(5), |w| w.all_hold(version));
    assert!(took.is_some(), "{took:?}");
}
