//! A small HTTP/1.1 server.

use std::future::Future;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;

use async_io::Async;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;
use serde::Serialize;

use crate::Error;
use crate::Result;
use crate::Stream;
use crate::executor::spawn;

/// What a server does with a request.
pub trait Service: Send + Sync + 'static {
    /// Answers a request, or fails so that the connection closes unanswered.
    fn handle(&self, req: Request, stream: Stream)
    -> impl Future<Output = Result<Response>> + Send;
}

/// Serves requests until an error of the listener.
///
/// # Errors
///
/// Fails if the address can't be listened on.
pub async fn serve(addr: SocketAddr, service: Arc<impl Service>) -> Result<()> {
    let listener = Async::<TcpListener>::bind(addr)?;
    loop {
        let (tcp, _) = listener.accept().await?;
        let stream = Stream::new(tcp)?;
        spawn(serve_connection(stream, service.clone())).detach();
    }
}

/// Serves the requests of one connection.
pub async fn serve_connection(stream: Stream, service: Arc<impl Service>) {
    let handle = async |req| {
        let res = service.handle(req, stream.clone()).await;
        res.or_else(error_response)
    };
    let _ = async_h1::accept(stream.clone(), handle).await;
}

fn error_response(err: Error) -> http_types::Result<Response> {
    if let Error::Parameter { .. } | Error::Json(_) = err {
        return Ok(text(StatusCode::BadRequest, &err.to_string()));
    }
    Err(http_types::Error::new(StatusCode::InternalServerError, err))
}

/// Makes an answer of plain text.
#[must_use]
pub fn text(status: StatusCode, body: &str) -> Response {
    let mut res = Response::new(status);
    res.set_body(body);
    res
}

/// Makes an answer of JSON.
///
/// # Errors
///
/// Fails if the value can't be written as JSON.
pub fn json(value: &impl Serialize) -> Result<Response> {
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(serde_json::to_string(value)?);
    res.set_content_type(http_types::mime::JSON);
    Ok(res)
}
