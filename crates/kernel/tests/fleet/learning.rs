//! A node with empty memory learns before it takes callers' work.

use std::time::Duration;

use celeryshore_kernel::StageKind;
use celeryshore_model::Version;

use crate::support::RulesText;
use crate::support::World;

#[test]
fn empty_memory() {
    let text = RulesText::new(3, 8);
    let mut world = World::settled(&text, 31);
    let version = world.publish(&text.revision(2));
    world.run_for(Duration::from_secs(3));
    world.source.down = true;
    world.kill(5);
    world.run_for(Duration::from_secs(1));
    world.restart(5);
    let took = world.run_until(Duration::from_secs(5), |w| w.all_hold(version));
    assert!(took.is_some(), "{took:?}");
    assert_eq!(world.nodes[5].configured[0].1, version);
}

#[test]
fn nobody_reachable() {
    let text = RulesText::new(3, 1);
    let mut world = World::settled(&text, 32);
    world.kill(0);
    world.net.cut.insert(RulesText::zone(0));
    world.restart(0);
    world.run_for(Duration::from_mins(1));
    assert_eq!(world.nodes[0].kernel.fleet.stage(), StageKind::Learning);
    assert_eq!(world.nodes[0].in_force(), Version::default());
    world.net.cut.clear();
    let version = world.newest();
    let took = world.run_until(Duration::from_secs(5), |w| w.all_hold(version));
    assert!(took.is_some(), "{took:?}");
}

#[test]
fn only_node() {
    let text = RulesText::new(1, 1);
    let mut world = World::start(&text, 33);
    let version = world.published(&text);
    let took = world.run_until(Duration::from_secs(15), |w| w.all_hold(version));
    assert!(took.is_some());
}

#[test]
fn whole_fleet() {
    let text = RulesText::new(3, 8);
    let mut world = World::settled(&text, 34);
    for i in 0..text.nodes() {
        world.kill(i);
    }
    world.run_for(Duration::from_secs(1));
    for i in 0..text.nodes() {
        world.restart(i);
    }
    let version = world.published(&text);
    let took = world.run_until(Duration::from_secs(15), |w| w.all_hold(version));
    assert!(took.is_some());
}

#[test]
fn source_down() {
    let text = RulesText::new(3, 8);
    let mut world = World::start(&text, 35);
    world.source.down = true;
    world.run_for(Duration::from_mins(1));
    assert_eq!(world.newest(), Version::default());
    world.source.down = false;
    let version = world.published(&text);
    let took = world.run_until(Duration::from_secs(15), |w| w.all_hold(version));
    assert!(took.is_some());
}

/// A zone that was cut off is behind; nodes that start as the cut heals hear the
/// old version from it, and again from each other.
#[test]
fn echoed_version() {
    for seed in 0..60 {
        let text = RulesText::new(3, 3);
        let mut world = World::settled(&text, seed);
        world.net.cut.insert(RulesText::zone(1));
        world.net.cut_from_source.insert(RulesText::zone(1));
        let version = world.publish(&text.revision(2));
        world.run_for(Duration::from_secs(3));
        world.seeds = vec![3, 4, 6];
        (6..9).for_each(|i| world.kill(i));
        // Any moment between two rounds of heartbeats.
        world.run_for(Duration::from_millis(3_000 + seed * 17 % 500));
        world.net.cut.clear();
        (6..9).for_each(|i| world.restart(i));
        world.run_for(Duration::from_secs(5));
        for i in 6..9 {
            assert_eq!(world.nodes[i].configured[0].1, version, "seed {seed}");
        }
    }
}
