//! A member is suspected before it is declared dead, and can refute the suspicion.

use std::time::Duration;

use celeryshore_kernel::FleetEvent;
use celeryshore_kernel::MemberState;

use crate::support::FleetRules;
use crate::support::Simulation;

const VICTIM: usize = 7;

#[test]
fn dead_member() {
    let rules = FleetRules::new(3, 8);
    let mut sim = Simulation::settled(&rules, 41);
    sim.kill(VICTIM);
    let others = rules.nodes() - 1;
    let suspected = sim.run_until(Duration::from_secs(5), |s| {
        s.count_seeing(VICTIM, MemberState::Alive) == 0
    });
    assert!(suspected.is_some());
    let removed = sim.run_until(Duration::from_secs(8), |s| {
        s.count_seeing(VICTIM, MemberState::Dead) == others
    });
    assert!(removed.is_some());
    let first_state = |n: &crate::support::Node| {
        n.members
            .iter()
            .find(|m| m.1 == FleetRules::vm(VICTIM))
            .map(|m| m.2)
    };
    let skipped = sim
        .nodes
        .iter()
        .filter(|n| first_state(n) == Some(MemberState::Dead));
    assert!(skipped.count() < others / 4);
}

#[test]
fn wrong_suspicion() {
    let rules = FleetRules::new(3, 8);
    let mut sim = Simulation::settled(&rules, 42);
    sim.net.loss_rate = 0.15;
    sim.run_for(Duration::from_mins(1));
    let dead = sim.nodes.iter().flat_map(|n| &n.members);
    let dead = dead.filter(|m| m.2 == MemberState::Dead).count();
    assert_eq!(dead, 0);
    sim.net.loss_rate = 0.0;
    sim.run_for(Duration::from_secs(10));
    for i in 0..rules.nodes() {
        assert_eq!(sim.count_seeing(i, MemberState::Alive), rules.nodes() - 1);
    }
}

#[test]
fn refuted_death() {
    let rules = FleetRules::new(3, 8);
    let mut sim = Simulation::settled(&rules, 43);
    sim.freeze(VICTIM);
    sim.run_for(Duration::from_secs(12));
    assert_eq!(
        sim.count_seeing(VICTIM, MemberState::Dead),
        rules.nodes() - 1
    );
    sim.unfreeze(VICTIM);
    let took = sim.run_until(Duration::from_secs(6), |s| {
        s.count_seeing(VICTIM, MemberState::Alive) == rules.nodes() - 1
    });
    assert!(took.is_some());
}

#[test]
fn restarted_member() {
    let rules = FleetRules::new(3, 8);
    let mut sim = Simulation::settled(&rules, 44);
    sim.kill(VICTIM);
    sim.run_for(Duration::from_secs(12));
    sim.restart(VICTIM);
    let took = sim.run_until(Duration::from_secs(6), |s| {
        s.count_seeing(VICTIM, MemberState::Alive) == rules.nodes() - 1
    });
    assert!(took.is_some());
}

#[test]
fn leaving_member() {
    let rules = FleetRules::new(3, 8);
    let mut sim = Simulation::settled(&rules, 45);
    sim.handle(VICTIM, FleetEvent::Drain);
    let took = sim.run_until(Duration::from_secs(4), |s| {
        s.count_seeing(VICTIM, MemberState::Leaving) == rules.nodes() - 1
    });
    assert!(took.is_some());
}

#[test]
fn leaving_until_restart() {
    let rules = FleetRules::new(3, 8);
    let mut sim = Simulation::settled(&rules, 46);
    sim.run_for(Duration::from_secs(40));
    sim.source.leaving_vms.push(FleetRules::vm(VICTIM));
    let took = sim.run_until(Duration::from_secs(15), |s| {
        s.count_seeing(VICTIM, MemberState::Leaving) == rules.nodes() - 1
    });
    assert!(took.is_some());
    sim.source.leaving_vms.clear();
    sim.run_for(Duration::from_secs(15));
    assert_eq!(sim.count_seeing(VICTIM, MemberState::Alive), 0);
    sim.kill(VICTIM);
    sim.run_for(Duration::from_secs(1));
    sim.restart(VICTIM);
    let took = sim.run_until(Duration::from_secs(10), |s| {
        s.count_seeing(VICTIM, MemberState::Alive) == rules.nodes() - 1
    });
    assert!(took.is_some());
}
