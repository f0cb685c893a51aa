//! One connection of a caller.
//!
//! Reading and writing run concurrently: requests are read before the answers to
//! earlier ones are written, so that a caller may pipeline them. Responses are
//! written in the order of the requests.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use bytes::Bytes;
use celeryshore_kernel::Answer;
use celeryshore_kernel::CallId;
use celeryshore_model::HttpRequest;
use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;

use crate::Result;
use crate::callers::Callers;
use crate::callers::answer;
use crate::callers::record;
use crate::callers::refusal::Refusal;
use crate::callers::tracker::ConnectionGuard;
use crate::driver::Driver;
use crate::error::Protocol;
use crate::http;
use crate::http::Connection;
use crate::http::Incoming;
use crate::net;
use crate::net::Stream;

/// Highest number of requests of one connection whose responses wait to be written.
const MAX_PIPELINED: usize = 32;

/// Interval of the checks whether a connection that is to close still waits for a response.
const UNANSWERED_POLL: Duration = Duration::from_millis(20);

/// State that the reader and the writer of a connection share.
struct Session<'a> {
    callers: &'a Arc<Callers>,
    guard: &'a ConnectionGuard,
    /// Number of requests that were read but not yet answered.
    unanswered: AtomicUsize,
}

/// Next response to write.
enum PendingResponse {
    Call(Box<PendingCall>),
    Refusal(Refusal),
}

/// A request that the kernel is to answer.
struct PendingCall {
    method: Bytes,
    /// The connection closes after the response.
    closes: bool,
    start: Instant,
    call: Call,
}

/// A call that is cancelled if this is dropped before the answer has come.
struct Call {
    driver: Arc<Driver>,
    id: CallId,
    answer: Receiver<Answer>,
    is_answered: bool,
}

impl Drop for Call {
    fn drop(&mut self) {
        if !self.is_answered {
            self.driver.cancel_call(self.id);
        }
    }
}

/// Reason why no further request is read.
enum ReadEnd {
    /// The connection is closed, broken or idle. Requests without a response are
    /// cancelled.
    Disconnected,
    /// The writer has ended, and determines how the connection is closed.
    WriterDone,
}

/// Serves the requests of one connection.
pub(super) async fn serve(callers: Arc<Callers>, conn: Connection, guard: ConnectionGuard) {
    let session = Session {
        callers: &callers,
        guard: &guard,
        unanswered: AtomicUsize::new(0),
    };
    let stream = conn.stream();
    let (tx, rx) = async_channel::bounded(MAX_PIPELINED);
    let reading = async {
        if let ReadEnd::WriterDone = session.read(conn, tx).await {
            std::future::pending::<()>().await;
        }
        false
    };
    let writing = async {
        let written = session.write(&stream, rx).await;
        if let Err(err) = &written {
            slog::debug!(callers.driver.log(), "callers: connection closed"; "error" => %err);
        }
        written.is_ok()
    };
    if reading.or(writing).await {
        net::close_gracefully(&stream).await;
    }
}

impl Session<'_> {
    /// Reads requests and passes them to the kernel as they arrive.
    async fn read(&self, mut conn: Connection, tx: Sender<PendingResponse>) -> ReadEnd {
        loop {
            let pending = match self.next_request(&mut conn).await {
                Ok(Some(incoming)) => self.start_call(incoming),
                Ok(None) => return ReadEnd::Disconnected,
                Err(err) => match Refusal::from_error(&err) {
                    Some(refusal) => PendingResponse::Refusal(refusal),
                    None => return ReadEnd::Disconnected,
                },
            };
            let is_last = match &pending {
                PendingResponse::Call(call) => call.closes,
                PendingResponse::Refusal(_) => true,
            };
            self.unanswered.fetch_add(1, Ordering::Relaxed);
            if tx.send(pending).await.is_err() {
                return ReadEnd::WriterDone;
            }
            if is_last {
                drop(tx);
                conn.wait_until_closed(self.callers.limits.body).await;
                return ReadEnd::Disconnected;
            }
        }
    }

    fn start_call(&self, incoming: Incoming) -> PendingResponse {
        let Incoming { request, closes } = incoming;
        PendingResponse::Call(Box::new(PendingCall {
            method: request.method.clone(),
            closes,
            start: Instant::now(),
            call: self.call(request),
        }))
    }

    fn call(&self, request: HttpRequest) -> Call {
        let driver = self.callers.driver.clone();
        let (id, answer) = driver.start_call(request);
        Call {
            driver,
            id,
            answer,
            is_answered: false,
        }
    }

    /// Reads the next request. Returns `None` if the connection ends, is idle for
    /// too long, or is idle while the node drains.
    async fn next_request(&self, conn: &mut Connection) -> Result<Option<Incoming>> {
        if !self.wait_for_request(conn).await? {
            return Ok(None);
        }
        let limits = self.callers.limits();
        let read = http::read_request(conn, limits.message);
        let timers = &self.callers.driver.timers;
        let read = timers.timeout(limits.read_timeout, read).await;
        read.ok_or(Protocol::Timeout)?
    }

    /// Waits for the first byte of a request. Returns `false` if the connection has
    /// ended or is idle. A connection with an unanswered request is not idle.
    async fn wait_for_request(&self, conn: &mut Connection) -> Result<bool> {
        let started = async { Ok(conn.wait_for_message().await?) };
        let idle = async {
            loop {
                let deadline = Instant::now() + self.callers.limits().idle_timeout;
                self.callers.driver.timers.sleep_until(deadline).await;
                if self.unanswered.load(Ordering::Relaxed) == 0 {
                    return Ok(false);
                }
            }
        };
        let draining = async {
            self.guard.ending().await;
            while self.unanswered.load(Ordering::Relaxed) > 0 {
                let next = Instant::now() + UNANSWERED_POLL;
                self.callers.driver.timers.sleep_until(next).await;
            }
            Ok(false)
        };
        started.or(idle).or(draining).await
    }

    /// Writes responses in the order of their requests, until one closes the
    /// connection.
    async fn write(&self, stream: &Stream, rx: Receiver<PendingResponse>) -> Result<()> {
        while let Ok(pending) = rx.recv().await {
            let pending = match pending {
                PendingResponse::Call(pending) => pending,
                PendingResponse::Refusal(refusal) => {
                    record::record_refusal(refusal);
                    return self
                        .send(stream, &refusal.encode(&self.callers.driver.dialect).await)
                        .await;
                }
            };
            let PendingCall {
                method,
                closes,
                start,
                mut call,
            } = *pending;
            let Ok(answer) = call.answer.recv().await else {
                return Ok(());
            };
            call.is_answered = true;
            record::record(&answer, start);
            let is_draining = self.guard.is_closing() && rx.is_empty();
            let closes = closes || is_draining;
            let dialect = &self.callers.driver.dialect;
            let bytes = answer::encode(answer, dialect, &method, closes).await?;
            self.send(stream, &bytes).await?;
            self.unanswered.fetch_sub(1, Ordering::Relaxed);
            if closes {
                return Ok(());
            }
        }
        Ok(())
    }

    async fn send(&self, stream: &Stream, bytes: &[u8]) -> Result<()> {
        let driver = &self.callers.driver;
        let _held = driver.memory.hold(bytes.len());
        let write = async {
            let ticket = driver.uplink.ticket(bytes.len());
            let Some((ticket, size)) = ticket.zip(driver.uplink.part_size()) else {
                return (&**stream).write_all(bytes).await;
            };
            for part in bytes.chunks(size) {
                ticket.acquire(part.len()).await;
                (&**stream).write_all(part).await?;
            }
            Ok(())
        };
        let timeout = self.callers.limits().idle_timeout;
        let written = driver.timers.timeout(timeout, write).await;
        Ok(written.ok_or(Protocol::Timeout)??)
    }
}
