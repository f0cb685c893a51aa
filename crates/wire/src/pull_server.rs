//! The serving end of a pull.

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

/// Decides what to reply to a pull.
pub trait PullHandler: Send + Sync + 'static {
    /// Returns the reply; nothing if the node ends before it has one.
    fn pull(&self, request: PullRequest) -> impl Future<Output = Option<PullReply>> + Send;
}

/// Serves pulls that come as HTTP/2 requests.
pub struct PullServer<H> {
    service: ConfigurationServer<Handled<H>>,
}

impl<H> Clone for PullServer<H> {
    fn clone(&self) -> Self {
        Self {
            service: self.service.clone(),
        }
    }
}

impl<H: PullHandler> PullServer<H> {
    /// Serves what `handler` replies.
    pub fn new(handler: H) -> Self {
        Self {
            service: ConfigurationServer::new(Handled(handler)),
        }
    }

    /// Answers one HTTP/2 request.
    ///
    /// # Errors
    ///
    /// Never fails; a failed pull is a gRPC status.
    pub async fn answer(
        &self,
        request: http::Request<Incoming>,
    ) -> Result<http::Response<Body>, Infallible> {
        self.service.clone().call(request).await
    }
}

struct Handled<H>(H);

type Chunks = Iter<vec::IntoIter<Result<raw::PullChunk, Status>>>;

#[tonic::async_trait]
impl<H: PullHandler> Configuration for Handled<H> {
    type PullStream = Chunks;

    async fn pull(
        &self,
        request: tonic::Request<raw::PullRequest>,
    ) -> Result<Response<Chunks>, Status> {
        let request = PullRequest::try_from(request.into_inner())
            .map_err(|err| Status::invalid_argument(err.to_string()))?;
        let reply = self.0.pull(request).await;
        let reply = reply.ok_or_else(|| Status::unavailable("the node ends"))?;
        let chunks: Vec<_> = pull::to_chunks(reply).into_iter().map(Ok).collect();
        Ok(Response::new(stream::iter(chunks)))
    }
}
