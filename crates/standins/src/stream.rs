//! TCP stream that several tasks share.

use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use async_io::Async;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;

/// TCP stream that several tasks share. Clones refer to the same socket.
#[derive(Clone, Debug)]
pub struct Stream(Arc<Async<TcpStream>>);

impl Stream {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection can't be established.
    pub async fn connect(addr: SocketAddr) -> io::Result<Self> {
        Self::new(Async::<TcpStream>::connect(addr).await?)
    }

    /// Wraps a socket and disables Nagle's algorithm.
    ///
    /// # Errors
    ///
    /// Fails if the socket option can't be set.
    pub fn new(stream: Async<TcpStream>) -> io::Result<Self> {
        stream.get_ref().set_nodelay(true)?;
        Ok(Self(Arc::new(stream)))
    }

    /// Waits until the peer closes the connection or it fails.
    ///
    /// If the peer sends further bytes first, this never returns.
    pub async fn wait_until_closed(&self) {
        let mut byte = [0];
        match self.0.peek(&mut byte).await {
            Ok(0) | Err(_) => (),
            Ok(_) => std::future::pending().await,
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.0).poll_read(cx, buf)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.0).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.0).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.0).poll_close(cx)
    }
}
