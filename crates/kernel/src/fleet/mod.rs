//! Decisions about membership and configuration.

mod event;
mod message;
mod prepare;
mod pull;

use std::net::SocketAddr;

use celeryshore_model::Incarnation;
use celeryshore_model::Now;
use celeryshore_model::VmName;
use celeryshore_model::ZoneName;
use derive_more::Display;
use serde::Serialize;

pub use self::event::FleetAction;
pub use self::event::FleetEvent;
pub use self::event::InboundPullId;
pub use self::event::PullId;
pub use self::event::ReadAnswer;
pub use self::event::ReadFailure;
pub use self::event::ReadId;
pub use self::event::ReadQuery;
pub use self::event::Report;
pub use self::message::Datagram;
pub use self::message::DatagramBody;
pub use self::message::MAX_DATAGRAM_BYTES;
pub use self::message::Refutation;
pub use self::message::Sender;
pub use self::message::Sequence;
pub use self::message::Update;
pub use self::prepare::Base;
pub use self::prepare::Candidate;
pub use self::prepare::Chain;
pub use self::prepare::Prepare;
pub use self::prepare::Prepared;
pub use self::pull::DeltaStep;
pub use self::pull::PullReply;
pub use self::pull::PullRequest;

/// State of a member of the fleet, as this node sees it.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize)]
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

/// What a node knows of itself and its surroundings when it starts.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// VM that the node runs on.
    pub vm: VmName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Life of this process; a later life must have a greater number.
    pub incarnation: Incarnation,
    /// Where the node takes heartbeats.
    pub peer: SocketAddr,
    /// Where the node serves its configuration.
    pub control: SocketAddr,
    /// Where other nodes take heartbeats, to begin with.
    pub seeds: Vec<SocketAddr>,
    /// Whether the platform may be read.
    pub source: bool,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Decides about membership and configuration.
#[derive(Debug)]
pub struct Fleet {
    cfg: FleetConfig,
}

impl Fleet {
    /// Makes the decisions of a process that starts now and knows nothing.
    #[must_use]
    pub fn new(cfg: FleetConfig, now: Now) -> Self {
        let _ = now;
        Self { cfg }
    }

    /// Takes one event and appends what is to be done to `actions`.
    pub fn handle(&mut self, now: Now, event: FleetEvent, actions: &mut Vec<FleetAction>) {
        let _ = (now, event, actions, &self.cfg);
    }

    /// Notes the clocks at every event of the process, to notice a freeze.
    pub fn observe(&mut self, now: Now, actions: &mut Vec<FleetAction>) {
        let _ = (now, actions, &self.cfg);
    }
}
