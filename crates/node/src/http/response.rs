//! Responses, which are read from targets and written to callers.

use async_h1::client;
use async_h1::server::Encoder;
use bytes::Bytes;
use celeryshore_model::ByteSize;
use celeryshore_model::HttpResponse;
use futures_lite::AsyncReadExt;
use http_types::Body;
use http_types::Method;
use http_types::Response;
use http_types::StatusCode;

use crate::Result;
use crate::error::Protocol;
use crate::http::Connection;
use crate::http::MessageLimits;
use crate::http::field;
use crate::http::head::Framing;
use crate::http::head::Head;
use crate::http::head_input::HeadInput;
use crate::http::request::ascii;

const OK: u16 = 200;
const NO_CONTENT: u16 = 204;
const NOT_MODIFIED: u16 = 304;

/// Reads the complete response to a request. The second value is `true` if the
/// connection can be reused.
pub(crate) async fn read_response(
    conn: &mut Connection,
    limits: MessageLimits,
    is_head: bool,
) -> Result<(HttpResponse, bool)> {
    let (text, status) = read_final_head(conn, limits).await?;
    let head = Head::parse(&text)?;
    let is_reusable = !head.closes && head.framing != Framing::Absent;
    if is_head || status == NO_CONTENT || status == NOT_MODIFIED {
        return Ok((decode(text, Bytes::new()).await?, !head.closes));
    }
    let body = match head.framing {
        Framing::Chunked => conn.read_chunked_body(limits.body).await?,
        Framing::Length(length) => conn.read_body(length, limits.body).await?,
        Framing::Absent => conn.read_to_end(limits.body).await?,
    };
    Ok((decode(text, body).await?, is_reusable))
}

/// Reads the header of the final response and skips interim ones. The limit applies to
/// all of them together.
async fn read_final_head(conn: &mut Connection, limits: MessageLimits) -> Result<(Bytes, u16)> {
    let mut left = limits.header.get();
    loop {
        let text = conn
            .read_head(ByteSize::new(left))
            .await?
            .ok_or(Protocol::Closed)?;
        let status = status(&text).ok_or(Protocol::Head)?;
        if status >= OK {
            return Ok((text, status));
        }
        left = left.saturating_sub(text.len() as u64);
    }
}

fn status(text: &[u8]) -> Option<u16> {
    let code = text.split(|b| *b == b' ').nth(1)?.get(..3)?;
    std::str::from_utf8(code).ok()?.parse().ok()
}

async fn decode(text: Bytes, body: Bytes) -> Result<HttpResponse> {
    let res = Box::pin(client::decode(HeadInput::new(text))).await?;
    Ok(to_model(&res, body))
}

fn to_model(res: &Response, body: Bytes) -> HttpResponse {
    HttpResponse {
        status: res.status().into(),
        headers: field::end_to_end(res.as_ref()),
        body,
    }
}

/// Encodes the response to a request with this method. `closes` announces that the
/// connection closes after it.
pub(crate) async fn encode_response(
    response: &HttpResponse,
    method: &[u8],
    closes: bool,
) -> Result<Vec<u8>> {
    let status = StatusCode::try_from(response.status)?;
    let mut res = Response::new(status);
    res.set_body(Body::from_bytes(response.body.to_vec()));
    res.remove_header("content-type");
    for header in &response.headers {
        let name = ascii(&header.name)?;
        res.append_header(name, ascii(&header.value)?);
    }
    if closes {
        res.insert_header("connection", "close");
    }
    let method = if method == b"HEAD" {
        Method::Head
    } else {
        Method::Get
    };
    let mut bytes = Vec::with_capacity(response.body.len() + 512);
    Encoder::new(res, method).read_to_end(&mut bytes).await?;
    Ok(bytes)
}
