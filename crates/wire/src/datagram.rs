//! Encoding of the datagrams between nodes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use celeryshore_kernel::Datagram;
use celeryshore_kernel::DatagramBody;
use celeryshore_kernel::MemberState;
use celeryshore_kernel::Refutation;
use celeryshore_kernel::Sender;
use celeryshore_kernel::Sequence;
use celeryshore_kernel::Update;
use celeryshore_model::Incarnation;
use prost::Message;

use crate::Error;
use crate::Result;
use crate::convert;
use crate::convert::parse;
use crate::convert::required;
use crate::generated::control as raw;
use crate::generated::control::datagram::Body;

/// Codec of the UDP datagrams between nodes.
///
/// # Example
///
/// ```
/// use bytes::Bytes;
/// use celeryshore_wire::DatagramFrame;
///
/// assert!(DatagramFrame::decode(Bytes::from_static(b"\xff")).is_err());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct DatagramFrame;

impl DatagramFrame {
    /// Encodes a datagram, without a length prefix.
    #[must_use]
    pub fn encode(datagram: Datagram) -> Bytes {
        raw::Datagram::from(datagram).encode_to_vec().into()
    }

    /// Decodes a complete datagram.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a datagram message, or if a field is missing or
    /// malformed.
    pub fn decode(bytes: Bytes) -> Result<Datagram> {
        raw::Datagram::decode(bytes)?.try_into()
    }
}

impl From<Datagram> for raw::Datagram {
    fn from(datagram: Datagram) -> Self {
        Self {
            sender: Some(datagram.sender.into()),
            body: Some(datagram.body.into()),
            updates: datagram.updates.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<raw::Datagram> for Datagram {
    type Error = Error;

    fn try_from(raw: raw::Datagram) -> Result<Self> {
        let updates = raw.updates.into_iter().map(TryInto::try_into);
        Ok(Self {
            sender: required(raw.sender, "sender")?.try_into()?,
            body: required(raw.body, "body")?.try_into()?,
            updates: updates.collect::<Result<_>>()?,
        })
    }
}

impl From<Sender> for raw::Sender {
    fn from(sender: Sender) -> Self {
        Self {
            vm: sender.vm.to_string(),
            zone: sender.zone.to_string(),
            incarnation: sender.incarnation.0,
            refutation: sender.refutation.0,
            control: sender.control.to_string(),
            version: Some(sender.version.into()),
            view_age_ms: sender.view_age.map(millis),
            leaving: sender.leaving,
            unwell: sender.unwell,
        }
    }
}

/// Returns a duration in milliseconds, saturating at `u64::MAX`.
fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

impl TryFrom<raw::Sender> for Sender {
    type Error = Error;

    fn try_from(raw: raw::Sender) -> Result<Self> {
        Ok(Self {
            vm: parse(&raw.vm)?,
            zone: parse(&raw.zone)?,
            incarnation: Incarnation(raw.incarnation),
            refutation: Refutation(raw.refutation),
            control: parse_address(&raw.control)?,
            version: convert::version(raw.version)?,
            view_age: raw.view_age_ms.map(Duration::from_millis),
            leaving: raw.leaving,
            unwell: raw.unwell,
        })
    }
}

/// Parses the IP address and port of a node.
pub(crate) fn parse_address(value: &str) -> Result<SocketAddr> {
    value.parse().map_err(|_| Error::invalid_value("address"))
}

impl From<DatagramBody> for Body {
    fn from(body: DatagramBody) -> Self {
        match body {
            DatagramBody::Ping(sequence) => Self::Ping(sequence.0),
            DatagramBody::Ack(sequence) => Self::Ack(sequence.0),
            DatagramBody::PingRequest {
                sequence,
                target,
                peer,
            } => Self::PingRequest(raw::PingRequest {
                sequence: sequence.0,
                target: target.to_string(),
                peer: peer.to_string(),
            }),
            DatagramBody::Announce => Self::Announce(raw::Announce {}),
        }
    }
}

impl TryFrom<Body> for DatagramBody {
    type Error = Error;

    fn try_from(raw: Body) -> Result<Self> {
        Ok(match raw {
            Body::Ping(sequence) => Self::Ping(Sequence(sequence)),
            Body::Ack(sequence) => Self::Ack(Sequence(sequence)),
            Body::PingRequest(req) => Self::PingRequest {
                sequence: Sequence(req.sequence),
                target: parse(&req.target)?,
                peer: parse_address(&req.peer)?,
            },
            Body::Announce(_) => Self::Announce,
            Body::QuotaAsk(_) | Body::QuotaAnswer(_) => return Err(Error::invalid_value("body")),
        })
    }
}

impl From<Update> for raw::Update {
    fn from(update: Update) -> Self {
        Self {
            vm: update.vm.to_string(),
            incarnation: update.incarnation.0,
            refutation: update.refutation.0,
            state: raw::MemberState::from(update.state).into(),
            unwell: update.unwell,
        }
    }
}

impl TryFrom<raw::Update> for Update {
    type Error = Error;

    fn try_from(raw: raw::Update) -> Result<Self> {
        Ok(Self {
            vm: parse(&raw.vm)?,
            incarnation: Incarnation(raw.incarnation),
            refutation: Refutation(raw.refutation),
            state: raw.state().try_into()?,
            unwell: raw.unwell,
        })
    }
}

impl From<MemberState> for raw::MemberState {
    fn from(state: MemberState) -> Self {
        match state {
            MemberState::Alive => Self::Alive,
            MemberState::Suspect => Self::Suspect,
            MemberState::Dead => Self::Dead,
            MemberState::Leaving => Self::Leaving,
        }
    }
}

impl TryFrom<raw::MemberState> for MemberState {
    type Error = Error;

    fn try_from(raw: raw::MemberState) -> Result<Self> {
        match raw {
            raw::MemberState::Unspecified => Err(Error::invalid_value("state")),
            raw::MemberState::Alive => Ok(Self::Alive),
            raw::MemberState::Suspect => Ok(Self::Suspect),
            raw::MemberState::Dead => Ok(Self::Dead),
            raw::MemberState::Leaving => Ok(Self::Leaving),
        }
    }
}
