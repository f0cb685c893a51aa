//! Stand-in for the platform's key-value service.
//!
//! Readers fetch values and watch them with blocking queries. Tests publish
//! values and inject faults through a second port, the control port. `store`
//! holds the values and applies the faults; `control` serves the control port.

mod control;
mod store;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use http_types::Request;
use http_types::Response;
use http_types::StatusCode;

use self::control::Control;
pub use self::store::CallCounts;
use self::store::CallKind;
pub use self::store::Fault;
use self::store::Store;
use self::store::Value;
pub use self::store::Vm;
use crate::Error;
use crate::Query;
use crate::Result;
use crate::Stream;
use crate::server;
use crate::server::Service;
use crate::server::json;
use crate::server::text;

const INDEX_HEADER: &str = "x-consul-index";
const KEY_VALUE_PREFIX: &str = "/v1/kv/";
const CATALOG_PATH: &str = "/v1/catalog/nodes";
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Key-value service with an injectable fault.
///
/// Clones share their state.
#[derive(Clone, Debug)]
pub struct Platform {
    store: Arc<Mutex<Store>>,
}

impl Platform {
    /// Creates an empty store. Changes to the list of VMs become visible to
    /// readers after `lag`.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        Self {
            store: Arc::new(Mutex::new(Store::new(lag))),
        }
    }

    /// Serves the readers' port.
    ///
    /// # Errors
    ///
    /// Fails if the listener can't bind the address.
    pub async fn serve(self, addr: SocketAddr) -> Result<()> {
        server::serve(addr, Arc::new(self)).await
    }

    /// Serves the control port.
    ///
    /// # Errors
    ///
    /// Fails if the listener can't bind the address.
    pub async fn serve_control(self, addr: SocketAddr) -> Result<()> {
        server::serve(addr, Arc::new(Control(self))).await
    }

    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn read(&self, key: &str, query: &Query) -> Result<Response> {
        let index = query.number("index")?.unwrap_or(0);
        let wait = query.duration("wait")?.unwrap_or_default();
        let deadline = Instant::now() + wait;
        let kind = if index > 0 {
            CallKind::Watch
        } else {
            CallKind::Read
        };
        self.store().record_call(kind);
        loop {
            if self.store().is_down() {
                return Err(Error::Timeout);
            }
            let value = self.store().get(key);
            if index == 0 || value.index > index || Instant::now() >= deadline {
                return Ok(value_response(&value));
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }
}

impl Service for Platform {
    async fn handle(&self, req: Request, stream: Stream) -> Result<Response> {
        let query = Query::from_request(&req);
        let path = req.url().path();
        if let Some(key) = path.strip_prefix(KEY_VALUE_PREFIX) {
            let disconnected = async {
                stream.wait_until_closed().await;
                Err(Error::Timeout)
            };
            return futures_lite::future::or(self.read(key, &query), disconnected).await;
        }
        if path != CATALOG_PATH {
            return Ok(text(StatusCode::NotFound, "no such path"));
        }
        let mut store = self.store();
        store.record_call(CallKind::Catalog);
        if store.is_down() {
            return Err(Error::Timeout);
        }
        json(&store.visible_vms())
    }
}

fn value_response(value: &Value) -> Response {
    let mut res = match &value.data {
        Some(data) => {
            let mut res = Response::new(StatusCode::Ok);
            res.set_body(data.as_ref());
            res
        }
        None => text(StatusCode::NotFound, ""),
    };
    res.insert_header(INDEX_HEADER, value.index.to_string());
    res
}
