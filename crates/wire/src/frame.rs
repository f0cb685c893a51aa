//! Length-delimited frames: a message with its length as a prefix.

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use celeryshore_model::ByteSize;
use derive_more::From;
use prost::Message;

use crate::Error;
use crate::Result;

/// Size of the length prefix, a big-endian integer.
const PREFIX_BYTES: usize = size_of::<u32>();

/// Longest message that a receiver accepts, without the length prefix.
#[derive(Clone, Copy, Debug, From, PartialEq, Eq)]
pub struct FrameLimit(pub ByteSize);

/// Returns the size of the frame at the start of `head` in bytes, including its
/// length prefix, or `None` if the prefix is incomplete.
///
/// # Errors
///
/// Fails if the message in the frame is longer than the limit.
///
/// # Example
///
/// ```
/// use celeryshore_model::ByteSize;
/// use celeryshore_wire::FrameLimit;
/// use celeryshore_wire::RequestFrame;
///
/// let limit = FrameLimit(ByteSize::new(1_024));
/// let frame = RequestFrame::Ping.encode();
/// assert_eq!(celeryshore_wire::frame_size(&frame, limit)?, Some(frame.len()));
/// assert_eq!(celeryshore_wire::frame_size(&frame[..2], limit)?, None);
/// assert!(celeryshore_wire::frame_size(b"GET / HTTP/1.1", limit).is_err());
/// # Ok::<(), celeryshore_wire::Error>(())
/// ```
pub fn frame_size(head: &[u8], limit: FrameLimit) -> Result<Option<usize>> {
    let Some(prefix) = head.first_chunk::<PREFIX_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*prefix);
    let limit = limit.0.get();
    if u64::from(length) > limit {
        return Err(Error::too_long(length.into(), limit));
    }
    Ok(Some(PREFIX_BYTES + length as usize))
}

/// Encodes a message as a frame.
pub(crate) fn encode(message: &impl Message) -> Bytes {
    let length = message.encoded_len();
    let mut buf = BytesMut::with_capacity(PREFIX_BYTES + length);
    buf.put_u32(u32::try_from(length).unwrap_or(u32::MAX));
    message.encode_raw(&mut buf);
    buf.freeze()
}

/// Decodes the message in a complete frame.
pub(crate) fn decode<M: Message + Default>(mut frame: Bytes) -> Result<M> {
    let payload = frame.split_off(PREFIX_BYTES.min(frame.len()));
    Ok(M::decode(payload)?)
}
