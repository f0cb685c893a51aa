//! Few nodes of each zone read the platform, and others take over in seconds.

use std::time::Duration;

use crate::support::RulesText;
use crate::support::World;

const SPAN: Duration = Duration::from_secs(30);

/// Less than the time after which a watch is given up anyway.
const DEAF_BOUND: Duration = Duration::from_secs(4);

const TAKE_OVER: Duration = Duration::from_secs(6);

/// Returns the calls on the platform in half a minute of a fleet at rest.
fn idle_calls(per_zone: usize) -> usize {
    let mut world = World::settled(&RulesText::new(3, per_zone), 21);
    world.run_for(SPAN);
    let start = world.now;
    world.run_for(SPAN);
    world.source.calls_between(start, world.now)
}

/// Returns all readers of a zone.
fn readers_of(world: &World, zone: usize) -> Vec<usize> {
    let zone = RulesText::zone(zone);
    let mut readers = world.readers();
    readers.retain(|i| world.nodes[*i].zone == zone);
    readers
}

#[test]
fn two_per_zone() {
    let world = World::settled(&RulesText::new(3, 10), 20);
    for zone in 0..3 {
        assert_eq!(readers_of(&world, zone).len(), 2);
    }
}

#[test]
fn flat_calls() {
    let (small, large) = (idle_calls(5), idle_calls(20));
    assert!(large <= small + 6, "{small} calls, then {large}");
    assert!(large < 100, "{large} calls");
}

#[test]
fn dead_readers() {
    let text = RulesText::new(1, 10);
    let mut world = World::settled(&text, 22);
    for i in world.readers() {
        world.kill(i);
    }
    world.run_for(TAKE_OVER);
    assert_eq!(world.readers().len(), 2);
    let version = world.publish(&text.revision(2));
    let took = world.run_until(Duration::from_secs(5), |w| w.all_hold(version));
    assert!(took.is_some(), "{took:?}");
}

#[test]
fn frozen_readers() {
    let text = RulesText::new(1, 10);
    let mut world = World::settled(&text, 23);
    for i in world.readers() {
        world.freeze(i);
    }
    let version = world.publish(&text.revision(2));
    let took = world.run_until(TAKE_OVER, |w| w.all_hold(version));
    assert!(took.is_some(), "{took:?}");
}

#[test]
fn deaf_readers() {
    let text = RulesText::new(2, 10);
    let mut world = World::settled(&text, 24);
    world.publish(&text.revision(2));
    world.run_for(Duration::from_millis(500));
    let deaf = readers_of(&world, 0);
    for i in &deaf {
        world.nodes[*i].deaf = true;
    }
    let version = world.publish(&text.revision(3));
    let took = world.run_until(Duration::from_secs(5), |w| w.all_hold(version));
    assert!(took.is_some(), "{took:?}");
    let took = world.run_until(DEAF_BOUND, |w| {
        let now = readers_of(w, 0);
        now.len() == 2 && deaf.iter().all(|i| !now.contains(i))
    });
    assert!(took.is_some());
}

#[test]
fn cut_readers() {
    let text = RulesText::new(2, 10);
    let mut world = World::settled(&text, 25);
    world.net.cut_from_source.insert(RulesText::zone(0));
    world.run_for(SPAN);
    let version = world.publish(&text.revision(2));
    let took = world.run_until(Duration::from_secs(5), |w| w.all_hold(version));
    assert!(took.is_some(), "{took:?}");
}

#[test]
fn reconnect_storm() {
    let text = RulesText::new(3, 30);
    let mut world = World::settled(&text, 26);
    let version = world.newest();
    let start = world.now;
    let victims: Vec<_> = (0..text.nodes()).filter(|i| i % 3 == 0).collect();
    for i in &victims {
        world.kill(*i);
    }
    world.run_for(Duration::from_secs(1));
    for i in &victims {
        world.restart(*i);
    }
    let took = world.run_until(Duration::from_secs(5), |w| w.all_hold(version));
    assert!(took.is_some(), "{took:?}");
    world.run_for(Duration::from_secs(4));
    let calls = world.source.calls_between(start, world.now);
    assert!(calls < 60, "{calls} calls");
}

#[test]
fn long_outage() {
    let text = RulesText::new(3, 30);
    let mut world = World::settled(&text, 27);
    world.source.down = true;
    let start = world.now;
    world.run_for(Duration::from_mins(2));
    let calls = world.source.calls_between(start, world.now);
    assert!(calls < 120 * 10, "{calls} calls in two minutes");
    let version = world.publish(&text.revision(2));
    world.source.down = false;
    let took = world.run_until(Duration::from_secs(5), |w| w.all_hold(version));
    assert!(took.is_some(), "{took:?}");
}
