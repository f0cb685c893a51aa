//! Server of the gRPC service from which nodes pull configurations.

use std::convert::Infallible;
use std::future::Future;
use std::vec;

use celeryshore_kernel::PullReply;
use celeryshore_kernel::PullRequest;
use futures_lite::stream;
use futures_lite::stream::Iter;
use hyper::body::Incoming;
use tonic::Response;
use tonic::Status;
use tonic::body::Body;
use tower_service::Service;

use crate::generated::control as raw;
use crate::generated::control::configuration_server::Configuration;
use crate::generated::control::configuration_server::ConfigurationServer;
use crate::pull;

/// Source of the replies to pull requests.
pub trait PullHandler: Send + Sync + 'static {
    /// Returns the reply, or `None` if the node shuts down before there is one.
    fn pull(&self, request: PullRequest) -> impl Future<Output = Option<PullReply>> + Send;
}

/// Server for pull requests that arrive over HTTP/2. Clones share the handler.
pub struct PullServer<H> {
    service: ConfigurationServer<HandlerService<H>>,
}

impl<H> Clone for PullServer<H> {
    fn clone(&self) -> Self {
        Self {
            service: self.service.clone(),
        }
    }
}

impl<H: PullHandler> PullServer<H> {
    /// Creates a server that replies with the results of `handler`.
    pub fn new(handler: H) -> Self {
        Self {
            service: ConfigurationServer::new(HandlerService(handler)),
        }
    }

    /// Responds to an HTTP/2 request.
    ///
    /// # Errors
    ///
    /// Never fails. A failed pull is reported to the client as a gRPC status.
    pub async fn answer(
        &self,
        request: http::Request<Incoming>,
    ) -> Result<http::Response<Body>, Infallible> {
        self.service.clone().call(request).await
    }
}

struct HandlerService<H>(H);

type ChunkStream = Iter<vec::IntoIter<Result<raw::PullChunk, Status>>>;

#[tonic::async_trait]
impl<H: PullHandler> Configuration for HandlerService<H> {
    type PullStream = ChunkStream;

    async fn pull(
        &self,
        request: tonic::Request<raw::PullRequest>,
    ) -> Result<Response<ChunkStream>, Status> {
        let request = PullRequest::try_from(request.into_inner())
            .map_err(|err| Status::invalid_argument(err.to_string()))?;
        let reply = self.0.pull(request).await;
        let reply = reply.ok_or_else(|| Status::unavailable("the node ends"))?;
        let chunks: Vec<_> = pull::to_chunks(reply).into_iter().map(Ok).collect();
        Ok(Response::new(stream::iter(chunks)))
    }
}
