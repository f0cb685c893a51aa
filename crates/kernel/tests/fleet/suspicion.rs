//! Failures are suspected before they count, and may be refuted.

use std::time::Duration;

use celeryshore_kernel::FleetEvent;
use celeryshore_kernel::MemberState;

use crate::support::RulesText;
use crate::support::World;

const VICTIM: usize = 7;

#[test]
fn dead_member() {
    let text = RulesText::new(3, 8);
    let mut world = World::settled(&text, 41);
    world.kill(VICTIM);
    let others = text.nodes() - 1;
    let suspected = world.run_until(Duration::from_secs(5), |w| {
        w.seen_as(VICTIM, MemberState::Alive) == 0
    });
    assert!(suspected.is_some());
    let removed = world.run_until(Duration::from_secs(8), |w| {
        w.seen_as(VICTIM, MemberState::Dead) == others
    });
    assert!(removed.is_some());
    let first = |n: &crate::support::Node| {
        n.members
            .iter()
            .find(|m| m.1 == RulesText::vm(VICTIM))
            .map(|m| m.2)
    };
    let skipped = world
        .nodes
        .iter()
        .filter(|n| first(n) == Some(MemberState::Dead));
    assert!(skipped.count() < others / 4);
}

#[test]
fn wrong_suspicion() {
    let text = RulesText::new(3, 8);
    let mut world = World::settled(&text, 42);
    world.net.loss = 0.15;
    world.run_for(Duration::from_mins(1));
    let dead = world.nodes.iter().flat_map(|n| &n.members);
    let dead = dead.filter(|m| m.2 == MemberState::Dead).count();
    assert_eq!(dead, 0);
    world.net.loss = 0.0;
    world.run_for(Duration::from_secs(10));
    for i in 0..text.nodes() {
        assert_eq!(world.seen_as(i, MemberState::Alive), text.nodes() - 1);
    }
}

#[test]
fn refuted_death() {
    let text = RulesText::new(3, 8);
    let mut world = World::settled(&text, 43);
    world.freeze(VICTIM);
    world.run_for(Duration::from_secs(12));
    assert_eq!(world.seen_as(VICTIM, MemberState::Dead), text.nodes() - 1);
    world.thaw(VICTIM);
    let took = world.run_until(Duration::from_secs(6), |w| {
        w.seen_as(VICTIM, MemberState::Alive) == text.nodes() - 1
    });
    assert!(took.is_some());
}

#[test]
fn new_life() {
    let text = RulesText::new(3, 8);
    let mut world = World::settled(&text, 44);
    world.kill(VICTIM);
    world.run_for(Duration::from_secs(12));
    world.restart(VICTIM);
    let took = world.run_until(Duration::from_secs(6), |w| {
        w.seen_as(VICTIM, MemberState::Alive) == text.nodes() - 1
    });
    assert!(took.is_some());
}

#[test]
fn leaving_member() {
    let text = RulesText::new(3, 8);
    let mut world = World::settled(&text, 45);
    world.handle(VICTIM, FleetEvent::Drain);
    let took = world.run_until(Duration::from_secs(4), |w| {
        w.seen_as(VICTIM, MemberState::Leaving) == text.nodes() - 1
    });
    assert!(took.is_some());
}

#[test]
fn lagging_list() {
    let text = RulesText::new(3, 8);
    let mut world = World::settled(&text, 46);
    world.run_for(Duration::from_secs(40));
    world.source.leaving.push(RulesText::vm(VICTIM));
    let took = world.run_until(Duration::from_secs(15), |w| {
        w.seen_as(VICTIM, MemberState::Leaving) == text.nodes() - 1
    });
    assert!(took.is_some());
    world.source.leaving.clear();
    world.run_for(Duration::from_secs(15));
    assert_eq!(world.seen_as(VICTIM, MemberState::Alive), 0);
    world.kill(VICTIM);
    world.run_for(Duration::from_secs(1));
    world.restart(VICTIM);
    let took = world.run_until(Duration::from_secs(10), |w| {
        w.seen_as(VICTIM, MemberState::Alive) == text.nodes() - 1
    });
    assert!(took.is_some());
}
