//! Input of the codec: a header that was read and checked.

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

/// Bytes that were read already.
#[derive(Clone)]
pub(super) struct HeadInput {
    ready: Arc<Mutex<Bytes>>,
}

impl HeadInput {
    pub(super) fn new(ready: Bytes) -> Self {
        let ready = Arc::new(Mutex::new(ready));
        Self { ready }
    }
}

impl AsyncRead for HeadInput {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut ready = self.ready.lock().unwrap_or_else(PoisonError::into_inner);
        let n = ready.remaining().min(buf.len());
        ready.copy_to_slice(&mut buf[..n]);
        Poll::Ready(Ok(n))
    }
}

/// The codec writes only interim answers, which the connection sends itself.
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
