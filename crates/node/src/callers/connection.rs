//! One connection of a caller.
//!
//! Reading and writing run concurrently: requests are read before the answers to
//! earlier ones are written, so that a caller may pipeline them. Responses are
//! written in the order of the requests.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use bytes::Bytes;
use celeryshore_kernel::Answer;
use celeryshore_kernel::CallId;
use celeryshore_kernel::Pipeline;
use celeryshore_kernel::PipelineStep;
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

/// State that the reader and the writer of a connection share.
struct Session<'a> {
    callers: &'a Arc<Callers>,
    guard: &'a ConnectionGuard,
    pipeline: Mutex<Pipeline>,
    /// Tells the reader that a response has been written.
    written: (Sender<()>, Receiver<()>),
}

/// Next response to write.
enum PendingResponse {
    Call(Box<PendingCall>),
    Refusal(Refusal),
}

/// A request that the kernel is to answer.
struct PendingCall {
    method: Bytes,
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
        pipeline: Mutex::default(),
        written: async_channel::bounded(1),
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
            let read = match self.next_request(&mut conn).await {
                Ok(Some(incoming)) => Ok(incoming),
                Ok(None) => return ReadEnd::Disconnected,
                Err(err) => match Refusal::from_error(&err) {
                    Some(refusal) => Err(refusal),
                    None => return ReadEnd::Disconnected,
                },
            };
            let is_last = read.as_ref().map_or(true, |incoming| incoming.closes);
            if let Some(end) = self.admit(&mut conn, is_last).await {
                return end;
            }
            let pending = match read {
                Ok(incoming) => self.start_call(incoming.request),
                Err(refusal) => PendingResponse::Refusal(refusal),
            };
            if tx.send(pending).await.is_err() {
                return ReadEnd::WriterDone;
            }
            if self.pipeline().is_closed() {
                drop(tx);
                conn.wait_until_closed(self.callers.limits.body).await;
                return ReadEnd::Disconnected;
            }
        }
    }

    /// Waits until a request that was read may be passed on. Returns why it may not, if an
    /// earlier response closes the connection or its caller does.
    async fn admit(&self, conn: &mut Connection, is_last: bool) -> Option<ReadEnd> {
        let admitted = async {
            loop {
                let now = self.callers.driver.now().mono;
                let is_stopping = self.guard.is_closing();
                let step = self.pipeline().admit(now, is_last, is_stopping);
                match step {
                    PipelineStep::PassOn => return None,
                    PipelineStep::Reject => return Some(ReadEnd::WriterDone),
                    PipelineStep::Wait => self.wait_until_written().await,
                }
            }
        };
        let disconnected = async {
            conn.wait_until_closed(self.callers.limits.body).await;
            Some(ReadEnd::Disconnected)
        };
        admitted.or(disconnected).await
    }

    fn pipeline(&self) -> MutexGuard<'_, Pipeline> {
        self.pipeline.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the writer has written a response, or has ended.
    async fn wait_until_written(&self) {
        let _ = self.written.1.recv().await;
    }

    fn start_call(&self, request: HttpRequest) -> PendingResponse {
        PendingResponse::Call(Box::new(PendingCall {
            method: request.method.clone(),
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
                if self.pipeline().close_idle() {
                    return Ok(false);
                }
            }
        };
        let draining = async {
            self.guard.ending().await;
            while !self.pipeline().close_idle() {
                self.wait_until_written().await;
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
                start,
                mut call,
            } = *pending;
            let Ok(answer) = call.answer.recv().await else {
                return Ok(());
            };
            call.is_answered = true;
            record::record(&answer, start);
            let closes = self.pipeline().closes(self.guard.is_closing());
            let dialect = &self.callers.driver.dialect;
            let bytes = answer::encode(answer, dialect, &method, closes).await?;
            self.send(stream, &bytes).await?;
            self.pipeline().finish();
            // A full channel has woken the reader already.
            let _ = self.written.0.try_send(());
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
