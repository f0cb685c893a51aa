//! Port at which the platform asks whether callers may be sent here.

use std::net::TcpListener;
use std::sync::Arc;

use async_io::Async;
use celeryshore_model::HttpResponse;

use super::IDLE_TIMEOUT;
use super::LIMITS;
use super::Next;
use super::Operators;
use super::page::Page;
use super::ready;
use crate::Result;
use crate::error::Protocol;
use crate::http;
use crate::http::Connection;
use crate::net;

/// Accepts connections until the task is dropped.
pub(crate) async fn listen_ready(
    operators: Arc<Operators>,
    listener: Async<TcpListener>,
    path: &'static str,
) {
    loop {
        let Some(stream) = net::accept(&listener).await else {
            continue;
        };
        let served = serve(operators.clone(), Connection::new(stream), path);
        operators.callers.driver.spawn(served);
    }
}

async fn serve(operators: Arc<Operators>, mut conn: Connection, path: &'static str) {
    while let Ok(Next::Read) = serve_one(&operators, &mut conn, path).await {}
}

async fn serve_one(operators: &Operators, conn: &mut Connection, path: &str) -> Result<Next> {
    let read = net::within(IDLE_TIMEOUT, http::read_request(conn, LIMITS)).await;
    let Some(incoming) = read.ok_or(Protocol::Timeout)?? else {
        return Ok(Next::Close);
    };
    let request = incoming.request;
    let page = if request.path == path {
        ready(operators)
    } else {
        Page::NotFound
    };
    let response = HttpResponse::from(page);
    let bytes = http::encode_response(&response, &request.method, incoming.closes).await?;
    let written = net::within(IDLE_TIMEOUT, conn.write(&bytes)).await;
    written.ok_or(Protocol::Timeout)??;
    Ok(if incoming.closes {
        Next::Close
    } else {
        Next::Read
    })
}
