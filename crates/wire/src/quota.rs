//! Encoding of the datagrams about quotas.

use std::time::Duration;

use bytes::Bytes;
use celeryshore_kernel::QuotaAnswer;
use celeryshore_kernel::QuotaAsk;
use celeryshore_kernel::QuotaMessage;
use prost::Message;

use crate::Result;
use crate::convert::micros;
use crate::convert::parse;
use crate::generated::control as raw;
use crate::generated::control::datagram::Body;

/// Codec of the UDP datagrams about quotas, which arrive at the same port as heartbeats. A
/// node that does not know them drops them as malformed.
///
/// # Example
///
/// ```
/// use celeryshore_kernel::QuotaAsk;
/// use celeryshore_kernel::QuotaMessage;
/// use celeryshore_wire::QuotaFrame;
///
/// let message: QuotaMessage = QuotaAsk {
///     workspace: "free".parse()?,
///     number: 7,
///     vm: "glasgow-1".parse()?,
///     wanted: 2,
///     held: 1,
///     open: 0,
/// }
/// .into();
/// let bytes = QuotaFrame::encode(message.clone());
/// assert_eq!(QuotaFrame::decode(bytes)?, Some(message));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Copy, Debug)]
pub struct QuotaFrame;

impl QuotaFrame {
    /// Encodes a message, without a length prefix.
    #[must_use]
    pub fn encode(message: QuotaMessage) -> Bytes {
        let datagram = raw::Datagram {
            sender: None,
            body: Some(message.into()),
            updates: Vec::new(),
        };
        datagram.encode_to_vec().into()
    }

    /// Decodes a datagram. Returns `None` if it is a datagram of another kind.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a datagram message, or if a field is malformed.
    pub fn decode(bytes: Bytes) -> Result<Option<QuotaMessage>> {
        match raw::Datagram::decode(bytes)?.body {
            Some(Body::QuotaAsk(ask)) => Ok(Some(QuotaAsk::try_from(ask)?.into())),
            Some(Body::QuotaAnswer(answer)) => Ok(Some(QuotaAnswer::try_from(answer)?.into())),
            _ => Ok(None),
        }
    }
}

impl From<QuotaMessage> for Body {
    fn from(message: QuotaMessage) -> Self {
        match message {
            QuotaMessage::Ask(ask) => Self::QuotaAsk(raw::QuotaAsk {
                workspace: ask.workspace.to_string(),
                number: ask.number,
                vm: ask.vm.to_string(),
                wanted: ask.wanted,
                held: ask.held,
                open: ask.open,
            }),
            QuotaMessage::Answer(answer) => Self::QuotaAnswer(raw::QuotaAnswer {
                workspace: answer.workspace.to_string(),
                number: answer.number,
                lent: answer.lent,
                interval_us: answer.interval.map(micros),
            }),
        }
    }
}

impl TryFrom<raw::QuotaAsk> for QuotaAsk {
    type Error = crate::Error;

    fn try_from(raw: raw::QuotaAsk) -> Result<Self> {
        Ok(Self {
            workspace: parse(&raw.workspace)?,
            number: raw.number,
            vm: parse(&raw.vm)?,
            wanted: raw.wanted,
            held: raw.held,
            open: raw.open,
        })
    }
}

impl TryFrom<raw::QuotaAnswer> for QuotaAnswer {
    type Error = crate::Error;

    fn try_from(raw: raw::QuotaAnswer) -> Result<Self> {
        Ok(Self {
            workspace: parse(&raw.workspace)?,
            number: raw.number,
            lent: raw.lent,
            interval: raw.interval_us.map(Duration::from_micros),
        })
    }
}
