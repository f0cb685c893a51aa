//! A node keeps within its bytes for control, whatever happens.

use std::time::Duration;

use celeryshore_kernel::FleetEvent;
use celeryshore_kernel::InboundPullId;
use celeryshore_kernel::PullRequest;
use celeryshore_kernel::TrafficKind;
use celeryshore_model::Version;

use crate::support::RulesText;
use crate::support::World;

const BYTES_PER_SECOND: u64 = 15 * 1_024;

/// What the limits let a node send at once.
const BURST_BYTES: u64 = (256 + 32) * 1_024;

/// What the limits let a node send of configurations.
const BULK_BYTES_PER_SECOND: u64 = 8 * 1_024;
const BULK_BURST_BYTES: u64 = 256 * 1_024;

/// What the last message of a burst may exceed the limit by.
const MESSAGE_BYTES: u64 = 120 * 1_024;

fn sent(world: &World, i: usize) -> u64 {
    world.nodes[i].datagram_bytes + world.nodes[i].pull_bytes
}

#[test]
fn idle_fleet() {
    let text = RulesText::new(3, 20);
    let mut world = World::settled(&text, 61);
    world.run_for(Duration::from_secs(20));
    let before: Vec<_> = (0..text.nodes()).map(|i| sent(&world, i)).collect();
    world.run_for(Duration::from_secs(20));
    for (i, before) in before.iter().enumerate() {
        let rate = (sent(&world, i) - before) / 20;
        assert!(rate < 3 * 1_024, "{rate} B/s");
    }
}

#[test]
fn busy_fleet() {
    let text = RulesText::new(3, 20);
    let mut world = World::settled(&text, 62);
    let start = world.now;
    let before: Vec<_> = (0..text.nodes()).map(|i| sent(&world, i)).collect();
    for revision in 2..40 {
        for i in (0..text.nodes()).filter(|i| i % 3 == 1) {
            world.kill(i);
        }
        world.publish(&text.revision(revision));
        world.run_for(Duration::from_millis(500));
        for i in (0..text.nodes()).filter(|i| i % 3 == 1) {
            world.restart(i);
        }
        world.run_for(Duration::from_millis(500));
    }
    let span = (world.now - start).as_secs();
    for i in (0..text.nodes()).filter(|i| i % 3 != 1) {
        let bytes = sent(&world, i) - before[i];
        assert!(bytes < BURST_BYTES + span * BYTES_PER_SECOND, "{bytes} B");
    }
    let kind = TrafficKind::PullSnapshot;
    let snapshots: u64 = world
        .nodes
        .iter()
        .map(|n| n.kernel.fleet.traffic(kind).messages)
        .sum();
    assert!(snapshots > 0);
}

#[test]
fn herd_of_joiners() {
    let mut text = RulesText::new(3, 20);
    text.padding = 200 * 1_024;
    let mut world = World::settled(&text, 63);
    let version = world.newest();
    let start = world.now;
    let victims: Vec<_> = (0..text.nodes()).filter(|i| i % 6 != 0).collect();
    let before: Vec<_> = world.nodes.iter().map(|n| n.pull_bytes).collect();
    for i in &victims {
        world.kill(*i);
    }
    world.run_for(Duration::from_secs(1));
    for i in &victims {
        world.restart(*i);
    }
    let took = world.run_until(Duration::from_secs(20), |w| w.all_hold(version));
    assert!(took.is_some());
    let span = (world.now - start).as_secs() + 1;
    for i in (0..text.nodes()).filter(|i| i % 6 == 0) {
        let bytes = world.nodes[i].pull_bytes - before[i];
        let bound = BULK_BURST_BYTES + MESSAGE_BYTES + span * BULK_BYTES_PER_SECOND;
        assert!(bytes < bound, "{bytes} B");
    }
}

#[test]
fn many_pulls() {
    let mut text = RulesText::new(1, 2);
    text.padding = 200 * 1_024;
    let mut world = World::settled(&text, 64);
    let before = world.nodes[0].pull_bytes;
    for i in 0..20 {
        let inbound = InboundPullId(u64::MAX - i);
        let base = Version::default();
        let request = PullRequest { base };
        world.handle(0, FleetEvent::PullReceived { inbound, request });
        world.run_for(Duration::from_millis(100));
    }
    let bytes = world.nodes[0].pull_bytes - before;
    assert!(bytes > 0);
    let bound = BULK_BURST_BYTES + MESSAGE_BYTES + 2 * BULK_BYTES_PER_SECOND;
    assert!(bytes < bound, "{bytes} B");
}
