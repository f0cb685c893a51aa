//! Datagrams between nodes.

use std::net::SocketAddr;
use std::time::Duration;

use celeryshore_model::Incarnation;
use celeryshore_model::Version;
use celeryshore_model::VmName;
use celeryshore_model::ZoneName;
use derive_more::Display;
use serde::Serialize;

use crate::MemberState;

/// Largest encoded datagram in bytes; fits the usual MTU without fragments.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Upper bound of the size of everything but names and updates, with the headers
/// of UDP and IP, in bytes.
const FIXED_BYTES: usize = 200;

/// Upper bound of what a request to ping adds, without its name, in bytes.
const PING_REQUEST_BYTES: usize = 70;

/// Upper bound of the encoded size of an update without its name, in bytes.
const UPDATE_BYTES: usize = 30;

/// A datagram from one node to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// What the sender says of itself.
    pub sender: Sender,
    /// What the datagram is for.
    pub body: DatagramBody,
    /// News of other members, piggybacked.
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

/// What the sender of a datagram says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sender {
    /// VM of the sender.
    pub vm: VmName,
    /// Availability zone of the sender.
    pub zone: ZoneName,
    /// Life of the sender's process; a later life has a greater number.
    pub incarnation: Incarnation,
    /// How often the sender has refuted something in this life.
    pub refutation: Refutation,
    /// Where the sender serves its configuration.
    pub control: SocketAddr,
    /// Version in force at the sender; the default if it holds none.
    pub version: Version,
    /// Time since a reader last was in good contact with the platform, as far
    /// as the sender knows.
    pub view_age: Option<Duration>,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// Whether the sender fails to read the platform.
    pub unwell: bool,
}

/// Number of a member's own statements within one life.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct Refutation(pub u32);

/// Number that joins an acknowledgement to its ping.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Sequence(pub u64);

/// What a datagram is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DatagramBody {
    /// Heartbeat that asks for an acknowledgement.
    Ping(Sequence),
    /// Acknowledgement of a ping.
    Ack(Sequence),
    /// Request to ping a third member and pass on its acknowledgement.
    PingRequest {
        /// Number of the acknowledgement that is wanted.
        sequence: Sequence,
        /// Member to ping.
        target: VmName,
        /// Where the member takes heartbeats.
        peer: SocketAddr,
    },
    /// A newer version is in force at the sender.
    Announce,
}

/// News of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// VM of the member.
    pub vm: VmName,
    /// Life that the news is about.
    pub incarnation: Incarnation,
    /// Statement of the member that the news rests on.
    pub refutation: Refutation,
    /// State of the member.
    pub state: MemberState,
    /// Whether the member fails to read the platform.
    pub unwell: bool,
}

impl Update {
    /// Returns an upper bound of the encoded size in bytes.
    #[must_use]
    pub fn size_bound(&self) -> usize {
        UPDATE_BYTES + self.vm.as_str().len()
    }
}
