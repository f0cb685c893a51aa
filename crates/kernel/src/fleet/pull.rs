//! Messages of a pull: a node that is behind fetches a newer configuration.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use celeryshore_model::Version;
use celeryshore_model::VmName;

/// Request of a node that is behind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PullRequest {
    /// Version that the asking node holds; the default if it holds none.
    pub base: Version,
}

/// Reply to a pull.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PullReply {
    /// The helper holds nothing newer.
    NotNewer {
        /// Version that the helper holds.
        version: Version,
    },
    /// A chain of deltas from the asked base, oldest first.
    Deltas(Vec<DeltaStep>),
    /// The whole configuration.
    Snapshot {
        /// Version of the configuration.
        version: Version,
        /// The packed rules text.
        packed: Bytes,
    },
    /// The helper has served too many bytes for now.
    Busy {
        /// When to come back.
        retry_after: Duration,
        /// Other nodes that may hold the same version.
        others: Vec<Helper>,
    },
}

impl PullReply {
    /// Returns the number of payload bytes in the reply.
    #[must_use]
    pub fn payload_bytes(&self) -> usize {
        match self {
            Self::Deltas(steps) => steps.iter().map(|s| s.delta.len()).sum(),
            Self::Snapshot { packed, .. } => packed.len(),
            Self::NotNewer { .. } | Self::Busy { .. } => 0,
        }
    }
}

/// One delta of a chain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeltaStep {
    /// Version that the delta leads to.
    pub version: Version,
    /// The encoded delta.
    pub delta: Bytes,
}

/// A node that may serve its configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Helper {
    /// VM of the node.
    pub vm: VmName,
    /// Where it serves its configuration.
    pub control: SocketAddr,
}
