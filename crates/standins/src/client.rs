//! HTTP/1.1 client with one persistent connection.

use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::headers::CONNECTION;
use serde::de::DeserializeOwned;

use crate::Error;
use crate::Result;
use crate::Stream;

const MIN_ERROR_STATUS: u16 = 400;

/// HTTP response whose body has been read completely.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Complete body.
    pub body: Vec<u8>,
    head: Response,
}

impl BufferedResponse {
    /// Returns the last value of a header field.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        Some(self.head.header(name)?.last().as_str())
    }
}

/// HTTP client for one address.
#[derive(Debug)]
pub struct Client {
    addr: SocketAddr,
    timeout: Duration,
    stream: Option<Stream>,
}

impl Client {
    /// Creates a client. The first request opens the connection.
    #[must_use]
    pub fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self {
            addr,
            timeout,
            stream: None,
        }
    }

    /// Sets how long to wait for a complete response.
    pub fn set_timeout(&mut self, timeout: Duration) {
        self.timeout = timeout;
    }

    /// Builds a request to this client's address.
    ///
    /// # Panics
    ///
    /// Panics if `path` isn't a valid URL path.
    #[must_use]
    pub fn request(&self, method: Method, path: &str) -> Request {
        let url = format!("http://{}{path}", self.addr);
        Request::new(method, url.as_str())
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives within the timeout.
    pub async fn send(&mut self, req: impl Into<Request>) -> Result<BufferedResponse> {
        let timeout = self.timeout;
        let expired = async {
            Timer::after(timeout).await;
            Err(Error::Timeout)
        };
        self.round_trip(req.into()).or(expired).await
    }

    /// Sends a `GET` request and parses the response as JSON.
    ///
    /// # Errors
    ///
    /// Fails if no response arrives within the timeout, or if it isn't JSON of
    /// this type.
    pub async fn get<T: DeserializeOwned>(&mut self, path: &str) -> Result<T> {
        let res = self.send(self.request(Method::Get, path)).await?;
        Ok(serde_json::from_slice(&res.body)?)
    }

    /// Sends a `POST` request without a body, for control ports.
    ///
    /// # Errors
    ///
    /// Fails if no response arrives within the timeout, or if its status is an
    /// error.
    pub async fn post(&mut self, path: &str) -> Result<BufferedResponse> {
        let req = self.request(Method::Post, path);
        check_status(self.send(req).await?)
    }

    /// Sends a `PUT` request, for control ports.
    ///
    /// # Errors
    ///
    /// Fails if no response arrives within the timeout, or if its status is an
    /// error.
    pub async fn put(&mut self, path: &str, body: &[u8]) -> Result<BufferedResponse> {
        let mut req = self.request(Method::Put, path);
        req.set_body(body);
        check_status(self.send(req).await?)
    }

    async fn round_trip(&mut self, req: Request) -> Result<BufferedResponse> {
        // The connection is reused only after a complete response.
        let stream = match self.stream.take() {
            Some(stream) => stream,
            None => Stream::connect(self.addr).await?,
        };
        let mut head = async_h1::connect(stream.clone(), req).await?;
        let body = head.body_bytes().await?;
        check_length(&head, body.len())?;
        if !closes_connection(&head) {
            self.stream = Some(stream);
        }
        Ok(BufferedResponse {
            status: head.status().into(),
            body,
            head,
        })
    }
}

fn check_status(res: BufferedResponse) -> Result<BufferedResponse> {
    if res.status < MIN_ERROR_STATUS {
        return Ok(res);
    }
    Err(Error::Refused {
        status: res.status,
        text: String::from_utf8_lossy(&res.body).into_owned(),
    })
}

fn check_length(head: &Response, found: usize) -> Result<()> {
    let Some(declared) = head.header("content-length") else {
        return Ok(());
    };
    if declared.last().as_str() == found.to_string() {
        return Ok(());
    }
    Err(Error::Parameter {
        name: "content-length",
        found: found.to_string(),
    })
}

fn closes_connection(head: &Response) -> bool {
    let close = |values: &http_types::headers::HeaderValues| {
        values.last().as_str().eq_ignore_ascii_case("close")
    };
    head.header(CONNECTION).is_some_and(close)
}
