//! Lifecycle of a node: learning, fresh, stale.
//!
//! Each stage is a type of its own. A transition consumes the old stage.
//!
//! A node that starts with empty memory and reaches no other node stays in the
//! learning stage, even if the platform responds. The platform may be stale, and
//! the node may have served under a newer version before its restart, so
//! serving under the platform's response could be a rollback. Other nodes serve
//! its callers in the meantime.
//!
//! A node that was only frozen still has its version. If it reaches no other
//! node, it continues to serve under that version: it may be behind, but it
//! cannot roll back.

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

/// Time to wait for further answers after the first one.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of zones whose answers are awaited. More than one, because all nodes
/// of a zone that was cut off may be behind.
const MIN_ANSWERING_ZONES: usize = 2;

/// Time for which a version reported by a peer counts: the node waits that long
/// to obtain it.
const VERSION_LIFETIME: Duration = Duration::from_secs(10);

/// Time after which a stale node that reaches no other node becomes fresh.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Name of a lifecycle stage.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum StageKind {
    /// The node has no configuration under which it may serve requests yet.
    #[display("learning")]
    Learning,
    /// The node serves under the newest version that it knows of.
    #[display("fresh")]
    Fresh,
    /// The node was frozen, and polls its peers before it counts as fresh.
    #[display("stale")]
    Stale,
}

/// Size of the rest of the fleet, according to the configuration and the seeds.
#[derive(Clone, Copy, Debug)]
pub struct Topology {
    /// Whether no other node is known.
    pub alone: bool,
    /// Number of zones with other nodes.
    pub zones: usize,
}

/// Version that a peer reported.
#[derive(Clone, Debug)]
struct PeerVersion {
    version: Version,
    zone: ZoneName,
    received: Time,
}

impl PeerVersion {
    /// Returns `true` if the peer advertised a version.
    fn has_version(&self) -> bool {
        self.version != Version::default()
    }
}

/// Versions of the peers that answered since the stage began.
#[derive(Debug, Default)]
struct PeerVersions {
    by_vm: BTreeMap<VmName, PeerVersion>,
    first_at: Option<Time>,
}

impl PeerVersions {
    fn record(&mut self, vm: &VmName, zone: &ZoneName, version: Version, now: Time) {
        self.first_at.get_or_insert(now);
        let before = self.by_vm.get(vm).map(|peer| peer.version);
        let peer = PeerVersion {
            version: before.unwrap_or_default().max(version),
            zone: zone.clone(),
            received: now,
        };
        self.by_vm.insert(vm.clone(), peer);
    }

    /// Returns `true` if enough peers answered or the time to wait for them is
    /// over.
    ///
    /// If there are several zones, peers of more than one must answer, because
    /// those of a zone that was cut off until now are all behind.
    fn is_complete(&self, polled: usize, zones: usize, now: Time) -> bool {
        let Some(first) = self.first_at else {
            return false;
        };
        let advertised = self.by_vm.values().filter(|peer| peer.has_version());
        let answering_zones: BTreeSet<_> = advertised.clone().map(|peer| &peer.zone).collect();
        let enough =
            advertised.count() >= polled && answering_zones.len() >= zones.min(MIN_ANSWERING_ZONES);
        enough || now - first >= ANSWER_TIMEOUT
    }

    fn newest(&self, now: Time) -> Version {
        let recent = self
            .by_vm
            .values()
            .filter(|peer| now - peer.received < VERSION_LIFETIME);
        recent.map(|peer| peer.version).max().unwrap_or_default()
    }

    /// Returns `true` if the poll is complete and no peer has a version newer than
    /// `current`.
    fn allows(&self, current: Version, polled: usize, zones: usize, now: Time) -> bool {
        self.is_complete(polled, zones, now) && current >= self.newest(now)
    }
}

/// Stage of a node that has no configuration under which it may serve requests
/// yet.
#[derive(Debug)]
pub struct Learning {
    versions: PeerVersions,
    polled: usize,
}

impl Learning {
    /// Starts the stage of a node that polls `polled` peers.
    pub fn new(polled: usize) -> Self {
        Self {
            versions: PeerVersions::default(),
            polled,
        }
    }

    /// Returns `true` if no peer has answered yet.
    pub const fn is_unanswered(&self) -> bool {
        self.versions.first_at.is_none()
    }

    /// Ends the stage if the node may serve requests under `current`.
    ///
    /// A node without seeds, or the only one in its configuration, has no peers
    /// to poll.
    fn finish(self, current: Version, topology: Topology, now: Time) -> Result<Fresh, Self> {
        let allowed = topology.alone
            || self
                .versions
                .allows(current, self.polled, topology.zones, now);
        if current != Version::default() && allowed {
            Ok(Fresh { since: now })
        } else {
            Err(self)
        }
    }
}

/// Stage of a node that serves under the newest version that it knows of.
#[derive(Debug)]
pub struct Fresh {
    since: Time,
}

impl Fresh {
    /// Ends the stage after a freeze. The node then polls `polled` peers.
    fn freeze(self, polled: usize, now: Time) -> Stale {
        Stale {
            versions: PeerVersions::default(),
            polled,
            since: now.max(self.since),
        }
    }
}

/// Stage of a node that was frozen, and polls its peers before it counts as
/// fresh.
#[derive(Debug)]
pub struct Stale {
    versions: PeerVersions,
    polled: usize,
    since: Time,
}

impl Stale {
    /// Ends the stage if the node counts as fresh under `current`.
    ///
    /// A node that reaches no other node continues to serve under its version.
    fn finish(self, current: Version, topology: Topology, now: Time) -> Result<Fresh, Self> {
        let isolated = self.versions.first_at.is_none() && now - self.since >= ISOLATION_TIMEOUT;
        if self.polled == 0
            || isolated
            || self
                .versions
                .allows(current, self.polled, topology.zones, now)
        {
            Ok(Fresh { since: now })
        } else {
            Err(self)
        }
    }

    /// Restarts the stage after another freeze. The node then polls `polled` peers.
    fn freeze(self, polled: usize, now: Time) -> Self {
        Self {
            versions: PeerVersions::default(),
            polled,
            since: now.max(self.since),
        }
    }
}

/// Lifecycle stage of a node.
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
    /// Returns the name of the stage.
    pub const fn kind(&self) -> StageKind {
        match self {
            Self::Learning(_) => StageKind::Learning,
            Self::Fresh(_) => StageKind::Fresh,
            Self::Stale(_) => StageKind::Stale,
        }
    }

    /// Records the version of a peer that answered. Ignored in the fresh stage.
    pub fn record_version(&mut self, vm: &VmName, zone: &ZoneName, version: Version, now: Time) {
        match self {
            Self::Learning(learning) => learning.versions.record(vm, zone, version, now),
            Self::Stale(stale) => stale.versions.record(vm, zone, version, now),
            Self::Fresh(_) => {}
        }
    }

    /// Enters the fresh stage if the current stage is over. Returns the
    /// previous stage if it changed.
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

    /// Enters the stale stage after a freeze. A learning node starts to learn
    /// again.
    pub fn freeze(&mut self, polled: usize, now: Time) {
        *self = match self.take(now) {
            Self::Fresh(stage) => stage.freeze(polled, now).into(),
            Self::Stale(stage) => stage.freeze(polled, now).into(),
            Self::Learning(stage) => Learning::new(stage.polled).into(),
        };
    }

    fn take(&mut self, now: Time) -> Self {
        std::mem::replace(self, Fresh { since: now }.into())
    }
}

fn into_stage<S: Into<Stage>>(finished: Result<Fresh, S>) -> Stage {
    finished.map_or_else(Into::into, Into::into)
}
