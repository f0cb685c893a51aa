//! Frames from the node that opened the connection.

use std::time::Duration;

use bytes::Bytes;
use celeryshore_kernel::CatalogRequest;
use celeryshore_kernel::Delivery;
use celeryshore_kernel::Fence;
use celeryshore_kernel::Handover;
use celeryshore_kernel::Inquiry;
use celeryshore_kernel::PeerRequest;
use celeryshore_model::Attempt;
use celeryshore_model::Depth;
use celeryshore_model::Priority;

use crate::Error;
use crate::Result;
use crate::convert::digest;
use crate::convert::kind_id;
use crate::convert::micros;
use crate::convert::parse;
use crate::convert::raw_digest;
use crate::convert::required;
use crate::convert::version;
use crate::frame;
use crate::generated::exchange as raw;
use crate::generated::exchange::handover::Delivery as RawDelivery;
use crate::generated::exchange::request_frame::Kind as RawKind;

/// Frame from the node that opened the connection.
///
/// # Example
///
/// ```
/// use celeryshore_wire::RequestFrame;
///
/// let frame = RequestFrame::Ping.encode();
/// assert_eq!(RequestFrame::decode(frame)?, RequestFrame::Ping);
/// # Ok::<(), celeryshore_wire::Error>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestFrame {
    /// Request that starts an exchange.
    Request(Box<PeerRequest>),
    /// Check that an idle connection still works; the receiver sends a pong at once.
    Ping,
    /// Request for the items of the receiver's copy of the platform's store.
    Catalog(CatalogRequest),
}

impl RequestFrame {
    /// Encodes the frame with its length prefix.
    #[must_use]
    pub fn encode(self) -> Bytes {
        let kind = match self {
            Self::Ping => RawKind::Ping(raw::Ping {}),
            Self::Catalog(request) => RawKind::Catalog(request.into()),
            Self::Request(request) => (*request).into(),
        };
        frame::encode(&raw::RequestFrame { kind: Some(kind) })
    }

    /// Decodes a complete frame with its length prefix.
    ///
    /// # Errors
    ///
    /// Fails if the frame does not contain a valid message, or if a field is missing
    /// or has an invalid value.
    pub fn decode(frame: Bytes) -> Result<Self> {
        let raw: raw::RequestFrame = frame::decode(frame)?;
        match required(raw.kind, "kind")? {
            RawKind::Ping(raw::Ping {}) => Ok(Self::Ping),
            RawKind::Catalog(raw) => Ok(Self::Catalog(raw.into())),
            RawKind::Handover(raw) => {
                let handover = Handover::try_from(raw)?;
                let request = PeerRequest::from(Box::new(handover));
                Ok(Self::Request(Box::new(request)))
            }
            RawKind::Inquiry(raw) => {
                let request = PeerRequest::from(Inquiry::try_from(raw)?);
                Ok(Self::Request(Box::new(request)))
            }
        }
    }
}

impl From<PeerRequest> for RawKind {
    fn from(request: PeerRequest) -> Self {
        match request {
            PeerRequest::Handover(handover) => Self::Handover((*handover).into()),
            PeerRequest::Inquiry(inquiry) => Self::Inquiry(inquiry.into()),
        }
    }
}

impl From<Handover> for raw::Handover {
    fn from(handover: Handover) -> Self {
        Self {
            from: handover.from.to_string(),
            version: Some(handover.version.into()),
            upstream: handover.upstream.to_string(),
            kind: Some(handover.kind.into()),
            delivery: Some(handover.delivery.into()),
            remaining_micros: micros(handover.remaining),
            depth: handover.depth.get().into(),
            fingerprint: raw_digest(&handover.fingerprint),
            casualties: handover
                .crashed_vms
                .iter()
                .map(ToString::to_string)
                .collect(),
            request: Some(handover.request.into()),
            max_wait_micros: handover.max_wait.map(micros),
            statement: handover.statement.map(Into::into),
            workspace_priority: handover.workspace_priority.map(Priority::get),
            caller_priority: handover.caller_priority.map(Priority::get),
            earlier_calls: handover.earlier_calls,
        }
    }
}

impl TryFrom<raw::Handover> for Handover {
    type Error = Error;

    fn try_from(raw: raw::Handover) -> Result<Self> {
        let depth = u8::try_from(raw.depth).map_err(|_| Error::invalid_value("depth"))?;
        let crashed_vms: Result<_> = raw.casualties.iter().map(|vm| parse(vm)).collect();
        Ok(Self {
            from: parse(&raw.from)?,
            version: version(raw.version)?,
            upstream: parse(&raw.upstream)?,
            kind: kind_id(raw.kind)?,
            delivery: required(raw.delivery, "delivery")?.try_into()?,
            remaining: Duration::from_micros(raw.remaining_micros),
            depth: Depth::new(depth),
            fingerprint: digest(&raw.fingerprint)?,
            crashed_vms: crashed_vms?,
            max_wait: raw.max_wait_micros.map(Duration::from_micros),
            statement: raw.statement.map(Into::into),
            workspace_priority: raw.workspace_priority.map(Priority::new),
            caller_priority: raw.caller_priority.map(Priority::new),
            earlier_calls: raw.earlier_calls,
            request: required(raw.request, "request")?.into(),
        })
    }
}

impl From<Delivery> for RawDelivery {
    fn from(delivery: Delivery) -> Self {
        match delivery {
            Delivery::Repeatable => Self::Repeatable(raw::Repeatable {}),
            Delivery::Once => Self::Once(raw::Once {}),
            Delivery::Keyed { key, attempt } => Self::Keyed(raw::Keyed {
                key: key.to_string(),
                attempt: attempt.map(Attempt::get),
            }),
        }
    }
}

impl TryFrom<RawDelivery> for Delivery {
    type Error = Error;

    fn try_from(raw: RawDelivery) -> Result<Self> {
        match raw {
            RawDelivery::Repeatable(_) => Ok(Self::Repeatable),
            RawDelivery::Once(_) => Ok(Self::Once),
            RawDelivery::Keyed(keyed) => Ok(Self::Keyed {
                key: parse(&keyed.key)?,
                attempt: keyed.attempt.map(Attempt::new),
            }),
        }
    }
}

impl From<Inquiry> for raw::Inquiry {
    fn from(inquiry: Inquiry) -> Self {
        Self {
            from: inquiry.from.to_string(),
            version: Some(inquiry.version.into()),
            kind: Some(inquiry.kind.into()),
            key: inquiry.key.to_string(),
            fingerprint: raw_digest(&inquiry.fingerprint),
            fence: Some(inquiry.fence.into()),
            remaining_micros: micros(inquiry.remaining),
        }
    }
}

impl TryFrom<raw::Inquiry> for Inquiry {
    type Error = Error;

    fn try_from(raw: raw::Inquiry) -> Result<Self> {
        Ok(Self {
            from: parse(&raw.from)?,
            version: version(raw.version)?,
            kind: kind_id(raw.kind)?,
            key: parse(&raw.key)?,
            fingerprint: digest(&raw.fingerprint)?,
            fence: required(raw.fence, "fence")?.try_into()?,
            remaining: Duration::from_micros(raw.remaining_micros),
        })
    }
}

impl From<Fence> for raw::Fence {
    fn from(fence: Fence) -> Self {
        Self {
            attempt: fence.attempt.get(),
            sequence: fence.sequence,
            judge: fence.judge.to_string(),
        }
    }
}

impl TryFrom<raw::Fence> for Fence {
    type Error = Error;

    fn try_from(raw: raw::Fence) -> Result<Self> {
        Ok(Self {
            attempt: Attempt::new(raw.attempt),
            sequence: raw.sequence,
            judge: parse(&raw.judge)?,
        })
    }
}
