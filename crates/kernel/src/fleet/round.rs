//! Rounds of heartbeats, missed acknowledgements, and freezes of the process.

use std::net::SocketAddr;
use std::time::Duration;

use celeryshore_model::Now;
use celeryshore_model::Time;
use celeryshore_model::VmName;

use super::Fleet;
use super::event::FleetAction;
use super::event::Report;
use super::member::Member;
use super::member::MemberState;
use super::message::DatagramBody;
use super::message::Sequence;
use super::prober::MissedAck;
use super::stage::StageKind;
use super::stage::Topology;

/// Number of rounds between pings of a member of another zone.
const ROUNDS_PER_OTHER_ZONE_PING: u64 = 4;

/// Number of rounds between pings of a member of a lost zone.
const ROUNDS_PER_LOST_ZONE_PING: u64 = 2;

/// Number of rounds between pings of a seed.
const ROUNDS_PER_SEED_PING: u64 = 16;

/// Mean number of pings that the whole fleet sends to each dead member per
/// round.
const PINGS_PER_DEAD_MEMBER: usize = 4;

/// Number of members that are asked to ping a member that did not answer.
const INDIRECT_PING_PEERS: usize = 2;

/// Number of peers that a node polls for their version while it is learning or
/// after a freeze.
const POLLED_PEERS: usize = 5;

/// Smallest clock jump between two events that counts as a freeze of the
/// process.
const FREEZE_THRESHOLD: Duration = Duration::from_secs(2);

impl Fleet {
    pub(super) fn run_round(&mut self, now: Time) {
        let Some(round) = self.prober.begin_round(now) else {
            return;
        };
        if self.stage() != StageKind::Fresh {
            self.poll_peer_versions(now);
        }
        if let Some(vm) = self.prober.next_in_zone(&mut self.rng) {
            self.ping(&vm, now);
        }
        for vm in self.prober.tracked_suspects(&self.members) {
            self.ping(&vm, now);
        }
        if round.is_multiple_of(ROUNDS_PER_OTHER_ZONE_PING)
            && let Some(vm) = self.prober.next_in_other_zone(&mut self.rng)
        {
            self.ping(&vm, now);
        }
        if round.is_multiple_of(ROUNDS_PER_LOST_ZONE_PING) {
            self.ping_lost_zone(now);
        }
        self.ping_dead(now);
        if round.is_multiple_of(ROUNDS_PER_SEED_PING)
            && let Some(seed) = self.rng.choice(self.cfg.seeds.clone())
        {
            self.ping_address(seed, now);
        }
    }

    /// Pings a member of a lost zone, to notice quickly when the zone answers
    /// again.
    fn ping_lost_zone(&mut self, now: Time) {
        let lost: Vec<_> = self.members.lost_zones().cloned().collect();
        let Some(zone) = self.rng.choice(lost) else {
            return;
        };
        let members = self.members.iter().filter(|(_, m)| m.zone == zone);
        if let Some(vm) = self
            .rng
            .choice(members.map(|(vm, _)| vm).collect::<Vec<_>>())
        {
            self.ping(&vm.clone(), now);
        }
    }

    /// Pings a dead member at random, so that a member that is in fact alive
    /// can refute its death.
    ///
    /// All nodes together ping each dead member a few times per second.
    fn ping_dead(&mut self, now: Time) {
        let members = self.members.len();
        let dead = self.members.iter().filter(|(_, m)| m.is_dead());
        let dead: Vec<_> = dead.map(|(vm, _)| vm).collect();
        if self.rng.usize(..members.max(1)) < PINGS_PER_DEAD_MEMBER * dead.len()
            && let Some(vm) = self.rng.choice(dead).cloned()
        {
            self.ping(&vm, now);
        }
    }

    pub(super) fn ping(&mut self, vm: &VmName, now: Time) {
        let Some(peer) = self.members.get(vm).map(|m| m.peer) else {
            return;
        };
        let sequence = self.prober.start_ping(Some(vm.clone()), peer, now);
        let sent = self.send(peer, Some(vm), DatagramBody::Ping(sequence), now);
        if !sent {
            self.prober.forget(sequence);
        }
    }

    fn ping_address(&mut self, peer: SocketAddr, now: Time) {
        let sequence = self.prober.start_ping(None, peer, now);
        self.send(peer, None, DatagramBody::Ping(sequence), now);
    }

    /// Pings several peers to learn their versions.
    pub(super) fn poll_peer_versions(&mut self, now: Time) {
        let seeds = self
            .rng
            .choose_multiple(self.cfg.seeds.clone(), POLLED_PEERS);
        for seed in seeds {
            self.ping_address(seed, now);
        }
        for vm in self.random_members(POLLED_PEERS, |_| true) {
            self.ping(&vm, now);
        }
    }

    /// Returns up to `count` random live members for which `wanted` returns
    /// `true`.
    pub(super) fn random_members(
        &mut self,
        count: usize,
        wanted: impl Fn(&Member) -> bool,
    ) -> Vec<VmName> {
        let live = self
            .members
            .iter()
            .filter(|(_, m)| m.is_alive() && wanted(m))
            .map(|(vm, _)| vm);
        self.rng
            .choose_multiple(live, count)
            .into_iter()
            .cloned()
            .collect()
    }

    pub(super) fn run_timeouts(&mut self, now: Time) {
        for missed in self.prober.missed_acks(now) {
            match missed {
                MissedAck::PingIndirectly(sequence, vm, peer) => {
                    self.ping_indirectly(sequence, &vm, peer, now);
                }
                MissedAck::Suspect(vm) => self.suspect(vm, now),
            }
        }
        self.puller.expire(self.configuration.version(), now);
        if let Some(pull) = self.puller.time_out(now) {
            self.puller.postpone_after_failure(&pull.vm, now);
        }
    }

    fn suspect(&mut self, vm: VmName, now: Time) {
        let is_alive = self.members.get(&vm).is_some_and(Member::is_alive);
        self.members.suspect(&vm, now);
        if is_alive {
            self.prober.track_suspect(vm);
        }
    }

    /// Asks other members to ping a member that did not answer.
    ///
    /// Does nothing for suspects, because they are pinged in every round
    /// already.
    fn ping_indirectly(
        &mut self,
        sequence: Sequence,
        target: &VmName,
        peer: SocketAddr,
        now: Time,
    ) {
        if !self.members.get(target).is_some_and(Member::is_alive) {
            return;
        }
        let zone = self.cfg.zone.clone();
        let relays = self.random_members(INDIRECT_PING_PEERS, |m| m.zone == zone && m.peer != peer);
        for relay in relays {
            let Some(to) = self.members.get(&relay).map(|m| m.peer) else {
                continue;
            };
            let body = DatagramBody::PingRequest {
                sequence,
                target: target.clone(),
                peer,
            };
            self.send(to, Some(&relay), body, now);
        }
    }

    /// Compares the clocks with those of the last event, to detect a freeze of
    /// the process. Called at every event of the process.
    pub fn observe(&mut self, now: Now, actions: &mut Vec<FleetAction>) {
        let jump = (now.mono - self.observed.mono).max(now.wall - self.observed.wall);
        self.observed = now;
        if jump >= FREEZE_THRESHOLD {
            self.recover_from_freeze(jump, now.mono);
            actions.append(&mut self.out);
        }
    }

    /// Drops the state that a freeze invalidated, and polls peers for their
    /// versions.
    fn recover_from_freeze(&mut self, jump: Duration, now: Time) {
        self.out.push(FleetAction::Report(Report::Frozen { jump }));
        self.prober.reset(now);
        self.puller.reset();
        self.members.reset(now);
        self.reader.reset(now);
        let reachable = self.members.len() + self.cfg.seeds.len();
        self.stage.freeze(reachable.min(POLLED_PEERS), now);
        self.poll_peer_versions(now);
        self.publish_changes(now);
    }

    /// Enters the fresh stage once the version of this node is as new as those
    /// of its peers.
    pub(super) fn advance_stage(&mut self, now: Time) {
        let alone = self.cfg.seeds.is_empty() || self.is_only_member();
        let zones = self.members.zones();
        let topology = Topology { alone, zones };
        let Some(from) = self.stage.advance(self.version(), topology, now) else {
            return;
        };
        self.out.push(FleetAction::Report(Report::Fresh));
        if from == StageKind::Learning
            && let Some(current) = self.configuration.current()
        {
            self.out
                .push(FleetAction::Configured(current.snapshot.clone()));
            self.publish_states();
        }
    }

    /// Reports the member states that were learned before the first
    /// configuration was passed to the driver.
    fn publish_states(&mut self) {
        for (vm, member) in self.members.iter() {
            let state = member.state();
            if state != MemberState::Alive {
                let vm = vm.clone();
                self.out.push(FleetAction::Member { vm, state });
            }
        }
    }

    fn is_only_member(&self) -> bool {
        self.configuration.current().is_some() && self.members.len() == 0
    }
}
