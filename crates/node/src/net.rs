//! Sockets and timeouts.

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

/// Time to open a connection: far more than any way within a region takes, and
/// short enough to try elsewhere.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which the other end may still send after the last answer.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
const CLOSE_READ_BYTES: usize = 4 * 1_024;

/// A TCP connection that several owners may use.
pub(crate) type Stream = Arc<Async<TcpStream>>;

/// Opens a connection for small messages.
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

/// Prepares an accepted connection for small messages.
pub(crate) fn configure_accepted(stream: Async<TcpStream>) -> io::Result<Stream> {
    stream.get_ref().set_nodelay(true)?;
    Ok(Arc::new(stream))
}

/// Tells whether an idle connection can still be used: open, and nothing to read.
pub(crate) fn is_reusable(stream: &Stream) -> bool {
    let mut byte = [0];
    let peeked = stream.get_ref().peek(&mut byte);
    matches!(peeked, Err(err) if err.kind() == io::ErrorKind::WouldBlock)
}

/// Appends at most `max` bytes to `buf`; none at the end of the connection.
///
/// If the future is dropped before it is ready, `buf` is as it was.
pub(crate) async fn read_available(
    stream: &Stream,
    buf: &mut BytesMut,
    max: usize,
) -> io::Result<usize> {
    let start = buf.len();
    loop {
        if buf.is_empty() {
            // A connection that waits for a message holds no memory.
            *buf = BytesMut::new();
        }
        // Mostly there is nothing to read yet, so a first attempt would be wasted.
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

/// Ends a connection without a reset, which could overtake the last answer: what
/// the other end still sends is read and dropped, for a short time.
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

/// Runs `fut` until it is ready or the time has come.
pub(crate) async fn timeout_at<T>(end: Instant, fut: impl Future<Output = T>) -> Option<T> {
    let done = async { Some(fut.await) };
    let late = async {
        Timer::at(end).await;
        None
    };
    done.or(late).await
}

/// Runs `fut` for at most `span`.
pub(crate) async fn timeout<T>(span: Duration, fut: impl Future<Output = T>) -> Option<T> {
    timeout_at(Instant::now() + span, fut).await
}

/// Accepts the next connection; an exhausted process pauses before the next try.
pub(crate) async fn accept(listener: &Async<std::net::TcpListener>) -> Option<Stream> {
    const PAUSE: Duration = Duration::from_millis(20);
    let Ok((stream, _)) = listener.accept().await else {
        Timer::after(PAUSE).await;
        return None;
    };
    configure_accepted(stream).ok()
}
