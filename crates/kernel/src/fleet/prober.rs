//! Heartbeats: selection of the members to ping, and detection of missed
//! acknowledgements.

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

/// Time between two rounds of heartbeats of a node.
pub const PERIOD: Duration = Duration::from_millis(500);

/// Time after which a member that did not answer is pinged indirectly, through
/// other members.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time after which a member that did not answer is suspected.
const TOTAL_TIMEOUT: Duration = Duration::from_millis(480);

/// Maximum number of suspects that a node pings in every round.
const MAX_TRACKED_SUSPECTS: usize = 4;

/// Ping without an acknowledgement yet.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Member that was pinged. Absent for a seed, whose VM is unknown.
    pub vm: Option<VmName>,
    /// Address that was pinged.
    pub peer: SocketAddr,
    sent: Time,
    pinged_indirectly: bool,
}

/// Ping on behalf of another node.
#[derive(Clone, Copy, Debug)]
pub struct Relay {
    /// Address to which the acknowledgement is forwarded.
    pub to: SocketAddr,
    /// Sequence number assigned by the node that requested the ping.
    pub sequence: Sequence,
    sent: Time,
}

/// Action after a missed acknowledgement.
#[derive(Clone, Debug)]
pub enum MissedAck {
    /// Ping the member through other members.
    PingIndirectly(Sequence, VmName, SocketAddr),
    /// Suspect the member.
    Suspect(VmName),
}

/// Cycle over members in random order, reshuffled after each pass.
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

/// Schedule of heartbeats and pings that await an acknowledgement.
#[derive(Debug)]
pub struct Prober {
    own_zone: PingOrder,
    other_zones: PingOrder,
    /// Members that this node was the first to suspect.
    suspects: BTreeSet<VmName>,
    probes: BTreeMap<Sequence, Probe>,
    relays: BTreeMap<Sequence, Relay>,
    next_round: Time,
    rounds: u64,
    sequence: u64,
}

impl Prober {
    /// Creates a schedule whose first round starts at `first`.
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

    /// Replaces the members to ping after a change of the configuration.
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

    /// Starts a round if it is due and returns its number.
    pub fn begin_round(&mut self, now: Time) -> Option<u64> {
        if now < self.next_round {
            return None;
        }
        self.next_round = now + PERIOD;
        self.rounds += 1;
        Some(self.rounds)
    }

    /// Returns the next member to ping in this node's zone.
    pub fn next_in_zone(&mut self, rng: &mut fastrand::Rng) -> Option<VmName> {
        self.own_zone.advance(rng)
    }

    /// Returns the next member to ping in another zone.
    pub fn next_in_other_zone(&mut self, rng: &mut fastrand::Rng) -> Option<VmName> {
        self.other_zones.advance(rng)
    }

    /// Adds a member that this node was the first to suspect, unless the
    /// maximum number is tracked already.
    pub fn track_suspect(&mut self, vm: VmName) {
        if self.suspects.len() < MAX_TRACKED_SUSPECTS {
            self.suspects.insert(vm);
        }
    }

    /// Returns the tracked suspects, which are pinged in every round until
    /// their suspicion ends.
    pub fn tracked_suspects(&mut self, members: &Members) -> Vec<VmName> {
        let is_suspect = |vm: &VmName| {
            let member = members.get(vm);
            member.is_some_and(|m| matches!(m.liveness, Liveness::Suspect { .. }))
        };
        self.suspects.retain(is_suspect);
        self.suspects.iter().cloned().collect()
    }

    /// Records a ping and returns its sequence number.
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

    /// Records a ping on behalf of another node and returns its sequence
    /// number.
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

    /// Removes a ping that was not sent, so that its member is not suspected.
    pub fn forget(&mut self, sequence: Sequence) {
        self.probes.remove(&sequence);
    }

    /// Removes and returns the ping that an acknowledgement answers.
    pub fn acknowledge(&mut self, sequence: Sequence) -> Option<Probe> {
        self.probes.remove(&sequence)
    }

    /// Removes and returns the relayed ping that an acknowledgement answers.
    pub fn take_relay(&mut self, sequence: Sequence) -> Option<Relay> {
        self.relays.remove(&sequence)
    }

    /// Returns the actions for pings whose timeouts passed, and removes those
    /// that reached the total timeout.
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

    /// Removes all pings after a freeze of this node, which may have missed
    /// their acknowledgements.
    pub fn reset(&mut self, now: Time) {
        self.probes.clear();
        self.relays.clear();
        self.suspects.clear();
        self.next_round = now;
    }

    /// Returns the time of the next round or timeout.
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
