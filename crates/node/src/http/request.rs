//! Requests, which are read from callers and written to targets.

use std::str::FromStr;

use async_h1::client::Encoder;
use async_h1::server;
use bytes::Bytes;
use celeryshore_model::ByteSize;
use celeryshore_model::HttpRequest;
use futures_lite::AsyncReadExt;
use http_types::Method;
use http_types::Request;
use http_types::Url;
use http_types::headers::HOST;

use crate::Result;
use crate::error::Protocol;
use crate::http::Connection;
use crate::http::MessageLimits;
use crate::http::field;
use crate::http::head;
use crate::http::head::Framing;
use crate::http::head::Head;
use crate::http::head_input::HeadInput;

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A decoded request, and whether its connection closes.
pub(crate) struct Incoming {
    pub(crate) request: HttpRequest,
    /// The caller asked to close the connection after the response.
    pub(crate) closes: bool,
}

/// Reads a complete request; returns `None` if the connection ends before it.
pub(crate) async fn read_request(
    conn: &mut Connection,
    limits: MessageLimits,
) -> Result<Option<Incoming>> {
    let Some(text) = conn.read_head(limits.header).await? else {
        return Ok(None);
    };
    let head = Head::parse(&text)?;
    check_content_length(head, limits.body)?;
    let text = head::without_expect(&text);
    if head.expects_continue {
        conn.write(CONTINUE).await?;
    }
    let body = match head.framing {
        Framing::Chunked => conn.read_chunked_body(limits.body).await?,
        Framing::Length(length) => conn.read_body(length, limits.body).await?,
        Framing::Absent => Bytes::new(),
    };
    let request = decode(text, body).await?;
    let closes = head.closes;
    Ok(Some(Incoming { request, closes }))
}

/// Rejects a body that is too long before its sender is told to continue.
fn check_content_length(head: Head, limit: ByteSize) -> Result<()> {
    match head.framing {
        Framing::Length(length) if length > limit.get() => Err(Protocol::BodyLength.into()),
        _ => Ok(()),
    }
}

async fn decode(text: Bytes, body: Bytes) -> Result<HttpRequest> {
    let input = HeadInput::new(text.clone());
    let decoded = Box::pin(server::decode(input)).await?;
    let (req, _) = decoded.ok_or(Protocol::Head)?;
    to_model(&req, &text, body)
}

/// Converts a decoded request.
///
/// Rejects a path that URL parsing changes, for example by resolving `..`: others on
/// the way to the target could interpret it differently.
fn to_model(req: &Request, text: &Bytes, body: Bytes) -> Result<HttpRequest> {
    let url = req.url();
    let path = path_of(url);
    if raw_path(text) != Some(path.as_bytes()) {
        return Err(Protocol::Head.into());
    }
    let host = url.host_str().unwrap_or_default().to_ascii_lowercase();
    Ok(HttpRequest {
        method: Bytes::copy_from_slice(req.method().as_ref().as_bytes()),
        host: host.into(),
        path: path.into(),
        headers: field::end_to_end(req.as_ref()),
        body,
    })
}

fn path_of(url: &Url) -> String {
    match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_owned(),
    }
}

fn raw_path(text: &[u8]) -> Option<&[u8]> {
    text.split(|b| *b == b' ').nth(1)
}

/// Encodes a request.
pub(crate) async fn encode_request(request: &HttpRequest) -> Result<Vec<u8>> {
    let path = ascii(&request.path)?;
    let host = ascii(&request.host)?;
    let method = ascii(&request.method)?;
    let url = Url::parse(&format!("http://{host}{path}")).map_err(|_| Protocol::Head)?;
    let mut req = Request::new(Method::from_str(method)?, url);
    req.insert_header(HOST, host);
    for header in &request.headers {
        let name = ascii(&header.name)?;
        req.append_header(name, ascii(&header.value)?);
    }
    req.set_body(request.body.to_vec());
    restore_content_type(&mut req, request);
    let mut bytes = Vec::with_capacity(request.body.len() + 512);
    Encoder::new(req).read_to_end(&mut bytes).await?;
    Ok(bytes)
}

/// Removes the media type that the encoder adds to a body if the caller gave none.
fn restore_content_type(req: &mut Request, request: &HttpRequest) {
    if request.header(b"content-type").is_none() {
        req.remove_header("content-type");
    }
}

/// Returns the text of a field or of the request line. Rejects characters that are not
/// ASCII, line breaks, which could inject fields, and NUL.
pub(super) fn ascii(value: &Bytes) -> Result<&str> {
    let text = std::str::from_utf8(value).map_err(|_| Protocol::Head)?;
    let is_clean = text.is_ascii() && !text.contains(['\r', '\n', '\0']);
    if !is_clean {
        return Err(Protocol::Head.into());
    }
    Ok(text)
}
