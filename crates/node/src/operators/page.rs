//! Responses of the operators' port.

use bytes::Bytes;
use celeryshore_model::Header;
use celeryshore_model::HttpResponse;
use serde::Serialize;

const TEXT: &str = "text/plain; charset=utf-8";
const JSON: &str = "application/json";

/// Response of the operators' port.
pub(super) enum Page {
    Text(Bytes),
    Json(Bytes),
    NotReady,
    NotFound,
    MissingParameter,
}

impl Page {
    pub(super) fn text(text: impl Into<Bytes>) -> Self {
        Self::Text(text.into())
    }

    pub(super) fn json(value: &impl Serialize) -> Self {
        let body = serde_json::to_vec_pretty(value).unwrap_or_default();
        Self::Json(body.into())
    }
}

impl From<Page> for HttpResponse {
    fn from(page: Page) -> Self {
        let (status, media_type, body) = match page {
            Page::Text(body) => (200, TEXT, body),
            Page::Json(body) => (200, JSON, body),
            Page::NotReady => (503, TEXT, Bytes::from_static(b"not ready\n")),
            Page::NotFound => (404, TEXT, Bytes::from_static(b"no such page\n")),
            Page::MissingParameter => (400, TEXT, Bytes::from_static(b"a parameter is missing\n")),
        };
        Self {
            status,
            headers: vec![Header::new("content-type", media_type)],
            body,
        }
    }
}
