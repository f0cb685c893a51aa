//! Control port of the platform.

use bytes::Bytes;
use http_types::Method;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;

use super::Platform;
use crate::Error;
use crate::Query;
use crate::Result;
use crate::Stream;
use crate::server::Service;
use crate::server::json;
use crate::server::text;

const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Service of the platform's control port.
///
/// It takes `GET /calls`, `PUT /vms`, `POST /fault?mode=FAULT` and
/// `PUT /publish/KEY`, which responds with the index of the new value.
#[derive(Debug)]
pub struct Control(pub Platform);

impl Service for Control {
    async fn handle(&self, mut req: Request, _: Stream) -> Result<Response> {
        let body = req.body_bytes().await?;
        let path = req.url().path();
        match (req.method(), path) {
            (Method::Get, "/calls") => json(&self.0.store().calls()),
            (Method::Put, "/vms") => {
                let vms = serde_json::from_slice(&body)?;
                self.0.store().set_vms(vms);
                Ok(text(StatusCode::Ok, "changed"))
            }
            (Method::Post, "/fault") => self.set_fault(&Query::from_request(&req)),
            (Method::Put, _) => Ok(self.publish(path, body)),
            _ => Ok(text(StatusCode::NotFound, "no such path")),
        }
    }
}

impl Control {
    fn set_fault(&self, query: &Query) -> Result<Response> {
        let mode = query.get("mode").unwrap_or_default();
        let fault = mode.parse().map_err(|_| Error::Parameter {
            name: "mode",
            found: mode.to_owned(),
        })?;
        self.0.store().set_fault(fault);
        Ok(text(StatusCode::Ok, "changed"))
    }

    fn publish(&self, path: &str, body: Vec<u8>) -> Response {
        let Some(key) = path.strip_prefix("/publish/") else {
            return text(StatusCode::NotFound, "no such path");
        };
        if body.len() > MAX_VALUE_BYTES {
            return text(StatusCode::PayloadTooLarge, "over 1 MiB");
        }
        let index = self.0.store().publish(key, Bytes::from(body));
        text(StatusCode::Ok, &index.to_string())
    }
}
