//! Input of the codec: checked bytes, then the rest of a chunked body.

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

use crate::net::Stream;

/// Bytes that were read already, followed by those of a connection, if any.
#[derive(Clone)]
pub(super) struct Feed {
    ready: Arc<Mutex<Bytes>>,
    rest: Option<Stream>,
}

impl Feed {
    pub(super) fn new(ready: Bytes, rest: Option<Stream>) -> Self {
        let ready = Arc::new(Mutex::new(ready));
        Self { ready, rest }
    }
}

impl AsyncRead for Feed {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut ready = self.ready.lock().unwrap_or_else(PoisonError::into_inner);
        if ready.has_remaining() {
            let n = ready.remaining().min(buf.len());
            ready.copy_to_slice(&mut buf[..n]);
            return Poll::Ready(Ok(n));
        }
        match &self.rest {
            Some(stream) => Pin::new(&mut &**stream).poll_read(cx, buf),
            None => Poll::Ready(Ok(0)),
        }
    }
}

/// The codec writes only interim answers, which the connection sends itself.
impl AsyncWrite for Feed {
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
