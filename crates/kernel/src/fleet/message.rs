//! Datagrams exchanged between nodes.

use std::net::SocketAddr;
use std::time::Duration;

use celeryshore_model::Incarnation;
use celeryshore_model::Version;
use celeryshore_model::VmName;
use celeryshore_model::ZoneName;
use derive_more::Display;
use serde::Serialize;

use crate::MemberState;

/// Largest encoded datagram in bytes. Fits the usual MTU, so that datagrams are
/// not fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Upper bound of the size of a datagram in bytes, without names and updates,
/// but with the UDP and IP headers.
const FIXED_BYTES: usize = 200;

/// Upper bound of the size in bytes that a ping request adds, without the VM
/// name.
const PING_REQUEST_BYTES: usize = 70;

/// Upper bound of the encoded size of an update in bytes, without the VM name.
const UPDATE_BYTES: usize = 30;

/// Datagram from one node to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Identity and state of the sender.
    pub sender: Sender,
    /// Payload that depends on the purpose of the datagram.
    pub body: DatagramBody,
    /// Piggybacked updates about members.
    pub updates: Vec<Update>,
}

impl Datagram {
    /// Returns an upper bound of the encoded size in bytes.
    #[must_use]
    pub fn size_bound(&self) -> usize {
        let sender = self.sender.vm.as_str().len() + self.sender.zone.as_str().len();
        let body = match &self.body {
            DatagramBody::PingRequest { target, .. } => target.as_str().len() + PING_REQUEST_BYTES,
            _ => 0,
        };
        let updates: usize = self.updates.iter().map(Update::size_bound).sum();
        FIXED_BYTES + sender + body + updates
    }
}

/// Identity and state that a node reports about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sender {
    /// VM of the sender.
    pub vm: VmName,
    /// Availability zone of the sender.
    pub zone: ZoneName,
    /// Incarnation of the sender's process. Increases with every restart.
    pub incarnation: Incarnation,
    /// Refutation number of the sender in this incarnation.
    pub refutation: Refutation,
    /// Address on which the sender serves its configuration.
    pub control: SocketAddr,
    /// Version in effect at the sender. The default if it has none.
    pub version: Version,
    /// Time since the last successful read of the platform by any reader that
    /// the sender knows of.
    pub view_age: Option<Duration>,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// Whether the sender gave up the reader role because its reads of the
    /// platform failed.
    pub unwell: bool,
}

/// Number of the state that a member reported about itself. Increases within
/// one incarnation whenever the member refutes a wrong update or its own state
/// changes.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct Refutation(pub u32);

/// Number that matches an acknowledgement to its ping.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Sequence(pub u64);

/// Payload of a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DatagramBody {
    /// Heartbeat that requests an acknowledgement.
    Ping(Sequence),
    /// Acknowledgement of a ping.
    Ack(Sequence),
    /// Request to ping a third member and forward its acknowledgement.
    PingRequest {
        /// Number under which the acknowledgement is forwarded.
        sequence: Sequence,
        /// Member to ping.
        target: VmName,
        /// Address on which the member receives datagrams.
        peer: SocketAddr,
    },
    /// Unsolicited notice that the sender's state changed, such as a newer
    /// version.
    Announce,
}

/// Update about one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// VM of the member.
    pub vm: VmName,
    /// Incarnation that the update is about.
    pub incarnation: Incarnation,
    /// Refutation number of the member that the update is based on.
    pub refutation: Refutation,
    /// State of the member.
    pub state: MemberState,
    /// Whether the member gave up the reader role because its reads of the
    /// platform failed.
    pub unwell: bool,
}

impl Update {
    /// Returns an upper bound of the encoded size in bytes.
    #[must_use]
    pub fn size_bound(&self) -> usize {
        UPDATE_BYTES + self.vm.as_str().len()
    }
}
