//! Life cycle of a node: learning, fresh, stale.
//!
//! Each stage is a type of its own; a transition consumes the old stage.
//!
//! A node that starts with empty memory and reaches no other node stays in
//! learning, even if the platform answers it. The platform may be stale, and
//! before its restart the node may have served under a newer version, so to serve
//! under the platform's answer could be to go back. Other nodes serve its callers
//! meanwhile. A node that was only frozen still holds its version, so it goes on
//! under it when it reaches nobody: it can be behind but not go back.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use celeryshore_model::Time;
use celeryshore_model::Version;
use celeryshore_model::VmName;
use celeryshore_model::ZoneName;
use derive_more::Display;
use derive_more::From;
use serde::Serialize;

/// Time after the first answer in which further peers may answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Zones whose answers are waited for, so that one that was cut off is noticed.
const MIN_ANSWERING_ZONES: usize = 2;

/// Time for which a version that a peer told of is waited for.
const VERSION_LIFETIME: Duration = Duration::from_secs(10);

/// Time after which a stale node that reaches nobody goes on.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Stage of a node, as it is shown.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StageKind {
    /// It holds nothing that callers' work may rest on.
    #[display("learning")]
    Learning,
    /// It serves under the newest version that it knows of.
    #[display("fresh")]
    Fresh,
    /// It was frozen, and asks its peers before it counts as fresh.
    #[display("stale")]
    Stale,
}

/// What the configuration held says of the rest of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Topology {
    /// Whether there is no other node.
    pub alone: bool,
    /// Zones of the other nodes.
    pub zones: usize,
}

/// What a peer told of itself.
#[derive(Clone, Debug)]
struct PeerVersion {
    version: Version,
    zone: ZoneName,
    received: Time,
}

impl PeerVersion {
    /// Returns whether the peer has a version in force.
    fn has_version(&self) -> bool {
        self.version != Version::default()
    }
}

/// Peers that answered since a stage began, with the versions they hold.
#[derive(Debug, Default)]
struct PeerVersions {
    by_vm: BTreeMap<VmName, PeerVersion>,
    first_at: Option<Time>,
}

impl PeerVersions {
    fn record(&mut self, vm: &VmName, zone: &ZoneName, version: Version, now: Time) {
        self.first_at.get_or_insert(now);
        let before = self.by_vm.get(vm).map(|answer| answer.version);
        let answer = PeerVersion {
            version: before.unwrap_or_default().max(version),
            zone: zone.clone(),
            received: now,
        };
        self.by_vm.insert(vm.clone(), answer);
    }

    /// Returns whether enough peers answered, in more than one zone if there are
    /// several: those of a zone that was cut off until now are all behind.
    fn is_complete(&self, asked: usize, zones: usize, now: Time) -> bool {
        let Some(first) = self.first_at else {
            return false;
        };
        let answers = self.by_vm.values().filter(|answer| answer.has_version());
        let answering_zones: BTreeSet<_> = answers.clone().map(|answer| &answer.zone).collect();
        let enough =
            answers.count() >= asked && answering_zones.len() >= zones.min(MIN_ANSWERING_ZONES);
        enough || now - first >= ANSWER_TIMEOUT
    }

    fn newest(&self, now: Time) -> Version {
        let recent = self
            .by_vm
            .values()
            .filter(|answer| now - answer.received < VERSION_LIFETIME);
        recent
            .map(|answer| answer.version)
            .max()
            .unwrap_or_default()
    }

    fn allows(&self, current: Version, asked: usize, zones: usize, now: Time) -> bool {
        self.is_complete(asked, zones, now) && current >= self.newest(now)
    }
}

/// The node holds nothing that callers' work may rest on.
#[derive(Debug)]
pub struct Learning {
    answers: PeerVersions,
    asked: usize,
}

impl Learning {
    /// Begins to learn from `asked` peers.
    pub fn new(asked: usize) -> Self {
        Self {
            answers: PeerVersions::default(),
            asked,
        }
    }

    /// Returns whether no peer has answered yet.
    pub const fn is_unanswered(&self) -> bool {
        self.answers.first_at.is_none()
    }

    /// Ends the stage if the node may take work under `held`.
    ///
    /// A node without seeds, or the only one of its configuration, has nobody
    /// to ask.
    fn finish(self, current: Version, topology: Topology, now: Time) -> Result<Fresh, Self> {
        let allowed = topology.alone
            || self
                .answers
                .allows(current, self.asked, topology.zones, now);
        if current != Version::default() && allowed {
            Ok(Fresh { since: now })
        } else {
            Err(self)
        }
    }
}

/// The node serves under the newest version that it knows of.
#[derive(Debug)]
pub struct Fresh {
    since: Time,
}

impl Fresh {
    /// Ends the stage after a freeze, to ask `asked` peers.
    fn freeze(self, asked: usize, now: Time) -> Stale {
        Stale {
            answers: PeerVersions::default(),
            asked,
            since: now.max(self.since),
        }
    }
}

/// The node was frozen, and asks its peers before it counts as fresh.
#[derive(Debug)]
pub struct Stale {
    answers: PeerVersions,
    asked: usize,
    since: Time,
}

impl Stale {
    /// Ends the stage if the node may count as fresh under `held`.
    ///
    /// A node that reaches nobody serves on under what it holds.
    fn finish(self, current: Version, topology: Topology, now: Time) -> Result<Fresh, Self> {
        let isolated = self.answers.first_at.is_none() && now - self.since >= ISOLATION_TIMEOUT;
        if self.asked == 0
            || isolated
            || self
                .answers
                .allows(current, self.asked, topology.zones, now)
        {
            Ok(Fresh { since: now })
        } else {
            Err(self)
        }
    }

    /// Begins to ask anew after another freeze.
    fn freeze(self, asked: usize, now: Time) -> Self {
        Self {
            answers: PeerVersions::default(),
            asked,
            since: now.max(self.since),
        }
    }
}

/// Any stage.
#[derive(Debug, From)]
pub enum Stage {
    /// See [`Learning`].
    Learning(Learning),
    /// See [`Fresh`].
    Fresh(Fresh),
    /// See [`Stale`].
    Stale(Stale),
}

impl Stage {
    /// Returns the stage as it is shown.
    pub const fn kind(&self) -> StageKind {
        match self {
            Self::Learning(_) => StageKind::Learning,
            Self::Fresh(_) => StageKind::Fresh,
            Self::Stale(_) => StageKind::Stale,
        }
    }

    /// Notes the version of a peer that answered.
    pub fn record_version(&mut self, vm: &VmName, zone: &ZoneName, version: Version, now: Time) {
        match self {
            Self::Learning(learning) => learning.answers.record(vm, zone, version, now),
            Self::Stale(stale) => stale.answers.record(vm, zone, version, now),
            Self::Fresh(_) => {}
        }
    }

    /// Goes on as fresh if the stage is over; says which stage it was.
    pub fn advance(
        &mut self,
        current: Version,
        topology: Topology,
        now: Time,
    ) -> Option<StageKind> {
        let from = self.kind();
        *self = match self.take(now) {
            Self::Learning(stage) => into_stage(stage.finish(current, topology, now)),
            Self::Stale(stage) => into_stage(stage.finish(current, topology, now)),
            Self::Fresh(stage) => stage.into(),
        };
        (self.kind() != from).then_some(from)
    }

    /// Becomes stale after a freeze, or begins to learn anew.
    pub fn freeze(&mut self, asked: usize, now: Time) {
        *self = match self.take(now) {
            Self::Fresh(stage) => stage.freeze(asked, now).into(),
            Self::Stale(stage) => stage.freeze(asked, now).into(),
            Self::Learning(stage) => Learning::new(stage.asked).into(),
        };
    }

    fn take(&mut self, now: Time) -> Self {
        std::mem::replace(self, Fresh { since: now }.into())
    }
}

fn into_stage<S: Into<Stage>>(finished: Result<Fresh, S>) -> Stage {
    finished.map_or_else(Into::into, Into::into)
}
