//! State of one member of the fleet from the point of view of this node.

use std::net::SocketAddr;
use std::time::Duration;

use celeryshore_model::Incarnation;
use celeryshore_model::Time;
use celeryshore_model::Upstream;
use celeryshore_model::Version;
use celeryshore_model::VmName;
use celeryshore_model::ZoneName;
use derive_more::Display;
use serde::Serialize;

use super::message::Refutation;
use super::message::Sender;
use super::message::Update;

/// Time for which a member that reported failing reads is skipped when readers
/// are selected.
const UNWELL_DURATION: Duration = Duration::from_secs(40);

/// State of a member of the fleet from the point of view of this node.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The member answers heartbeats, or no evidence against it is known.
    #[default]
    #[display("alive")]
    Alive,
    /// The member missed heartbeats and may still refute the suspicion.
    #[display("suspect")]
    Suspect,
    /// The member did not refute a suspicion in time.
    #[display("dead")]
    Dead,
    /// The member is leaving, as reported by itself or by the platform's list
    /// of VMs.
    #[display("leaving")]
    Leaving,
}

/// Result of failure detection for a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// The member answers, or no evidence against it is known.
    Alive,
    /// The member missed heartbeats and may refute the suspicion until the
    /// deadline.
    Suspect {
        /// Time of the final ping. Once that is sent, time at which the member
        /// is declared dead.
        deadline: Time,
        /// Whether the final ping was sent.
        final_ping_sent: bool,
    },
    /// The member did not refute a suspicion in time.
    Dead,
}

/// Member of the fleet.
#[derive(Clone, Debug)]
pub struct Member {
    /// Availability zone.
    pub zone: ZoneName,
    /// Address on which the member receives datagrams.
    pub peer: SocketAddr,
    /// Address on which the member serves its configuration.
    pub control: SocketAddr,
    /// Newest known incarnation of the member's process. The default until one
    /// is known.
    pub incarnation: Incarnation,
    /// Newest known refutation number in this incarnation.
    pub refutation: Refutation,
    /// Result of failure detection.
    pub liveness: Liveness,
    /// Whether the member is leaving. Remains set until the next incarnation.
    pub leaving: bool,
    /// Time until which the member is not selected as a reader.
    pub unwell_until: Option<Time>,
    /// Version last reported by the member.
    pub version: Version,
    /// Time at which this node first saw this incarnation.
    pub since: Time,
}

impl Member {
    /// Creates a member that is considered alive.
    pub fn new(upstream: &Upstream, now: Time) -> Self {
        Self {
            zone: upstream.zone.clone(),
            peer: upstream.peer,
            control: upstream.control,
            incarnation: Incarnation::default(),
            refutation: Refutation::default(),
            liveness: Liveness::Alive,
            leaving: false,
            unwell_until: None,
            version: Version::default(),
            since: now,
        }
    }

    /// Returns the state as displayed and gossiped to others.
    pub const fn state(&self) -> MemberState {
        match (self.liveness, self.leaving) {
            (Liveness::Dead, _) => MemberState::Dead,
            (_, true) => MemberState::Leaving,
            (Liveness::Suspect { .. }, false) => MemberState::Suspect,
            (Liveness::Alive, false) => MemberState::Alive,
        }
    }

    /// Returns `true` if the member is neither suspect nor dead.
    pub const fn is_alive(&self) -> bool {
        matches!(self.liveness, Liveness::Alive)
    }

    /// Returns `true` if the member did not refute a suspicion in time.
    pub const fn is_dead(&self) -> bool {
        matches!(self.liveness, Liveness::Dead)
    }

    /// Returns `true` if the member must not be selected as a reader.
    pub fn is_unwell(&self, now: Time) -> bool {
        self.unwell_until.is_some_and(|until| now < until)
    }

    /// Returns the update that describes this member.
    pub fn update(&self, vm: &VmName, now: Time) -> Update {
        Update {
            vm: vm.clone(),
            incarnation: self.incarnation,
            refutation: self.refutation,
            state: self.state(),
            unwell: self.is_unwell(now),
        }
    }

    /// Records a datagram from the member itself.
    pub fn record_contact(&mut self, sender: &Sender, now: Time) {
        if sender.incarnation != self.incarnation {
            self.start_incarnation(sender.incarnation, now);
        }
        self.liveness = Liveness::Alive;
        self.leaving |= sender.leaving;
        self.version = sender.version;
        if sender.refutation >= self.refutation {
            self.refutation = sender.refutation;
            self.set_unwell(sender.unwell, now);
        }
    }

    /// Applies an update about the member. Returns `true` if it contained new
    /// information.
    pub fn apply(&mut self, update: &Update, suspicion_timeout: Duration, now: Time) -> bool {
        if update.incarnation < self.incarnation {
            return false;
        }
        if update.incarnation > self.incarnation {
            self.start_incarnation(update.incarnation, now);
        }
        let newer = update.refutation > self.refutation;
        let not_older = update.refutation >= self.refutation;
        let before = (self.state(), self.is_unwell(now));
        if newer {
            self.refutation = update.refutation;
            self.set_unwell(update.unwell, now);
        }
        self.leaving |= update.state == MemberState::Leaving;
        self.apply_liveness(update.state, newer, not_older, now + suspicion_timeout);
        newer || before != (self.state(), self.is_unwell(now))
    }

    fn apply_liveness(&mut self, state: MemberState, newer: bool, not_older: bool, deadline: Time) {
        match (state, self.liveness) {
            (MemberState::Alive | MemberState::Leaving, _) if newer => {
                self.liveness = Liveness::Alive;
            }
            (MemberState::Suspect, Liveness::Alive) if not_older => {
                self.liveness = Liveness::Suspect {
                    deadline,
                    final_ping_sent: false,
                };
            }
            (MemberState::Dead, _) if not_older => self.liveness = Liveness::Dead,
            _ => {}
        }
    }

    fn start_incarnation(&mut self, incarnation: Incarnation, now: Time) {
        self.incarnation = incarnation;
        self.refutation = Refutation::default();
        self.leaving = false;
        self.unwell_until = None;
        self.since = now;
        self.liveness = Liveness::Alive;
    }

    fn set_unwell(&mut self, unwell: bool, now: Time) {
        self.unwell_until = unwell.then(|| now + UNWELL_DURATION);
    }
}
