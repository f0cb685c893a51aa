//! Client of the gRPC service from which nodes pull configurations.

use celeryshore_kernel::PullReply;
use celeryshore_kernel::PullRequest;
use http::Uri;
use hyper::body::Incoming;
use tonic::body::Body;
use tower_service::Service;

use crate::Error;
use crate::Result;
use crate::generated::control as raw;
use crate::generated::control::configuration_client::ConfigurationClient;
use crate::pull::ReplyAssembler;

/// Client that pulls configurations from a peer.
pub struct PullClient<C> {
    client: ConfigurationClient<C>,
}

impl<C> PullClient<C>
where
    C: Service<http::Request<Body>, Response = http::Response<Incoming>>,
    C::Error: Into<tonic::codegen::StdError>,
{
    /// Creates a client that sends its HTTP/2 requests to `origin` over `channel`.
    pub fn new(channel: C, origin: Uri) -> Self {
        Self {
            client: ConfigurationClient::with_origin(channel, origin),
        }
    }

    /// Sends a pull request and waits for the complete reply.
    ///
    /// # Errors
    ///
    /// Fails if the call fails, or if the reply is truncated, malformed or too long.
    pub async fn pull(&mut self, request: PullRequest) -> Result<PullReply> {
        let mut stream = self
            .client
            .pull(raw::PullRequest::from(request))
            .await?
            .into_inner();
        let mut assembler = ReplyAssembler::default();
        while let Some(chunk) = stream.message().await? {
            if let Some(reply) = assembler.push(chunk)? {
                return Ok(reply);
            }
        }
        Err(Error::missing_field("last chunk"))
    }
}
