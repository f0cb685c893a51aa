//! Handling of received datagrams, and sending of datagrams.

use std::net::SocketAddr;

use celeryshore_model::Time;
use celeryshore_model::Version;
use celeryshore_model::VmName;

use super::Fleet;
use super::budget::TrafficKind;
use super::change::Change;
use super::event::FleetAction;
use super::event::Report;
use super::member::MemberState;
use super::message::Datagram;
use super::message::DatagramBody;
use super::message::Sender;
use super::message::Sequence;
use super::message::Update;
use super::stage::StageKind;

impl Fleet {
    pub(super) fn on_datagram(&mut self, from: SocketAddr, datagram: &Datagram, now: Time) {
        let sender = &datagram.sender;
        if sender.vm == self.cfg.vm {
            return;
        }
        if let Some(age) = sender.view_age {
            self.view.record_remote_age(age, now);
        }
        self.members.record_contact(sender, now);
        for update in &datagram.updates {
            self.on_update(update, now);
        }
        self.on_version(sender, now);
        self.on_body(from, datagram, now);
    }

    /// Records the version that a sender advertises. A refused version counts as
    /// none.
    fn on_version(&mut self, sender: &Sender, now: Time) {
        let mut version = sender.version;
        if self.configuration.is_refused(&version.digest) {
            version = Version::default();
        }
        let current = self.version();
        self.puller
            .offer(&sender.vm, sender.control, version, current, now);
        if self.stage() == StageKind::Learning {
            self.stage
                .record_version(&sender.vm, &sender.zone, version, now);
        }
    }

    fn on_body(&mut self, from: SocketAddr, datagram: &Datagram, now: Time) {
        let sender = &datagram.sender;
        match &datagram.body {
            DatagramBody::Ping(sequence) => {
                self.send(from, Some(&sender.vm), DatagramBody::Ack(*sequence), now);
            }
            DatagramBody::Ack(sequence) => self.on_ack(*sequence, sender, now),
            DatagramBody::PingRequest {
                sequence,
                target,
                peer,
            } => {
                let own = self.prober.start_relay(from, *sequence, now);
                self.send(*peer, Some(target), DatagramBody::Ping(own), now);
            }
            DatagramBody::Announce => {}
        }
    }

    fn on_ack(&mut self, sequence: Sequence, sender: &Sender, now: Time) {
        if let Some(relay) = self.prober.take_relay(sequence) {
            self.send(relay.to, None, DatagramBody::Ack(relay.sequence), now);
        } else if self.prober.acknowledge(sequence).is_some() {
            self.stage
                .record_version(&sender.vm, &sender.zone, sender.version, now);
        }
    }

    fn on_update(&mut self, update: &Update, now: Time) {
        if update.vm == self.cfg.vm {
            self.on_update_about_self(update, now);
        } else {
            self.members.apply(update, now);
        }
    }

    /// Refutes wrong claims of other nodes about this node.
    fn on_update_about_self(&mut self, update: &Update, now: Time) {
        let is_current_incarnation = update.incarnation == self.cfg.incarnation;
        if !is_current_incarnation || update.refutation < self.own.refutation {
            return;
        }
        match update.state {
            MemberState::Suspect | MemberState::Dead => {
                self.own.refutation = update.refutation;
                self.publish_own_state(now);
            }
            MemberState::Leaving if !self.own.leaving => self.drain(now),
            MemberState::Alive | MemberState::Leaving => {}
        }
    }

    /// Gossips the state of this node under a new refutation number.
    pub(super) fn publish_own_state(&mut self, now: Time) {
        self.own.refutation.0 += 1;
        let state = if self.own.leaving {
            MemberState::Leaving
        } else {
            MemberState::Alive
        };
        self.own.unwell = self.reader.is_unwell(now);
        self.gossip.push(Update {
            vm: self.cfg.vm.clone(),
            incarnation: self.cfg.incarnation,
            refutation: self.own.refutation,
            state,
            unwell: self.own.unwell,
        });
    }

    pub(super) fn drain(&mut self, now: Time) {
        self.own.leaving = true;
        self.publish_own_state(now);
        self.out.push(FleetAction::Member {
            vm: self.cfg.vm.clone(),
            state: MemberState::Leaving,
        });
    }

    /// Sends a datagram if the control traffic limit allows it. Returns `true`
    /// if it was sent.
    ///
    /// Updates about members of a lost zone are not sent to other zones, so
    /// that suspicions caused by the loss of a zone stay within this zone.
    pub(super) fn send(
        &mut self,
        to: SocketAddr,
        vm: Option<&VmName>,
        body: DatagramBody,
        now: Time,
    ) -> bool {
        let kind = match body {
            DatagramBody::Announce => TrafficKind::Announce,
            _ => TrafficKind::Heartbeat,
        };
        let mut datagram = Box::new(Datagram {
            sender: self.sender(now),
            body,
            updates: Vec::new(),
        });
        datagram
            .updates
            .extend(vm.and_then(|vm| self.suspicion_about(vm, now)));
        let member = vm.and_then(|vm| self.members.get(vm));
        let in_zone = member.is_some_and(|m| m.zone == self.cfg.zone);
        let members = &self.members;
        let may_share = |vm: &VmName| in_zone || !members.is_in_lost_zone(vm);
        self.gossip.fill(&mut datagram, members.len(), may_share);
        let sent = self.traffic.take(kind, datagram.size_bound(), now).is_ok();
        if sent {
            self.out.push(FleetAction::Send { to, datagram });
        }
        sent
    }

    /// Returns the suspicion or death recorded for a member. It is sent to the
    /// member itself, which can then refute it.
    fn suspicion_about(&self, vm: &VmName, now: Time) -> Option<Update> {
        let member = self.members.get(vm)?;
        (!member.is_alive()).then(|| member.update(vm, now))
    }

    fn sender(&self, now: Time) -> Sender {
        Sender {
            vm: self.cfg.vm.clone(),
            zone: self.cfg.zone.clone(),
            incarnation: self.cfg.incarnation,
            refutation: self.own.refutation,
            control: self.cfg.control,
            version: self.advertised_version(),
            view_age: self.view.age(now),
            leaving: self.own.leaving,
            unwell: self.own.unwell,
        }
    }

    /// Returns the version that this node advertises to others.
    ///
    /// A learning node advertises none. Its version came from peers, so it is
    /// no additional evidence for another learning node.
    fn advertised_version(&self) -> Version {
        match self.stage() {
            StageKind::Learning => Version::default(),
            StageKind::Fresh | StageKind::Stale => self.version(),
        }
    }

    /// Passes changes of members to the driver and to other nodes.
    pub(super) fn publish_changes(&mut self, now: Time) {
        for change in self.members.take_changes() {
            let action = match change {
                Change::State { vm, state } => FleetAction::Member { vm, state },
                Change::ZoneLost(zone) => FleetAction::Report(Report::ZoneLost { zone }),
                Change::ZoneRecovered(zone) => FleetAction::Report(Report::ZoneRecovered { zone }),
                Change::Ping(vm) => {
                    self.ping(&vm, now);
                    continue;
                }
                Change::Gossip(update) => {
                    self.gossip.push(update);
                    continue;
                }
            };
            self.out.push(action);
        }
    }
}
