//! One HTTP/1.1 connection.

use std::io;
use std::net::Shutdown;

use bytes::Bytes;
use bytes::BytesMut;
use celeryshore_model::ByteSize;
use futures_lite::AsyncWriteExt;

use crate::Result;
use crate::error::Protocol;
use crate::http::feed::Feed;
use crate::net;
use crate::net::Stream;

const READ_BYTES: usize = 8 * 1_024;
const END: &[u8] = b"\r\n\r\n";

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

    /// Ends the connection without a reset, which could overtake the last answer:
    /// what the other end still sends is read and dropped.
    pub(crate) async fn finish(mut self) {
        let is_open = self.stream.get_ref().shutdown(Shutdown::Write).is_ok();
        while is_open && matches!(self.fill().await, Ok(count) if count > 0) {
            self.buf.clear();
        }
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

    /// Returns the codec's input for a header alone.
    pub(super) fn feed_head(head: Bytes) -> Feed {
        Feed::new(head, None)
    }

    /// Returns the codec's input for a header and the chunks after it. What the
    /// codec reads ahead is lost, so this message is the connection's last.
    pub(super) fn feed_chunked(&mut self, head: &Bytes) -> Feed {
        let mut ready = BytesMut::from(&head[..]);
        ready.unsplit(self.buf.split());
        Feed::new(ready.freeze(), Some(self.stream.clone()))
    }

    async fn fill(&mut self) -> io::Result<usize> {
        net::read_some(&self.stream, &mut self.buf, READ_BYTES).await
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

fn find_end(buf: &[u8], searched: usize) -> Option<usize> {
    let start = searched.saturating_sub(END.len() - 1);
    let tail = buf.get(start..)?;
    tail.windows(END.len())
        .position(|w| w == END)
        .map(|at| start + at)
}
