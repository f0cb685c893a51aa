//! Stream of length-prefixed frames between two nodes.

use std::io;

use bytes::Bytes;
use bytes::BytesMut;
use celeryshore_model::ByteSize;
use celeryshore_wire::FrameLimit;
use futures_lite::AsyncWriteExt;

use crate::Result;
use crate::error::Protocol;
use crate::net;
use crate::net::Stream;

const READ_BYTES: usize = 4 * 1_024;
/// Longest body that settings allow, and its header.
const LIMIT: FrameLimit = FrameLimit(ByteSize::new(65 * 1_024 * 1_024));

/// A connection with what was read ahead of the current frame.
pub(super) struct FramedStream {
    stream: Stream,
    buf: BytesMut,
}

impl FramedStream {
    pub(super) fn new(stream: Stream) -> Self {
        let buf = BytesMut::new();
        Self { stream, buf }
    }

    /// Gives the bare connection back, if nothing was read ahead.
    pub(super) fn into_idle(self) -> Option<Stream> {
        self.buf.is_empty().then_some(self.stream)
    }

    /// Reads a whole frame; nothing if the connection ends before it.
    pub(super) async fn read(&mut self) -> Result<Option<Bytes>> {
        loop {
            let size = celeryshore_wire::frame_size(&self.buf, LIMIT)?;
            if let Some(size) = size
                && self.buf.len() >= size
            {
                return Ok(Some(self.buf.split_to(size).freeze()));
            }
            if self.fill().await? == 0 {
                return self.ended();
            }
        }
    }

    /// Waits until the other end closes the connection or sends out of turn.
    pub(super) async fn interrupted(&mut self) {
        let _ = self.fill().await;
    }

    /// Writes the first bytes of a frame and returns their number.
    pub(super) async fn write_some(&self, frame: &[u8]) -> io::Result<usize> {
        (&*self.stream).write(frame).await
    }

    pub(super) async fn write(&self, frame: &[u8]) -> io::Result<()> {
        (&*self.stream).write_all(frame).await
    }

    async fn fill(&mut self) -> io::Result<usize> {
        net::read_available(&self.stream, &mut self.buf, READ_BYTES).await
    }

    fn ended(&self) -> Result<Option<Bytes>> {
        if self.buf.is_empty() {
            return Ok(None);
        }
        Err(Protocol::Closed.into())
    }
}
