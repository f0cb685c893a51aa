//! Settings of `Fleet`.

use std::net::SocketAddr;

use celeryshore_model::Incarnation;
use celeryshore_model::VmName;
use celeryshore_model::ZoneName;

/// Settings of [`Fleet`](crate::Fleet): identity and addresses of the node.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// VM that the node runs on.
    pub vm: VmName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Incarnation of the process. Must increase with every restart.
    pub incarnation: Incarnation,
    /// Address on which the node receives datagrams from peers.
    pub peer: SocketAddr,
    /// Address on which the node serves its configuration to peers.
    pub control: SocketAddr,
    /// Datagram addresses of the nodes that are contacted before the members
    /// are known.
    pub seeds: Vec<SocketAddr>,
    /// Whether this node may read the platform.
    pub source: bool,
    /// Seed of the random number generator.
    pub seed: u64,
}
