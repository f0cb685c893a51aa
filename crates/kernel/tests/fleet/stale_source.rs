//! The platform is down, stale or flapping, and the fleet says so.

use std::time::Duration;

use crate::support::RulesText;
use crate::support::World;

#[test]
fn view_age() {
    let text = RulesText::new(3, 8);
    let mut world = World::settled(&text, 81);
    let age = |w: &World, i: usize| w.nodes[i].kernel.fleet.view_age(w.now).unwrap();
    assert!((0..24).all(|i| age(&world, i) < Duration::from_secs(12)));
    world.source.down = true;
    world.run_for(Duration::from_secs(100));
    assert!((0..24).all(|i| age(&world, i) > Duration::from_secs(95)));
    world.source.down = false;
    world.run_for(Duration::from_secs(15));
    assert!((0..24).all(|i| age(&world, i) < Duration::from_secs(15)));
}

#[test]
fn flapping_source() {
    let text = RulesText::new(3, 8);
    let mut world = World::settled(&text, 82);
    let start = world.now;
    for _ in 0..30 {
        world.source.down = !world.source.down;
        world.run_for(Duration::from_secs(1));
    }
    let calls = world.source.calls_between(start, world.now);
    assert!(calls < 300, "{calls} calls in 30 s");
    world.source.down = false;
    let version = world.publish(&text.revision(2));
    let took = world.run_until(Duration::from_secs(5), |w| w.all_hold(version));
    assert!(took.is_some(), "{took:?}");
}

#[test]
fn outage_and_cut() {
    let text = RulesText::new(3, 8);
    let mut world = World::settled(&text, 83);
    world.source.down = true;
    world.net.cut.insert(RulesText::zone(1));
    world.run_for(Duration::from_secs(30));
    let version = world.publish(&text.revision(2));
    world.source.down = false;
    world.run_for(Duration::from_secs(6));
    world.net.cut.clear();
    let took = world.run_until(Duration::from_secs(5), |w| w.all_hold(version));
    assert!(took.is_some(), "{took:?}");
}

#[test]
fn older_answers() {
    let text = RulesText::new(3, 8);
    let mut world = World::settled(&text, 84);
    let old = (world.source.index, world.source.value.clone());
    let version = world.publish(&text.revision(2));
    world.run_for(Duration::from_secs(5));
    (world.source.index, world.source.value) = old;
    world.answer_watches();
    world.run_for(Duration::from_secs(40));
    assert!(world.all_hold(version));
    for node in &world.nodes {
        let age = node.kernel.fleet.view_age(world.now).unwrap();
        assert!(age > Duration::from_secs(35), "{age:?}");
    }
}
