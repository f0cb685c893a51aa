//! Input of the decoder: a header that was read and validated.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;

use bytes::Buf;
use bytes::Bytes;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;

/// In-memory stream from which the decoder reads a header.
#[derive(Clone)]
pub(super) struct HeadInput {
    head: Arc<Mutex<Bytes>>,
}

impl HeadInput {
    pub(super) fn new(head: Bytes) -> Self {
        let head = Arc::new(Mutex::new(head));
        Self { head }
    }
}

impl AsyncRead for HeadInput {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut head = self.head.lock().unwrap_or_else(PoisonError::into_inner);
        let n = head.remaining().min(buf.len());
        head.copy_to_slice(&mut buf[..n]);
        Poll::Ready(Ok(n))
    }
}

/// Discards what the decoder writes. That is only interim responses, which the
/// connection sends itself.
impl AsyncWrite for HeadInput {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
