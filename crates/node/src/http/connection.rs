//! HTTP/1.1 connection that reads one message at a time, within limits.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use celeryshore_model::ByteSize;
use futures_lite::AsyncWriteExt;

use crate::Result;
use crate::error::Protocol;
use crate::memory::BodyMemory;
use crate::memory::Reservation;
use crate::net;
use crate::net::Stream;

const READ_BYTES: usize = 16 * 1_024;
const HEAD_END: &[u8] = b"\r\n\r\n";
const LINE_END: &[u8] = b"\r\n";
/// Longest line with a chunk size, and longest trailer.
const MAX_LINE_BYTES: usize = 8 * 1_024;
/// Bytes that the framing of a chunked body may take beyond [`MAX_LINE_BYTES`], for each
/// byte of the body. Chunks of one byte take five.
const MAX_FRAMING_PER_BYTE: u64 = 8;

/// Longest header and body that are read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MessageLimits {
    pub(crate) header: ByteSize,
    pub(crate) body: ByteSize,
}

/// A connection with the bytes that were read beyond the current message.
pub(crate) struct Connection {
    stream: Stream,
    buf: BytesMut,
    /// Limit on the memory of bodies; absent if they are small.
    memory: Option<Arc<BodyMemory>>,
    /// Longest time without any bytes within a message; absent if the caller of a read
    /// limits its time.
    progress_timeout: Option<Duration>,
}

impl Connection {
    pub(crate) fn new(stream: Stream) -> Self {
        Self {
            stream,
            buf: BytesMut::new(),
            memory: None,
            progress_timeout: None,
        }
    }

    /// Limits the time for which a read may wait for the next bytes.
    pub(crate) fn with_progress_timeout(self, timeout: Duration) -> Self {
        Self {
            progress_timeout: Some(timeout),
            ..self
        }
    }

    /// Counts the memory of the bodies that are read.
    pub(crate) fn with_memory(self, memory: Arc<BodyMemory>) -> Self {
        Self {
            memory: Some(memory),
            ..self
        }
    }

    /// Returns the connection, or `None` if bytes were read beyond the last message.
    pub(crate) fn into_idle(self) -> Option<Stream> {
        self.buf.is_empty().then_some(self.stream)
    }

    pub(crate) async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        (&*self.stream).write_all(bytes).await
    }

    /// Returns the underlying connection, to write while a message is read.
    pub(crate) fn stream(&self) -> Stream {
        self.stream.clone()
    }

    /// Waits for the first byte of a message; returns `false` if the connection ends.
    pub(crate) async fn wait_for_message(&mut self) -> io::Result<bool> {
        if self.buf.is_empty() {
            self.fill().await?;
        }
        Ok(!self.buf.is_empty())
    }

    /// Waits until the other end closes the connection.
    ///
    /// Bytes that it sends meanwhile are kept for the next message. After `limit`
    /// bytes nothing more is read, and the future never becomes ready.
    pub(crate) async fn wait_until_closed(&mut self, limit: ByteSize) {
        while (self.buf.len() as u64) < limit.get() {
            if !matches!(self.fill().await, Ok(n) if n > 0) {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Reads a header up to and including its empty line; returns `None` if the
    /// connection ends before it. Empty lines before it count towards the limit.
    pub(super) async fn read_head(&mut self, limit: ByteSize) -> Result<Option<Bytes>> {
        let mut searched = 0;
        let mut skipped = 0;
        loop {
            skipped += self.skip_empty_lines();
            if let Some(at) = find_head_end(&self.buf, searched) {
                return Ok(Some(self.buf.split_to(at + HEAD_END.len()).freeze()));
            }
            if (skipped + self.buf.len()) as u64 > limit.get() {
                return Err(Protocol::HeadLength.into());
            }
            searched = self.buf.len();
            if self.fill().await? == 0 {
                return self.end_of_stream();
            }
        }
    }

    /// Reads a body of known length.
    pub(super) async fn read_body(&mut self, length: u64, limit: ByteSize) -> Result<Bytes> {
        if length > limit.get() {
            return Err(Protocol::BodyLength.into());
        }
        let length = usize::try_from(length).map_err(|_| Protocol::BodyLength)?;
        let mut reservation = Reservation::new(self.memory.clone());
        let body = self.read_part(length, 0, &mut reservation).await?;
        Ok(reservation.attach(body))
    }

    /// Reads `length` bytes of a body, after `before` bytes of it.
    async fn read_part(
        &mut self,
        length: usize,
        before: usize,
        reservation: &mut Reservation,
    ) -> Result<Bytes> {
        while self.buf.len() < length {
            if self.fill().await? == 0 {
                return Err(Protocol::BodyShort.into());
            }
            reservation.grow(before + self.buf.len())?;
        }
        Ok(self.buf.split_to(length).freeze())
    }

    /// Reads a chunked body and skips its trailer. The length of its framing is limited
    /// by that of the body.
    pub(super) async fn read_chunked_body(&mut self, limit: ByteSize) -> Result<Bytes> {
        let mut body = BytesMut::new();
        let mut reservation = Reservation::new(self.memory.clone());
        let mut framing = 0;
        loop {
            let line = self.read_line().await?;
            let size = chunk_size(&line)?;
            framing += line.len() as u64;
            if framing > MAX_LINE_BYTES as u64 + MAX_FRAMING_PER_BYTE * body.len() as u64 {
                return Err(Protocol::HeadLength.into());
            }
            if body.len() as u64 + size > limit.get() {
                return Err(Protocol::BodyLength.into());
            }
            if size == 0 {
                break;
            }
            let size = usize::try_from(size).map_err(|_| Protocol::BodyLength)?;
            let part = self.read_part(size, body.len(), &mut reservation).await?;
            body.extend_from_slice(&part);
            reservation.grow(body.len())?;
            if !self.read_line().await?.is_empty() {
                return Err(Protocol::Head.into());
            }
        }
        self.skip_trailer().await?;
        Ok(reservation.attach(body.freeze()))
    }

    async fn skip_trailer(&mut self) -> Result<()> {
        let mut skipped = 0;
        loop {
            let line = self.read_line().await?;
            if line.is_empty() {
                return Ok(());
            }
            skipped += line.len() + LINE_END.len();
            if skipped > MAX_LINE_BYTES {
                return Err(Protocol::HeadLength.into());
            }
        }
    }

    /// Reads a body that ends when the connection is closed. A reset is an error.
    pub(super) async fn read_to_end(&mut self, limit: ByteSize) -> Result<Bytes> {
        let mut reservation = Reservation::new(self.memory.clone());
        while self.fill().await? > 0 {
            if self.buf.len() as u64 > limit.get() {
                return Err(Protocol::BodyLength.into());
            }
            reservation.grow(self.buf.len())?;
        }
        Ok(reservation.attach(self.buf.split().freeze()))
    }

    /// Reads a line and returns it without its line break.
    async fn read_line(&mut self) -> Result<Bytes> {
        loop {
            if let Some(at) = self.buf.windows(LINE_END.len()).position(|w| w == LINE_END) {
                let line = self.buf.split_to(at).freeze();
                let _ = self.buf.split_to(LINE_END.len());
                return Ok(line);
            }
            if self.buf.len() > MAX_LINE_BYTES {
                return Err(Protocol::HeadLength.into());
            }
            if self.fill().await? == 0 {
                return Err(Protocol::BodyShort.into());
            }
        }
    }

    async fn fill(&mut self) -> io::Result<usize> {
        let read = net::read_available(&self.stream, &mut self.buf, READ_BYTES);
        match self.progress_timeout {
            Some(timeout) => net::timeout(timeout, read)
                .await
                .ok_or(io::ErrorKind::TimedOut)?,
            None => read.await,
        }
    }

    /// Skips empty lines and returns the number of their bytes.
    fn skip_empty_lines(&mut self) -> usize {
        let lines = self.buf.chunks_exact(LINE_END.len());
        let skipped = LINE_END.len() * lines.take_while(|line| *line == LINE_END).count();
        let _ = self.buf.split_to(skipped);
        skipped
    }

    fn end_of_stream(&self) -> Result<Option<Bytes>> {
        if self.buf.is_empty() {
            return Ok(None);
        }
        Err(Protocol::Closed.into())
    }
}

/// Parses the size of a chunk and ignores its extensions.
fn chunk_size(line: &[u8]) -> Result<u64> {
    let text = std::str::from_utf8(line).map_err(|_| Protocol::Head)?;
    let size = text.split(';').next().unwrap_or_default().trim_end();
    let is_hex = !size.is_empty() && size.bytes().all(|b| b.is_ascii_hexdigit());
    if !is_hex {
        return Err(Protocol::Head.into());
    }
    Ok(u64::from_str_radix(size, 16).map_err(|_| Protocol::Head)?)
}

/// Returns the position of the end of a header. The first `searched` bytes are known
/// not to contain all of it.
fn find_head_end(buf: &[u8], searched: usize) -> Option<usize> {
    let start = searched.saturating_sub(HEAD_END.len() - 1);
    let tail = buf.get(start..)?;
    tail.windows(HEAD_END.len())
        .position(|w| w == HEAD_END)
        .map(|at| start + at)
}
