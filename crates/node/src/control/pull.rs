//! Client side of pulls: requests a newer configuration from a peer by gRPC.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use async_executor::StaticExecutor;
use async_io::Async;
use celeryshore_kernel::PullReply;
use celeryshore_kernel::PullRequest;
use celeryshore_wire::PullClient;
use http::Request;
use http::Response;
use http::Uri;
use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper::client::conn::http2::SendRequest;
use smol_hyper::rt::FuturesIo;
use smol_hyper::rt::SmolTimer;
use tonic::body::Body;
use tower_service::Service;

use super::executor::HyperExecutor;
use crate::net;

/// Time without incoming data after which an HTTP/2 ping is sent.
pub(super) const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Time limit for the reply to a ping; then the connection is closed.
pub(super) const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Pulls from a peer. Returns `None` on a failure or at the deadline.
pub(super) async fn pull(
    ex: &'static StaticExecutor,
    control: SocketAddr,
    request: PullRequest,
    deadline: Instant,
) -> Option<PullReply> {
    net::timeout_at(deadline, try_pull(ex, control, request)).await?
}

async fn try_pull(
    ex: &'static StaticExecutor,
    control: SocketAddr,
    request: PullRequest,
) -> Option<PullReply> {
    let stream = Async::<TcpStream>::connect(control).await.ok()?;
    stream.get_ref().set_nodelay(true).ok()?;
    let (sender, connection) = http2::Builder::new(HyperExecutor(ex))
        .timer(SmolTimer::new())
        .keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .handshake(FuturesIo::new(stream))
        .await
        .ok()?;
    let connection = ex.spawn(connection);
    let origin: Uri = format!("http://{control}").parse().ok()?;
    let reply = PullClient::new(Channel(sender), origin).pull(request).await;
    drop(connection);
    reply.ok()
}

/// gRPC channel on one HTTP/2 connection.
#[derive(Clone)]
struct Channel(SendRequest<Body>);

type ResponseFuture = Pin<Box<dyn Future<Output = hyper::Result<Response<Incoming>>> + Send>>;

impl Service<Request<Body>> for Channel {
    type Response = Response<Incoming>;
    type Error = hyper::Error;
    type Future = ResponseFuture;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<hyper::Result<()>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, request: Request<Body>) -> ResponseFuture {
        Box::pin(self.0.send_request(request))
    }
}
