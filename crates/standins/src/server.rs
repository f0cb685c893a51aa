//! HTTP/1.1 server.

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

/// Handler of a server's requests.
pub trait Service: Send + Sync + 'static {
    /// Handles a request that arrived on `stream`.
    ///
    /// [`Error::Parameter`] and [`Error::Json`] become a response with status 400.
    /// After any other error the connection closes without a response.
    fn handle(&self, req: Request, stream: Stream)
    -> impl Future<Output = Result<Response>> + Send;
}

/// Accepts connections and serves each in a task, until the listener fails.
///
/// # Errors
///
/// Fails if the listener can't bind the address or accept a connection.
pub async fn serve(addr: SocketAddr, service: Arc<impl Service>) -> Result<()> {
    let listener = Async::<TcpListener>::bind(addr)?;
    loop {
        let (tcp, _) = listener.accept().await?;
        let stream = Stream::new(tcp)?;
        spawn(serve_connection(stream, service.clone())).detach();
    }
}

/// Serves the requests of one connection until it closes.
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

/// Builds a plain-text response.
#[must_use]
pub fn text(status: StatusCode, body: &str) -> Response {
    let mut res = Response::new(status);
    res.set_body(body);
    res
}

/// Builds a JSON response with status 200.
///
/// # Errors
///
/// Fails if the value can't be serialized.
pub fn json(value: &impl Serialize) -> Result<Response> {
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(serde_json::to_string(value)?);
    res.set_content_type(http_types::mime::JSON);
    Ok(res)
}
