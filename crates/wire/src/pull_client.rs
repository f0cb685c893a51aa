//! The asking end of a pull.

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
use crate::pull::Assembly;

/// Sends pulls over a channel of HTTP/2 requests.
pub struct PullClient<C> {
    client: ConfigurationClient<C>,
}

impl<C> PullClient<C>
where
    C: Service<http::Request<Body>, Response = http::Response<Incoming>>,
    C::Error: Into<tonic::codegen::StdError>,
{
    /// Sends pulls to `origin` over `channel`.
    pub fn new(channel: C, origin: Uri) -> Self {
        Self {
            client: ConfigurationClient::with_origin(channel, origin),
        }
    }

    /// Sends a pull and waits for its whole reply.
    ///
    /// # Errors
    ///
    /// Fails if the call fails, or if the reply is torn, malformed or too long.
    pub async fn pull(&mut self, request: PullRequest) -> Result<PullReply> {
        let mut stream = self
            .client
            .pull(raw::PullRequest::from(request))
            .await?
            .into_inner();
        let mut assembly = Assembly::default();
        while let Some(chunk) = stream.message().await? {
            if let Some(reply) = assembly.push(chunk)? {
                return Ok(reply);
            }
        }
        Err(Error::missing("last chunk"))
    }
}
