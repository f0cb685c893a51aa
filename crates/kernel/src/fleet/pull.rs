//! Messages of a pull, by which a node fetches a newer configuration from a
//! peer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use celeryshore_model::Version;
use celeryshore_model::VmName;

/// Request for a newer configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PullRequest {
    /// Version in effect at the requesting node, from which deltas can start.
    /// The default requests the full configuration.
    pub base: Version,
}

/// Reply to a pull.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PullReply {
    /// The peer has no newer version.
    NotNewer {
        /// Version in effect at the peer.
        version: Version,
    },
    /// Chain of deltas from the requested base, oldest first.
    Deltas(Vec<DeltaStep>),
    /// Full configuration.
    Snapshot {
        /// Version of the configuration.
        version: Version,
        /// The packed rules text.
        packed: Bytes,
    },
    /// The peer reached its rate limit, or is still packing the configuration.
    Busy {
        /// Time to wait before the next request to this peer.
        retry_after: Duration,
        /// Other nodes that may have the same version.
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
    /// Version of the rules text after the delta is applied.
    pub version: Version,
    /// The encoded delta.
    pub delta: Bytes,
}

/// Node from which the configuration may be pulled instead.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Helper {
    /// VM of the node.
    pub vm: VmName,
    /// Address on which it serves its configuration.
    pub control: SocketAddr,
}
