//! One HTTP/1.1 connection.

use std::io;

use bytes::Bytes;
use bytes::BytesMut;
use celeryshore_model::ByteSize;
use futures_lite::AsyncWriteExt;

use crate::Result;
use crate::error::Protocol;
use crate::net;
use crate::net::Stream;

const READ_BYTES: usize = 4 * 1_024;
const END: &[u8] = b"\r\n\r\n";
const LINE_END: &[u8] = b"\r\n";
/// Longest line between chunks.
const MAX_LINE_BYTES: usize = 8 * 1_024;

/// Longest message that is read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MessageLimits {
    pub(crate) header: ByteSize,
    pub(crate) body: ByteSize,
}

/// A connection with what was read ahead of the current message.
pub(crate) struct Connection {
    stream: Stream,
    buf: BytesMut,
}

impl Connection {
    pub(crate) fn new(stream: Stream) -> Self {
        let buf = BytesMut::new();
        Self { stream, buf }
    }

    /// Gives the bare connection back, if nothing was read ahead.
    pub(crate) fn into_idle(self) -> Option<Stream> {
        self.buf.is_empty().then_some(self.stream)
    }

    pub(crate) async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        (&*self.stream).write_all(bytes).await
    }

    /// Returns the bare connection, to write while a message is read.
    pub(crate) fn stream(&self) -> Stream {
        self.stream.clone()
    }

    /// Waits for the first byte of a message; false if the connection ends.
    pub(crate) async fn starts(&mut self) -> io::Result<bool> {
        if self.buf.is_empty() {
            self.fill().await?;
        }
        Ok(!self.buf.is_empty())
    }

    /// Waits until the other end closes the connection. What it sends in the
    /// meantime is kept for the next message, up to `limit` bytes.
    pub(crate) async fn closed(&mut self, limit: ByteSize) {
        while (self.buf.len() as u64) < limit.get() {
            if !matches!(self.fill().await, Ok(n) if n > 0) {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Reads a header with its empty line; nothing if the connection ends before it.
    pub(super) async fn head(&mut self, limit: ByteSize) -> Result<Option<Bytes>> {
        let mut searched = 0;
        loop {
            self.skip_empty_lines();
            if let Some(at) = find_end(&self.buf, searched) {
                return Ok(Some(self.buf.split_to(at + END.len()).freeze()));
            }
            if self.buf.len() as u64 > limit.get() {
                return Err(Protocol::HeadLength.into());
            }
            searched = self.buf.len();
            if self.fill().await? == 0 {
                return self.ended();
            }
        }
    }

    /// Reads a body of known length.
    pub(super) async fn body(&mut self, length: u64, limit: ByteSize) -> Result<Bytes> {
        if length > limit.get() {
            return Err(Protocol::BodyLength.into());
        }
        let length = usize::try_from(length).map_err(|_| Protocol::BodyLength)?;
        self.buf.reserve(length.saturating_sub(self.buf.len()));
        while self.buf.len() < length {
            if self.fill().await? == 0 {
                return Err(Protocol::BodyShort.into());
            }
        }
        Ok(self.buf.split_to(length).freeze())
    }

    /// Reads a body in chunks, to the end of its trailer.
    pub(super) async fn chunked(&mut self, limit: ByteSize) -> Result<Bytes> {
        let mut body = BytesMut::new();
        loop {
            let size = chunk_size(&self.line().await?)?;
            if body.len() as u64 + size > limit.get() {
                return Err(Protocol::BodyLength.into());
            }
            if size == 0 {
                break;
            }
            body.extend_from_slice(&self.body(size, limit).await?);
            if !self.line().await?.is_empty() {
                return Err(Protocol::Head.into());
            }
        }
        while !self.line().await?.is_empty() {}
        Ok(body.freeze())
    }

    /// Reads a body that ends with the connection. A reset is no such end.
    pub(super) async fn rest(&mut self, limit: ByteSize) -> Result<Bytes> {
        while self.fill().await? > 0 {
            if self.buf.len() as u64 > limit.get() {
                return Err(Protocol::BodyLength.into());
            }
        }
        Ok(self.buf.split().freeze())
    }

    /// Reads a line without its end.
    async fn line(&mut self) -> Result<Bytes> {
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
        net::read_available(&self.stream, &mut self.buf, READ_BYTES).await
    }

    fn skip_empty_lines(&mut self) {
        while self.buf.starts_with(b"\r\n") {
            let _ = self.buf.split_to(2);
        }
    }

    fn ended(&self) -> Result<Option<Bytes>> {
        if self.buf.is_empty() {
            return Ok(None);
        }
        Err(Protocol::Closed.into())
    }
}

/// Reads the size of a chunk; extensions mean nothing here.
fn chunk_size(line: &[u8]) -> Result<u64> {
    let text = std::str::from_utf8(line).map_err(|_| Protocol::Head)?;
    let size = text.split(';').next().unwrap_or_default().trim_end();
    let is_hex = !size.is_empty() && size.bytes().all(|b| b.is_ascii_hexdigit());
    if !is_hex {
        return Err(Protocol::Head.into());
    }
    Ok(u64::from_str_radix(size, 16).map_err(|_| Protocol::Head)?)
}

fn find_end(buf: &[u8], searched: usize) -> Option<usize> {
    let start = searched.saturating_sub(END.len() - 1);
    let tail = buf.get(start..)?;
    tail.windows(END.len())
        .position(|w| w == END)
        .map(|at| start + at)
}
