//! HTTP client for the operators' port of nodes.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use futures_lite::AsyncReadExt;
use futures_lite::FutureExt;
use http_types::Method;
use http_types::Request;
use http_types::StatusCode;
use http_types::Url;
use http_types::headers::HeaderName;
use http_types::headers::HeaderValue;
use serde::de::DeserializeOwned;

use crate::Category;
use crate::Result;

/// Longest response body that is read, in bytes.
const MAX_BODY_BYTES: u64 = 64 * 1_024 * 1_024;

/// Maximum number of concurrent requests.
const MAX_CONCURRENT: usize = 32;

/// Header fields of a request.
pub(crate) type Fields = Vec<(HeaderName, HeaderValue)>;

/// Fetches a JSON value from each node concurrently, and returns the results in
/// the order of `nodes`.
pub(crate) fn fetch_all<T>(nodes: &[SocketAddr], path: &str, timeout: Duration) -> Vec<Result<T>>
where
    T: DeserializeOwned + Send,
{
    let mut results = Vec::with_capacity(nodes.len());
    for chunk in nodes.chunks(MAX_CONCURRENT) {
        std::thread::scope(|scope| {
            let threads = chunk.iter().map(|node| {
                let node = *node;
                scope.spawn(move || fetch(node, path, timeout))
            });
            let threads: Vec<_> = threads.collect();
            for (thread, node) in threads.into_iter().zip(chunk) {
                let result = thread.join();
                results.push(result.unwrap_or_else(|_| Err(node_error(*node))));
            }
        });
    }
    results
}

/// Fetches a JSON value from a node. `timeout` covers the connection and the
/// complete response.
pub(crate) fn fetch<T: DeserializeOwned>(
    node: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Result<T> {
    let url = format!("http://{node}{path}");
    let url = Url::parse(&url).map_err(|err| node_error(node).with_source(err))?;
    fetch_with(node, url, &Fields::new(), timeout)
}

/// Fetches a JSON value from a node, by a request with these header fields.
pub(crate) fn fetch_with<T: DeserializeOwned>(
    node: SocketAddr,
    url: Url,
    fields: &Fields,
    timeout: Duration,
) -> Result<T> {
    let mut request = Request::new(Method::Get, url);
    for (name, value) in fields {
        request.append_header(name.clone(), value.clone());
    }
    let response = async_io::block_on(with_timeout(timeout, get(node, request)));
    let body = response.map_err(|source| node_error(node).with_source(source))?;
    serde_json::from_slice(&body).map_err(|err| node_error(node).with_source(err))
}

fn node_error(node: SocketAddr) -> crate::Error {
    crate::Error::new(Category::Node, node.to_string())
}

async fn with_timeout<T>(
    timeout: Duration,
    response: impl Future<Output = FetchResult<T>>,
) -> FetchResult<T> {
    let expiry = async {
        Timer::after(timeout).await;
        Err(FetchError::TimedOut)
    };
    response.or(expiry).await
}

type FetchResult<T> = std::result::Result<T, FetchError>;

/// Failure to fetch a response from a node.
#[derive(Debug, Display, Error, From)]
enum FetchError {
    #[display("no answer in time")]
    #[from(skip)]
    TimedOut,
    #[display("status {_0}")]
    #[from(skip)]
    #[error(ignore)]
    Status(StatusCode),
    #[display("connection failed")]
    Connection(io::Error),
    #[display("{_0}")]
    #[error(ignore)]
    Http(http_types::Error),
}

async fn get(node: SocketAddr, request: Request) -> FetchResult<Vec<u8>> {
    let stream = Async::<TcpStream>::connect(node).await?;
    let mut response = async_h1::connect(stream, request).await?;
    if !response.status().is_success() {
        return Err(FetchError::Status(response.status()));
    }
    let mut body = Vec::new();
    let mut limited_body = response.take_body().take(MAX_BODY_BYTES);
    limited_body.read_to_end(&mut body).await?;
    Ok(body)
}
