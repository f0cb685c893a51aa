//! One connection of a caller.
//!
//! Requests are read ahead of their answers, so that a caller may send several
//! at once; answers go out in the order of the requests.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
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

/// Requests of one connection that may be under way at one time.
const MAX_PIPELINED: usize = 32;

/// What the two directions of a connection share.
struct Served<'a> {
    callers: &'a Arc<Callers>,
    pass: &'a ConnectionGuard,
    /// Requests that were read and not answered.
    open: AtomicUsize,
}

/// A request whose answer is due, in the order of the requests.
enum Due {
    Answer(Box<Exchange>),
    Refusal(Refusal),
}

/// A request under way.
struct Exchange {
    method: Bytes,
    closes: bool,
    start: Instant,
    call: Call,
}

/// A call that is given up when this is dropped before its answer.
struct Call {
    driver: Arc<Driver>,
    id: CallId,
    answer: Receiver<Answer>,
    is_answered: bool,
}

impl Drop for Call {
    fn drop(&mut self) {
        if !self.is_answered {
            self.driver.cancel(self.id);
        }
    }
}

/// Why no further request is read.
enum End {
    /// The caller has closed the connection, or it broke.
    Gone,
    /// The answers that are due are the last ones.
    Last,
}

/// Serves the requests of one connection.
pub(super) async fn serve(callers: Arc<Callers>, conn: Connection, pass: ConnectionGuard) {
    let served = Served {
        callers: &callers,
        pass: &pass,
        open: AtomicUsize::new(0),
    };
    let stream = conn.stream();
    let (tx, rx) = async_channel::bounded(MAX_PIPELINED);
    let reading = async {
        if let End::Last = served.read(conn, tx).await {
            std::future::pending::<()>().await;
        }
        false
    };
    let writing = async {
        let written = served.write(&stream, rx).await;
        if let Err(err) = &written {
            slog::debug!(callers.driver.log(), "callers: connection closed"; "error" => %err);
        }
        written.is_ok()
    };
    if reading.or(writing).await {
        net::close_gracefully(&stream).await;
    }
}

impl Served<'_> {
    /// Reads requests and passes them on as they come.
    async fn read(&self, mut conn: Connection, tx: Sender<Due>) -> End {
        loop {
            let due = match self.next(&mut conn).await {
                Ok(Some(incoming)) => self.begin(incoming),
                Ok(None) => return End::Gone,
                Err(err) => match Refusal::of(&err) {
                    Some(refusal) => Due::Refusal(refusal),
                    None => return End::Gone,
                },
            };
            let is_last = match &due {
                Due::Answer(exchange) => exchange.closes,
                Due::Refusal(_) => true,
            };
            self.open.fetch_add(1, Ordering::Relaxed);
            if tx.send(due).await.is_err() {
                return End::Last;
            }
            if is_last {
                drop(tx);
                conn.closed(self.callers.limits.body).await;
                return End::Gone;
            }
        }
    }

    /// Passes a request on.
    fn begin(&self, incoming: Incoming) -> Due {
        let Incoming { request, closes } = incoming;
        Due::Answer(Box::new(Exchange {
            method: request.method.clone(),
            closes,
            start: Instant::now(),
            call: self.call(request),
        }))
    }

    fn call(&self, request: HttpRequest) -> Call {
        let driver = self.callers.driver.clone();
        let (id, answer) = driver.arrive(request);
        Call {
            driver,
            id,
            answer,
            is_answered: false,
        }
    }

    /// Reads the next request; nothing if the connection ends, is idle for too
    /// long, or is idle while the node leaves.
    async fn next(&self, conn: &mut Connection) -> Result<Option<Incoming>> {
        if !self.starts(conn).await? {
            return Ok(None);
        }
        let limits = self.callers.limits();
        let read = http::read_request(conn, limits.message);
        let timers = &self.callers.driver.timers;
        let read = timers.timeout(limits.progress, read).await;
        read.ok_or(Protocol::Timeout)?
    }

    /// Waits for the first byte of a request. A connection with a request under
    /// way is not idle.
    async fn starts(&self, conn: &mut Connection) -> Result<bool> {
        let started = async { Ok(conn.starts().await?) };
        let idle = async {
            loop {
                let end = Instant::now() + self.callers.limits().idle;
                self.callers.driver.timers.sleep_until(end).await;
                if self.open.load(Ordering::Relaxed) == 0 {
                    return Ok(false);
                }
            }
        };
        let leaving = async {
            self.pass.closing().await;
            loop {
                let end = Instant::now() + self.callers.limits.leaving;
                self.callers.driver.timers.sleep_until(end).await;
                if self.open.load(Ordering::Relaxed) == 0 {
                    return Ok(false);
                }
            }
        };
        started.or(idle).or(leaving).await
    }

    /// Writes answers in the order of their requests, until one is the last.
    async fn write(&self, stream: &Stream, rx: Receiver<Due>) -> Result<()> {
        while let Ok(due) = rx.recv().await {
            let exchange = match due {
                Due::Answer(exchange) => exchange,
                Due::Refusal(refusal) => {
                    record::record_refusal(refusal);
                    return self
                        .send(stream, &refusal.encode(&self.callers.driver.dialect).await)
                        .await;
                }
            };
            let Exchange {
                method,
                closes,
                start,
                mut call,
            } = *exchange;
            let Ok(answer) = call.answer.recv().await else {
                return Ok(());
            };
            call.is_answered = true;
            record::record(&answer, start);
            let is_leaving = self.pass.is_closing() && rx.is_empty();
            let closes = closes || is_leaving;
            let dialect = &self.callers.driver.dialect;
            let bytes = answer::encode(answer, dialect, &method, closes).await?;
            self.send(stream, &bytes).await?;
            self.open.fetch_sub(1, Ordering::Relaxed);
            if closes {
                return Ok(());
            }
        }
        Ok(())
    }

    async fn send(&self, stream: &Stream, bytes: &[u8]) -> Result<()> {
        let timers = &self.callers.driver.timers;
        let write = async { (&**stream).write_all(bytes).await };
        let written = timers.timeout(self.callers.limits().idle, write).await;
        Ok(written.ok_or(Protocol::Timeout)??)
    }
}
