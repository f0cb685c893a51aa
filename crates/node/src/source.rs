//! Reads of the platform's service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use bytes::Bytes;
use celeryshore_kernel::FleetAction;
use celeryshore_kernel::RequestEvent;
use celeryshore_model::ByteSize;
use celeryshore_model::HttpRequest;
use celeryshore_model::HttpResponse;
use celeryshore_model::Index;

use crate::Result;
use crate::driver::Driver;
use crate::error::Protocol;
use crate::http;
use crate::http::Connection;
use crate::http::MessageLimits;
use crate::net;
use crate::settings::PlatformSettings;

/// Header field with the modification index of an answer.
const INDEX: &[u8] = b"x-consul-index";
const LIMITS: MessageLimits = MessageLimits {
    header: ByteSize::new(8 * 1_024 - 1),
    body: ByteSize::new(2 * 1_024 * 1_024),
};
const WAIT: Duration = Duration::from_secs(30);
/// Time that the platform may answer later than it was asked to.
const GRACE: Duration = Duration::from_secs(5);
const RETRY_PAUSE: Duration = Duration::from_millis(200);
const OK: u16 = 200;

/// A value of the platform with its modification index.
#[derive(Clone, Debug)]
pub(crate) struct Value {
    pub(crate) index: Index,
    pub(crate) value: Bytes,
}

/// Reads a key, at once or when its index differs from the one that is known.
pub(crate) async fn read_key(
    platform: SocketAddr,
    key: &str,
    known: Option<Index>,
    wait: Duration,
) -> Result<Value> {
    let path = match known {
        Some(index) => format!("/v1/kv/{key}?raw&index={index}&wait={}ms", wait.as_millis()),
        None => format!("/v1/kv/{key}?raw"),
    };
    let response = net::within(wait + GRACE, get(platform, path)).await;
    to_value(response.ok_or(Protocol::Timeout)??)
}

async fn get(platform: SocketAddr, path: String) -> Result<HttpResponse> {
    let request = HttpRequest {
        method: Bytes::from_static(b"GET"),
        host: platform.to_string().into(),
        path: path.into(),
        ..HttpRequest::default()
    };
    let mut conn = Connection::new(net::connect(platform).await?);
    conn.write(&http::encode_request(&request).await?).await?;
    let (response, _) = http::read_response(&mut conn, LIMITS, false).await?;
    Ok(response)
}

fn to_value(response: HttpResponse) -> Result<Value> {
    if response.status != OK {
        return Err(Protocol::Status.into());
    }
    let index = response.header(INDEX).ok_or(Protocol::Index)?;
    let index = std::str::from_utf8(index).map_err(|_| Protocol::Index)?;
    let index = index.parse().map_err(|_| Protocol::Index)?;
    Ok(Value {
        index: Index(index),
        value: response.body,
    })
}

/// Logs what operators may want to know, until the task is dropped.
pub(crate) async fn log_reports(driver: Arc<Driver>) {
    let actions = driver.fleet_actions();
    while let Ok(action) = actions.recv().await {
        if let FleetAction::Report(report) = action {
            slog::info!(driver.log(), "fleet: {}", report);
        }
    }
}

/// Watches the rules and puts each good version in force, until the task is dropped.
pub(crate) async fn watch(driver: Arc<Driver>, platform: PlatformSettings) {
    let mut known = None;
    for addr in platform.addresses.iter().cycle() {
        match read_key(*addr, &platform.key, known, WAIT).await {
            Ok(value) if known == Some(value.index) => {}
            Ok(value) => {
                known = Some(value.index);
                judge(&driver, &value);
            }
            Err(err) => {
                slog::warn!(driver.log(), "source: read failed"; "error" => %err);
                Timer::after(RETRY_PAUSE).await;
            }
        }
    }
}

fn judge(driver: &Arc<Driver>, value: &Value) {
    match celeryshore_rules::from_slice(&value.value, value.index) {
        Ok(snapshot) => driver.handle(RequestEvent::Configured(Arc::new(snapshot))),
        Err(err) => {
            slog::error!(driver.log(), "source: version refused"; "error" => %err);
        }
    }
}
