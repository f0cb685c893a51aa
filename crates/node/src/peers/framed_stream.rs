//! Length-prefixed frames on a connection between two nodes.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use celeryshore_model::ByteSize;
use celeryshore_wire::FrameLimit;
use futures_lite::AsyncWriteExt;

use crate::Result;
use crate::error::Protocol;
use crate::memory::BodyMemory;
use crate::memory::Reservation;
use crate::net;
use crate::net::Stream;

const READ_BYTES: usize = 16 * 1_024;
/// Longest body that settings allow (64 MiB), and 1 MiB for the header.
const MAX_FRAME: FrameLimit = FrameLimit(ByteSize::new(65 * 1_024 * 1_024));

/// A connection with the bytes that were read beyond the current frame.
pub(super) struct FramedStream {
    stream: Stream,
    buf: BytesMut,
    memory: Arc<BodyMemory>,
    /// Memory of the frame that is being read.
    reservation: Reservation,
}

/// Result of one read of a frame.
pub(super) enum Part {
    /// The frame is complete.
    Frame(Bytes),
    /// Some bytes of the frame arrived.
    Bytes,
    /// The connection ended before the frame.
    End,
}

impl FramedStream {
    pub(super) fn new(stream: Stream, memory: &Arc<BodyMemory>) -> Self {
        Self {
            stream,
            buf: BytesMut::new(),
            memory: memory.clone(),
            reservation: Reservation::new(Some(memory.clone())),
        }
    }

    /// Returns the connection, or `None` if bytes were read beyond the last frame.
    pub(super) fn into_idle(self) -> Option<Stream> {
        self.buf.is_empty().then_some(self.stream)
    }

    /// Reads a complete frame; returns `None` if the connection ends before it.
    pub(super) async fn read(&mut self) -> Result<Option<Bytes>> {
        loop {
            match self.read_part().await? {
                Part::Frame(frame) => return Ok(Some(frame)),
                Part::Bytes => {}
                Part::End => return Ok(None),
            }
        }
    }

    /// Returns the next frame if it is complete, or reads some bytes of it.
    ///
    /// Cancel-safe: bytes that were read are kept.
    pub(super) async fn read_part(&mut self) -> Result<Part> {
        let size = celeryshore_wire::frame_size(&self.buf, MAX_FRAME)?;
        if let Some(size) = size
            && self.buf.len() >= size
        {
            let next = Reservation::new(Some(self.memory.clone()));
            let reservation = std::mem::replace(&mut self.reservation, next);
            return Ok(Part::Frame(
                reservation.attach(self.buf.split_to(size).freeze()),
            ));
        }
        if self.fill().await? > 0 {
            self.reservation.grow(self.buf.len())?;
            return Ok(Part::Bytes);
        }
        if self.buf.is_empty() {
            return Ok(Part::End);
        }
        Err(Protocol::Closed.into())
    }

    /// Waits until the other end closes the connection or sends bytes, which it must
    /// not do before it has the reply.
    pub(super) async fn interrupted(&mut self) {
        let _ = self.fill().await;
    }

    /// Writes as many bytes of a frame as the socket accepts at once, and returns
    /// their number.
    pub(super) async fn write_some(&self, frame: &[u8]) -> io::Result<usize> {
        (&*self.stream).write(frame).await
    }

    pub(super) async fn write(&self, frame: &[u8]) -> io::Result<()> {
        (&*self.stream).write_all(frame).await
    }

    async fn fill(&mut self) -> io::Result<usize> {
        net::read_available(&self.stream, &mut self.buf, READ_BYTES).await
    }
}
