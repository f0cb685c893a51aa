//! One connection of a caller.

use std::sync::Arc;
use std::time::Instant;

use async_io::Timer;
use celeryshore_kernel::Answer;
use celeryshore_model::HttpRequest;
use futures_lite::FutureExt;

use crate::Error;
use crate::Result;
use crate::callers::Callers;
use crate::callers::LEAVING_GRACE;
use crate::callers::answer;
use crate::callers::gate::Pass;
use crate::callers::record;
use crate::callers::refusal::Refusal;
use crate::callers::refuse;
use crate::error::Protocol;
use crate::http;
use crate::http::Connection;
use crate::http::Incoming;
use crate::http::MessageLimits;

/// Serves the requests of one connection, one after the other.
pub(super) async fn serve(callers: Arc<Callers>, mut conn: Connection, pass: Pass) {
    loop {
        let incoming = match next_request(&callers, &mut conn, &pass).await {
            Ok(Some(incoming)) => incoming,
            Ok(None) => return,
            Err(err) => return end(&callers, conn, &err).await,
        };
        match answer(&callers, &mut conn, &pass, incoming).await {
            Ok(Next::Read) => {}
            Ok(Next::Close) => return,
            Err(err) => return log(&callers, &err),
        }
    }
}

/// Ends the connection of a request that could not be read.
async fn end(callers: &Callers, conn: Connection, err: &Error) {
    log(callers, err);
    if let Some(refusal) = Refusal::of(err) {
        refuse(conn, refusal).await;
    }
}

fn log(callers: &Callers, err: &Error) {
    slog::debug!(callers.driver.log(), "callers: connection closed"; "error" => %err);
}

/// What becomes of a connection.
enum Next {
    Read,
    Close,
}

async fn answer(
    callers: &Arc<Callers>,
    conn: &mut Connection,
    pass: &Pass,
    incoming: Incoming,
) -> Result<Next> {
    let method = incoming.request.method.clone();
    let start = Instant::now();
    let Some(answer) = decide(callers, conn, incoming.request).await else {
        return Ok(Next::Close);
    };
    record::record(&answer, start);
    let closes = incoming.closes || pass.is_closing();
    let bytes = answer::encode(answer, &method, closes).await?;
    write(callers, conn, &bytes).await?;
    Ok(if closes { Next::Close } else { Next::Read })
}

/// Reads the next request; nothing if the connection is idle for too long, or
/// idle while the node leaves.
async fn next_request(
    callers: &Callers,
    conn: &mut Connection,
    pass: &Pass,
) -> Result<Option<Incoming>> {
    if !starts(callers, conn, pass).await? {
        return Ok(None);
    }
    let limits = MessageLimits {
        header: callers.limits.header,
        body: callers.limits.body,
    };
    let read = callers
        .driver
        .timers
        .within(callers.limits.idle, http::read_request(conn, limits))
        .await;
    read.ok_or(Protocol::Timeout)?
}

/// Waits for the first byte of a request.
async fn starts(callers: &Callers, conn: &mut Connection, pass: &Pass) -> Result<bool> {
    let started = async { Ok(conn.starts().await?) };
    let idle = async {
        let end = Instant::now() + callers.limits.idle;
        callers.driver.timers.sleep(end).await;
        Ok(false)
    };
    let leaving = async {
        pass.closing().await;
        Timer::after(LEAVING_GRACE).await;
        Ok(false)
    };
    started.or(idle).or(leaving).await
}

/// Waits for the answer; nothing if the caller closes its connection before it.
async fn decide(
    callers: &Arc<Callers>,
    conn: &mut Connection,
    request: HttpRequest,
) -> Option<Answer> {
    let (call, answer) = callers.driver.arrive(request);
    let answered = async { answer.recv().await.ok() };
    let closed = async {
        conn.closed(callers.limits.body).await;
        None
    };
    let answer = answered.or(closed).await;
    if answer.is_none() {
        callers.driver.cancel(call);
    }
    answer
}

async fn write(callers: &Callers, conn: &Connection, bytes: &[u8]) -> Result<()> {
    let written = callers
        .driver
        .timers
        .within(callers.limits.idle, conn.write(bytes))
        .await;
    Ok(written.ok_or(Protocol::Timeout)??)
}
