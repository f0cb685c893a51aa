//! A configuration in parts is in force whole or not at all.

use std::time::Duration;

use bytes::Bytes;

use crate::support::RulesText;
use crate::support::World;

const PART_BYTES: usize = 1_500;

#[test]
fn all_parts() {
    let text = RulesText::new(2, 8);
    let mut world = World::settled(&text, 71);
    let next = text.revision(2);
    world.source.publish_parts(&next.to_bytes(), PART_BYTES);
    assert!(world.source.parts.len() > 1);
    world.answer_watches();
    let version = world.published(&next);
    let took = world.run_until(Duration::from_secs(5), |w| w.all_hold(version));
    assert!(took.is_some(), "{took:?}");
    let start = world.now;
    world.run_for(Duration::from_secs(20));
    let calls = world.source.calls_between(start, world.now);
    assert!(calls < 50, "{calls} calls");
}

#[test]
fn missing_part() {
    let text = RulesText::new(2, 8);
    let mut world = World::settled(&text, 72);
    let old = world.newest();
    let next = text.revision(2);
    world.source.publish_parts(&next.to_bytes(), PART_BYTES);
    let (key, part) = world.source.parts.pop_first().unwrap();
    world.answer_watches();
    world.run_for(Duration::from_secs(10));
    assert!(world.nodes.iter().all(|n| n.in_force() == old));
    world.source.parts.insert(key, part);
    let version = world.published(&next);
    let took = world.run_until(Duration::from_secs(8), |w| w.all_hold(version));
    assert!(took.is_some(), "{took:?}");
}

#[test]
fn torn_part() {
    let text = RulesText::new(2, 8);
    let mut world = World::settled(&text, 73);
    let old = world.newest();
    world
        .source
        .publish_parts(&text.revision(2).to_bytes(), PART_BYTES);
    let part = world.source.parts.values_mut().next().unwrap();
    *part = Bytes::copy_from_slice(&part[..part.len() / 2]);
    world.answer_watches();
    world.run_for(Duration::from_secs(10));
    assert!(world.nodes.iter().all(|n| n.in_force() == old));
}
