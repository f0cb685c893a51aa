//! No node goes back to an older version.
//!
//! Every node of the fakes checks at each change that its version grows.

use std::time::Duration;

use bytes::Bytes;
use celeryshore_kernel::Report;
use celeryshore_model::Index;

use crate::support::NaiveFleet;
use crate::support::RulesText;
use crate::support::World;

#[test]
fn crossed_updates() {
    let text = RulesText::new(3, 8);
    let mut world = World::settled(&text, 11);
    world.net.jitter = Duration::from_secs(2);
    world.net.doubled = 0.3;
    world.net.loss = 0.1;
    for revision in 2..12 {
        world.publish(&text.revision(revision));
        world.run_for(Duration::from_millis(700));
    }
    world.net.jitter = Duration::from_millis(1);
    let version = world.publish(&text.revision(99));
    let took = world.run_until(Duration::from_secs(5), |w| w.all_hold(version));
    assert!(took.is_some(), "{took:?}");
}

#[test]
fn older_source() {
    let text = RulesText::new(3, 8);
    let mut world = World::settled(&text, 12);
    let old = (world.source.index, world.source.value.clone());
    let version = world.publish(&text.revision(2));
    world.run_for(Duration::from_secs(3));
    (world.source.index, world.source.value) = old.clone();
    world.answer_watches();
    let victim = world.readers()[0];
    world.kill(victim);
    world.run_for(Duration::from_secs(1));
    world.restart(victim);
    world.run_for(Duration::from_secs(15));
    assert!(world.all_hold(version));
    assert_eq!(world.nodes[victim].configured[0].1, version);
    let told = |r: &(_, Report)| matches!(r.1, Report::SourceWentBack { .. });
    assert!(world.nodes.iter().any(|n| n.reports.iter().any(told)));

    let mut naive = NaiveFleet::new(text.nodes(), 12);
    let new = text.revision(2).to_bytes();
    naive.run_to(world.now, Some((Index(old.0.0 + 1), &new)));
    let later = world.now + Duration::from_secs(2);
    naive.run_to(later, Some((old.0, &old.1)));
    assert_eq!(naive.went_back(), text.nodes());
}

#[test]
fn restored_source() {
    let mut text = RulesText::new(3, 8);
    let mut world = World::settled(&text, 13);
    world.source.index = Index(40);
    world.publish(&text.revision(2));
    world.run_for(Duration::from_secs(3));
    text.epoch = 2;
    world.source.index = Index(3);
    let version = world.publish(&text);
    let took = world.run_until(Duration::from_secs(10), |w| w.all_hold(version));
    assert!(took.is_some(), "{took:?}");
}

#[test]
fn bad_version() {
    let text = RulesText::new(3, 8);
    let mut world = World::settled(&text, 14);
    let version = world.newest();
    let mut bad = text.revision(2);
    bad.bad = true;
    world.source.publish(bad.to_bytes());
    world.answer_watches();
    world.run_for(Duration::from_secs(5));
    assert!(world.nodes.iter().all(|n| n.in_force() == version));
    world
        .source
        .publish(Bytes::from_static(b"epoch 1  # operations\nservi"));
    world.answer_watches();
    world.run_for(Duration::from_secs(5));
    assert!(world.nodes.iter().all(|n| n.in_force() == version));
    let good = world.publish(&text.revision(3));
    let took = world.run_until(Duration::from_secs(5), |w| w.all_hold(good));
    assert!(took.is_some(), "{took:?}");
}

#[test]
fn rolling_restarts() {
    let text = RulesText::new(3, 8);
    let mut world = World::settled(&text, 15);
    let mut rng = fastrand::Rng::with_seed(15);
    for revision in 2..20 {
        let version = world.publish(&text.revision(revision));
        world.run_for(Duration::from_secs(3));
        assert!(world.all_hold(version));
        let victim = rng.usize(..text.nodes());
        world.kill(victim);
        world.run_for(Duration::from_millis(rng.u64(..2_000)));
        world.source.down = rng.bool();
        world.restart(victim);
        world.run_for(Duration::from_secs(4));
        assert_eq!(world.nodes[victim].configured[0].1, version);
        world.source.down = false;
        world.run_for(Duration::from_secs(2));
    }
}
