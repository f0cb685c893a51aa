//! TCP connections and simple timeouts.
//!
//! Each timeout of this module sets a timer of `async-io`. Timeouts that are set for
//! every message use the cheaper [`crate::timers::Timers`] instead.

use std::future::Future;
use std::io;
use std::io::Read;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_io::Async;
use async_io::Timer;
use bytes::BytesMut;
use futures_lite::FutureExt;
use futures_lite::future;

/// Far above any round-trip time within a region, and short enough to try another
/// upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long [`close_gracefully`] waits for the other end to close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
const CLOSE_READ_BYTES: usize = 4 * 1_024;

/// TCP connection that several owners may use, for example to read and write at
/// the same time.
pub(crate) type Stream = Arc<Async<TcpStream>>;

/// Opens a connection, without Nagle's algorithm since messages are small.
pub(crate) async fn connect(addr: SocketAddr) -> io::Result<Stream> {
    let stream = timeout_at(
        Instant::now() + CONNECT_TIMEOUT,
        Async::<TcpStream>::connect(addr),
    )
    .await
    .ok_or(io::ErrorKind::TimedOut)??;
    stream.get_ref().set_nodelay(true)?;
    Ok(Arc::new(stream))
}

/// Disables Nagle's algorithm on an accepted connection, since messages are small.
pub(crate) fn configure_accepted(stream: Async<TcpStream>) -> io::Result<Stream> {
    stream.get_ref().set_nodelay(true)?;
    Ok(Arc::new(stream))
}

/// Returns `true` if an idle connection is still open and has nothing to read.
///
/// Unread bytes on an idle connection belong to no request.
pub(crate) fn is_reusable(stream: &Stream) -> bool {
    let mut byte = [0];
    let peeked = stream.get_ref().peek(&mut byte);
    matches!(peeked, Err(err) if err.kind() == io::ErrorKind::WouldBlock)
}

/// Appends at most `max` available bytes to `buf` and returns their number, which
/// is zero at the end of the connection.
///
/// Cancel-safe: if the future is dropped before it is ready, `buf` is unchanged.
pub(crate) async fn read_available(
    stream: &Stream,
    buf: &mut BytesMut,
    max: usize,
) -> io::Result<usize> {
    let start = buf.len();
    loop {
        if buf.is_empty() {
            // A connection that waits for a message holds no buffer memory.
            *buf = BytesMut::new();
        }
        // Waits first, since an attempt to read would mostly find nothing.
        future::poll_fn(|cx| stream.poll_readable(cx)).await?;
        buf.resize(start + max, 0);
        let read = stream.get_ref().read(&mut buf[start..]);
        buf.truncate(start + read.as_ref().map_or(0, |count| *count));
        match read {
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
            read => return read,
        }
    }
}

/// Shuts down the sending side, then reads and discards input until the other end
/// closes or [`CLOSE_TIMEOUT`] has passed.
///
/// Closing with unread input would send a reset, which could make the other end
/// lose the last response.
pub(crate) async fn close_gracefully(stream: &Stream) {
    let mut buf = BytesMut::new();
    let drained = async {
        if stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return;
        }
        while matches!(read_available(stream, &mut buf, CLOSE_READ_BYTES).await, Ok(count) if count > 0)
        {
            buf.clear();
        }
    };
    timeout(CLOSE_TIMEOUT, drained).await;
}

/// Runs `fut` until it is ready; returns `None` if `deadline` comes first.
pub(crate) async fn timeout_at<T>(deadline: Instant, fut: impl Future<Output = T>) -> Option<T> {
    let done = async { Some(fut.await) };
    let expired = async {
        Timer::at(deadline).await;
        None
    };
    done.or(expired).await
}

/// Runs `fut` until it is ready; returns `None` once `duration` has passed.
pub(crate) async fn timeout<T>(duration: Duration, fut: impl Future<Output = T>) -> Option<T> {
    timeout_at(Instant::now() + duration, fut).await
}

/// Accepts the next connection; returns `None` if that fails.
///
/// After a failure it pauses first, since a process without free file descriptors
/// would otherwise retry in a busy loop.
pub(crate) async fn accept(listener: &Async<std::net::TcpListener>) -> Option<Stream> {
    const RETRY_DELAY: Duration = Duration::from_millis(20);
    let Ok((stream, _)) = listener.accept().await else {
        Timer::after(RETRY_DELAY).await;
        return None;
    };
    configure_accepted(stream).ok()
}
