//! One member of the fleet, as this node sees it.

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

/// Time for which a member that fails to read the platform is passed over.
const UNWELL_DURATION: Duration = Duration::from_secs(40);

/// State of a member of the fleet, as this node sees it.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It answers heartbeats, or nothing speaks against it.
    #[default]
    #[display("alive")]
    Alive,
    /// It missed heartbeats and may refute.
    #[display("suspect")]
    Suspect,
    /// It did not refute in time.
    #[display("dead")]
    Dead,
    /// It says, or the platform's list says, that it is leaving.
    #[display("leaving")]
    Leaving,
}

/// Whether a member answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It answers, or nothing speaks against it.
    Alive,
    /// It missed heartbeats and may refute until the deadline.
    Suspect {
        /// When it is checked, or counts as dead.
        deadline: Time,
        /// Whether the check is under way.
        final_ping_sent: bool,
    },
    /// It did not refute in time.
    Dead,
}

/// One member of the fleet.
#[derive(Clone, Debug)]
pub struct Member {
    /// Availability zone.
    pub zone: ZoneName,
    /// Where it takes heartbeats.
    pub peer: SocketAddr,
    /// Where it serves its configuration.
    pub control: SocketAddr,
    /// Its life; the default until it was heard.
    pub incarnation: Incarnation,
    /// Its last statement in this life.
    pub refutation: Refutation,
    /// Whether it answers.
    pub liveness: Liveness,
    /// Whether it is leaving; lasts as long as its life.
    pub leaving: bool,
    /// Until when it is passed over as a reader.
    pub unwell_until: Option<Time>,
    /// Version that it last said to hold.
    pub version: Version,
    /// When this node first heard of this life.
    pub since: Time,
}

impl Member {
    /// Makes a member that nothing speaks against.
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

    /// Returns the state as it is shown and told to others.
    pub const fn state(&self) -> MemberState {
        match (self.liveness, self.leaving) {
            (Liveness::Dead, _) => MemberState::Dead,
            (_, true) => MemberState::Leaving,
            (Liveness::Suspect { .. }, false) => MemberState::Suspect,
            (Liveness::Alive, false) => MemberState::Alive,
        }
    }

    /// Returns whether it may be asked for something.
    pub const fn is_alive(&self) -> bool {
        matches!(self.liveness, Liveness::Alive)
    }

    /// Returns whether it did not refute in time.
    pub const fn is_dead(&self) -> bool {
        matches!(self.liveness, Liveness::Dead)
    }

    /// Returns whether it is passed over as a reader.
    pub fn is_unwell(&self, now: Time) -> bool {
        self.unwell_until.is_some_and(|until| now < until)
    }

    /// Returns the news of this member.
    pub fn update(&self, vm: &VmName, now: Time) -> Update {
        Update {
            vm: vm.clone(),
            incarnation: self.incarnation,
            refutation: self.refutation,
            state: self.state(),
            unwell: self.is_unwell(now),
        }
    }

    /// Takes what the member itself said.
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

    /// Takes news of the member; says whether there was anything new in it.
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
