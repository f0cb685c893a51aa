//! Client of the platform's service, which holds the rules text and the list of VMs.

use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use celeryshore_kernel::ReadAnswer;
use celeryshore_kernel::ReadFailure;
use celeryshore_kernel::ReadQuery;
use celeryshore_model::ByteSize;
use celeryshore_model::HttpRequest;
use celeryshore_model::HttpResponse;
use celeryshore_model::Index;
use celeryshore_model::VmName;
use serde::Deserialize;

use crate::Error;
use crate::Result;
use crate::http;
use crate::http::Connection;
use crate::http::MessageLimits;
use crate::net;
use crate::settings::PlatformSettings;

/// Response header field with the modification index of a value.
const INDEX_HEADER: &[u8] = b"x-consul-index";

/// State in the platform's list of a VM that is to take no new requests.
const LEAVING_STATE: &str = "leaving";

const LIMITS: MessageLimits = MessageLimits {
    header: ByteSize::new(8 * 1_024 - 1),
    body: ByteSize::new(2 * 1_024 * 1_024),
};

const OK: u16 = 200;

/// Client of the platform's service.
pub(super) struct PlatformClient {
    settings: PlatformSettings,
    /// Index of the address in use, modulo their number. Incremented by each failure.
    address_index: AtomicUsize,
}

impl PlatformClient {
    pub(super) fn new(settings: PlatformSettings) -> Self {
        Self {
            settings,
            address_index: AtomicUsize::new(0),
        }
    }

    /// Reads once. After a failure the next read goes to the next address.
    pub(super) async fn read(
        &self,
        query: ReadQuery,
        deadline: Instant,
    ) -> std::result::Result<ReadAnswer, ReadFailure> {
        let answer = self.try_read(&query, deadline).await;
        if answer.is_err() {
            self.address_index.fetch_add(1, Ordering::Relaxed);
        }
        answer
    }

    async fn try_read(
        &self,
        query: &ReadQuery,
        deadline: Instant,
    ) -> std::result::Result<ReadAnswer, ReadFailure> {
        let response = net::timeout_at(deadline, get(self.address(), self.request(query)))
            .await
            .ok_or(ReadFailure::Timeout)?;
        let response = response.map_err(|err| read_failure(&err))?;
        if response.status != OK {
            return Err(ReadFailure::Status);
        }
        let answer = match query {
            ReadQuery::Vms => parse_leaving(&response),
            ReadQuery::Rules { .. } | ReadQuery::Part { .. } => parse_value(response),
        };
        answer.ok_or(ReadFailure::Malformed)
    }

    fn address(&self) -> SocketAddr {
        let addresses = &self.settings.addresses;
        addresses[self.address_index.load(Ordering::Relaxed) % addresses.len()]
    }

    fn request(&self, query: &ReadQuery) -> HttpRequest {
        HttpRequest {
            method: Bytes::from_static(b"GET"),
            path: self.path(query).into(),
            ..HttpRequest::default()
        }
    }

    fn path(&self, query: &ReadQuery) -> String {
        let key = &self.settings.key;
        match query {
            ReadQuery::Rules { index: None, .. } => format!("/v1/kv/{key}?raw"),
            ReadQuery::Rules {
                index: Some(index),
                wait,
            } => format!("/v1/kv/{key}?raw&index={index}&wait={}", format_wait(*wait)),
            ReadQuery::Part { key: part } => format!("/v1/kv/{}?raw", part_key(key, part)),
            ReadQuery::Vms => "/v1/catalog/nodes".to_owned(),
        }
    }
}

fn read_failure(err: &Error) -> ReadFailure {
    if err.is_malformed() {
        ReadFailure::Malformed
    } else {
        ReadFailure::Unreachable
    }
}

fn format_wait(wait: Duration) -> String {
    format!("{}s", wait.as_secs().max(1))
}

/// Returns the key of a part, which is in the same folder as the rules key.
fn part_key(key: &str, part: &str) -> String {
    match key.rsplit_once('/') {
        Some((folder, _)) => format!("{folder}/{part}"),
        None => part.to_owned(),
    }
}

/// Sends a request to a platform's service on a new connection, and reads the response.
async fn get(platform: SocketAddr, request: HttpRequest) -> Result<HttpResponse> {
    let mut conn = send(platform, request).await?;
    read(&mut conn).await
}

/// Sends a request to a platform's service on a new connection.
pub(super) async fn send(platform: SocketAddr, request: HttpRequest) -> Result<Connection> {
    let request = HttpRequest {
        host: platform.to_string().into(),
        ..request
    };
    let conn = Connection::new(net::connect(platform).await?);
    conn.write(&http::encode_request(&request).await?).await?;
    Ok(conn)
}

/// Reads the response of a platform's service.
pub(super) async fn read(conn: &mut Connection) -> Result<HttpResponse> {
    let (response, _) = http::read_response(conn, LIMITS, false).await?;
    Ok(response)
}

fn parse_value(response: HttpResponse) -> Option<ReadAnswer> {
    let index = std::str::from_utf8(response.header(INDEX_HEADER)?).ok()?;
    Some(ReadAnswer::Value {
        index: Index(index.parse().ok()?),
        value: response.body,
    })
}

/// VM in the platform's list.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ListedVm {
    node: VmName,
    #[serde(default)]
    meta: ListedMeta,
}

#[derive(Default, Deserialize)]
struct ListedMeta {
    #[serde(default)]
    state: String,
}

fn parse_leaving(response: &HttpResponse) -> Option<ReadAnswer> {
    let vms: Vec<ListedVm> = serde_json::from_slice(&response.body).ok()?;
    let leaving = vms.into_iter().filter(|vm| vm.meta.state == LEAVING_STATE);
    Some(ReadAnswer::Leaving(leaving.map(|vm| vm.node).collect()))
}
