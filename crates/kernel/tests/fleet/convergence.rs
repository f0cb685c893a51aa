//! A good version is in force everywhere within seconds.

use std::time::Duration;

use crate::support::NaiveFleet;
use crate::support::RulesText;
use crate::support::World;

const BOUND: Duration = Duration::from_secs(5);

/// Bound for a fleet at rest; heartbeats alone take longer.
const SOON: Duration = Duration::from_millis(500);

#[test]
fn cold_start() {
    let text = RulesText::new(4, 15);
    let mut world = World::start(&text, 1);
    let version = world.published(&text);
    let took = world.run_until(Duration::from_secs(15), |w| w.all_hold(version));
    assert!(took.is_some());
}

#[test]
fn one_change() {
    let text = RulesText::new(4, 15);
    let mut world = World::settled(&text, 2);
    let version = world.publish(&text.revision(2));
    let took = world.run_until(BOUND, |w| w.all_hold(version));
    assert!(took.is_some_and(|t| t < SOON), "{took:?}");
}

#[test]
fn lossy_network() {
    let text = RulesText::new(4, 15);
    let mut world = World::settled(&text, 3);
    world.net.loss = 0.2;
    world.net.doubled = 0.2;
    world.net.jitter = Duration::from_millis(50);
    let version = world.publish(&text.revision(2));
    let took = world.run_until(BOUND, |w| w.all_hold(version));
    assert!(took.is_some(), "{took:?}");
}

#[test]
fn quick_changes() {
    let text = RulesText::new(4, 15);
    let mut world = World::settled(&text, 4);
    world.publish(&text.revision(2));
    world.run_for(Duration::from_millis(400));
    world.publish(&text);
    world.run_for(Duration::from_millis(400));
    let version = world.publish(&text.revision(2));
    let took = world.run_until(BOUND, |w| w.all_hold(version));
    assert!(took.is_some(), "{took:?}");
}

#[test]
fn cut_zone() {
    let text = RulesText::new(4, 15);
    let mut world = World::settled(&text, 5);
    let zone = RulesText::zone(3);
    world.net.cut.insert(zone.clone());
    world.net.cut_from_source.insert(zone.clone());
    world.run_for(Duration::from_secs(2));
    let version = world.publish(&text.revision(2));
    world.run_for(Duration::from_secs(20));
    let behind = world.nodes.iter().filter(|n| n.in_force() < version);
    assert_eq!(behind.count(), 15);
    world.net.cut.clear();
    let took = world.run_until(BOUND, |w| w.all_hold(version));
    assert!(took.is_some(), "{took:?}");
}

#[test]
fn naive_version() {
    let text = RulesText::new(4, 15);
    let mut world = World::settled(&text, 6);
    let mut naive = NaiveFleet::new(text.nodes(), 6);
    let start = world.now;
    naive.run_to(start, Some((world.source.index, &world.source.value)));
    naive.calls = 0;
    world.run_for(Duration::from_secs(20));
    naive.run_to(world.now, Some((world.source.index, &world.source.value)));
    assert!(naive.all_hold(world.source.index));
    let calls = world.source.calls_between(start, world.now);
    assert!(calls * 10 < naive.calls, "{calls} against {}", naive.calls);
}
