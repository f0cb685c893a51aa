//! Heartbeats: who is pinged when, and which answers are missing.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use celeryshore_model::Time;
use celeryshore_model::VmName;
use celeryshore_model::ZoneName;

use super::member::Liveness;
use super::members::Members;
use super::message::Sequence;

/// Time between two heartbeats of one node.
pub const PERIOD: Duration = Duration::from_millis(500);

/// Time after which helpers are asked to ping a member that did not answer.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time after which a member that did not answer is suspected.
const TOTAL_TIMEOUT: Duration = Duration::from_millis(480);

/// Suspects that one node pings every round.
const MAX_TRACKED_SUSPECTS: usize = 4;

/// A ping that was not yet answered.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Member that was pinged; absent for a seed.
    pub vm: Option<VmName>,
    /// Where it was pinged.
    pub peer: SocketAddr,
    sent: Time,
    pinged_indirectly: bool,
}

/// A ping on behalf of another node.
#[derive(Clone, Copy, Debug)]
pub struct Relay {
    /// Where the acknowledgement goes.
    pub to: SocketAddr,
    /// Number under which it was asked for.
    pub sequence: Sequence,
    sent: Time,
}

/// What a missing answer asks for.
#[derive(Clone, Debug)]
pub enum MissedAck {
    /// Helpers should ping the member.
    PingIndirectly(Sequence, VmName, SocketAddr),
    /// The member should be suspected.
    Suspect(VmName),
}

/// Members in random order, each once a round.
#[derive(Debug, Default)]
struct PingOrder {
    vms: Vec<VmName>,
    next: usize,
}

impl PingOrder {
    fn advance(&mut self, rng: &mut fastrand::Rng) -> Option<VmName> {
        if self.next >= self.vms.len() {
            rng.shuffle(&mut self.vms);
            self.next = 0;
        }
        let vm = self.vms.get(self.next)?.clone();
        self.next += 1;
        Some(vm)
    }
}

/// Rounds of heartbeats.
#[derive(Debug)]
pub struct Prober {
    own_zone: PingOrder,
    other_zones: PingOrder,
    /// Members that this node was the one to suspect.
    suspects: BTreeSet<VmName>,
    probes: BTreeMap<Sequence, Probe>,
    relays: BTreeMap<Sequence, Relay>,
    next_round: Time,
    rounds: u64,
    sequence: u64,
}

impl Prober {
    /// Makes rounds that begin at `first`.
    pub const fn new(first: Time) -> Self {
        Self {
            own_zone: PingOrder {
                vms: Vec::new(),
                next: 0,
            },
            other_zones: PingOrder {
                vms: Vec::new(),
                next: 0,
            },
            suspects: BTreeSet::new(),
            probes: BTreeMap::new(),
            relays: BTreeMap::new(),
            next_round: first,
            rounds: 0,
            sequence: 0,
        }
    }

    /// Takes over a changed list of members.
    pub fn sync(&mut self, own: &ZoneName, members: &Members, rng: &mut fastrand::Rng) {
        let (mut zone, mut other_zones) = (Vec::new(), Vec::new());
        for (vm, member) in members.iter() {
            let list = if &member.zone == own {
                &mut zone
            } else {
                &mut other_zones
            };
            list.push(vm.clone());
        }
        rng.shuffle(&mut zone);
        rng.shuffle(&mut other_zones);
        self.own_zone = PingOrder { vms: zone, next: 0 };
        self.other_zones = PingOrder {
            vms: other_zones,
            next: 0,
        };
    }

    /// Returns the number of the round that begins now, if one does.
    pub fn begin_round(&mut self, now: Time) -> Option<u64> {
        if now < self.next_round {
            return None;
        }
        self.next_round = now + PERIOD;
        self.rounds += 1;
        Some(self.rounds)
    }

    /// Returns the next member of this node's zone.
    pub fn next_in_zone(&mut self, rng: &mut fastrand::Rng) -> Option<VmName> {
        self.own_zone.advance(rng)
    }

    /// Returns the next member of other zones.
    pub fn next_in_other_zone(&mut self, rng: &mut fastrand::Rng) -> Option<VmName> {
        self.other_zones.advance(rng)
    }

    /// Notes a suspicion that this node was the one to raise.
    pub fn track_suspect(&mut self, vm: VmName) {
        if self.suspects.len() < MAX_TRACKED_SUSPECTS {
            self.suspects.insert(vm);
        }
    }

    /// Returns the members that are pinged every round until their suspicion ends.
    pub fn tracked_suspects(&mut self, members: &Members) -> Vec<VmName> {
        let is_suspect = |vm: &VmName| {
            let member = members.get(vm);
            member.is_some_and(|m| matches!(m.liveness, Liveness::Suspect { .. }))
        };
        self.suspects.retain(is_suspect);
        self.suspects.iter().cloned().collect()
    }

    /// Notes a ping and returns its number.
    pub fn start_ping(&mut self, vm: Option<VmName>, peer: SocketAddr, now: Time) -> Sequence {
        let sequence = self.next_sequence();
        let probe = Probe {
            vm,
            peer,
            sent: now,
            pinged_indirectly: false,
        };
        self.probes.insert(sequence, probe);
        sequence
    }

    /// Notes a ping on behalf of another node and returns its number.
    pub fn start_relay(&mut self, to: SocketAddr, sequence: Sequence, now: Time) -> Sequence {
        let own = self.next_sequence();
        let relay = Relay {
            to,
            sequence,
            sent: now,
        };
        self.relays.insert(own, relay);
        own
    }

    fn next_sequence(&mut self) -> Sequence {
        self.sequence += 1;
        Sequence(self.sequence)
    }

    /// Forgets a ping that was not sent, so that nobody is suspected by it.
    pub fn forget(&mut self, sequence: Sequence) {
        self.probes.remove(&sequence);
    }

    /// Takes an acknowledgement; returns the ping that it answers.
    pub fn acknowledge(&mut self, sequence: Sequence) -> Option<Probe> {
        self.probes.remove(&sequence)
    }

    /// Takes an acknowledgement that another node waits for.
    pub fn take_relay(&mut self, sequence: Sequence) -> Option<Relay> {
        self.relays.remove(&sequence)
    }

    /// Returns what the answers that are missing by now ask for.
    pub fn missed_acks(&mut self, now: Time) -> Vec<MissedAck> {
        self.relays.retain(|_, r| now - r.sent < TOTAL_TIMEOUT);
        let mut missed = Vec::new();
        for (sequence, probe) in &mut self.probes {
            let Some(vm) = &probe.vm else { continue };
            if now - probe.sent >= TOTAL_TIMEOUT {
                missed.push(MissedAck::Suspect(vm.clone()));
            } else if now - probe.sent >= DIRECT_TIMEOUT && !probe.pinged_indirectly {
                probe.pinged_indirectly = true;
                missed.push(MissedAck::PingIndirectly(*sequence, vm.clone(), probe.peer));
            }
        }
        self.probes.retain(|_, p| now - p.sent < TOTAL_TIMEOUT);
        missed
    }

    /// Forgets pings that a freeze of this node left unanswered.
    pub fn reset(&mut self, now: Time) {
        self.probes.clear();
        self.relays.clear();
        self.suspects.clear();
        self.next_round = now;
    }

    /// Returns when the prober wants to act again.
    pub fn due(&self) -> Time {
        let probes = self.probes.values().map(|p| {
            if p.pinged_indirectly || p.vm.is_none() {
                p.sent + TOTAL_TIMEOUT
            } else {
                p.sent + DIRECT_TIMEOUT
            }
        });
        probes.min().unwrap_or(self.next_round).min(self.next_round)
    }
}
