//! What a node knows of itself when it starts.

use std::net::SocketAddr;

use celeryshore_model::Incarnation;
use celeryshore_model::VmName;
use celeryshore_model::ZoneName;

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
