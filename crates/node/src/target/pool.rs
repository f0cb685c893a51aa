//! Pool of connections to the local target.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use celeryshore_model::ByteSize;
use serde_json::Value;
use serde_json::json;

use crate::net;
use crate::net::Stream;
use crate::target::TargetLimits;

/// Idle connections are closed after this time, since the target may no longer
/// respond on them.
const MAX_IDLE: Duration = Duration::from_secs(5);
/// Failed requests on a connection after which it is closed.
const MAX_FAILED_REQUESTS: usize = 64;
const DEFAULT_CONNECTIONS: u32 = 64;
const DEFAULT_BODY: ByteSize = ByteSize::new(1_024 * 1_024);

/// Connections to one target, limited in number.
pub(super) struct TargetPool {
    addr: SocketAddr,
    state: Mutex<State>,
}

struct State {
    idle: Vec<IdleConnection>,
    leased: u32,
    limits: TargetLimits,
}

struct IdleConnection {
    stream: Stream,
    since: Instant,
    earlier: EarlierRequests,
}

/// Requests that were sent on a connection before.
///
/// A faulty target may write an earlier response once more. A connection is therefore not
/// used for a second request with the identifier of one that failed on it.
#[derive(Debug, Default)]
pub(super) struct EarlierRequests {
    /// Whether any had an identifier, as health checks don't.
    has_calls: bool,
    failed: Vec<Bytes>,
}

impl EarlierRequests {
    /// Returns `true` if any request with an identifier was sent.
    pub(super) const fn has_calls(&self) -> bool {
        self.has_calls
    }

    /// Adds a request that succeeded.
    pub(super) fn insert(&mut self, id: Option<&Bytes>) {
        self.has_calls |= id.is_some();
    }

    /// Adds a request that failed. Returns `false` if the connection should be closed,
    /// because the failure can't be recognized if it is repeated, or there were many.
    pub(super) fn insert_failed(&mut self, id: Option<&Bytes>) -> bool {
        self.insert(id);
        self.failed.extend(id.cloned());
        id.is_some() && self.failed.len() < MAX_FAILED_REQUESTS
    }

    fn has_failed(&self, id: Option<&Bytes>) -> bool {
        id.is_some_and(|id| self.failed.contains(id))
    }
}

/// Connection to the target that is in use by one request.
pub(super) struct LeasedConnection<'a> {
    pub(super) lease: Lease<'a>,
    pub(super) stream: Stream,
    pub(super) earlier: EarlierRequests,
}

/// Right to use one connection; counts towards the limit until it is dropped.
pub(super) struct Lease<'a> {
    pool: &'a TargetPool,
}

impl TargetPool {
    pub(super) fn new(addr: SocketAddr) -> Self {
        let limits = TargetLimits {
            connections: DEFAULT_CONNECTIONS,
            body: DEFAULT_BODY,
        };
        let state = State {
            idle: Vec::new(),
            leased: 0,
            limits,
        };
        Self {
            addr,
            state: Mutex::new(state),
        }
    }

    pub(super) fn set_limits(&self, limits: TargetLimits) {
        self.lock().limits = limits;
    }

    pub(super) fn limits(&self) -> TargetLimits {
        self.lock().limits
    }

    /// Closes the idle connections, after a request on one of the pool has timed out.
    pub(super) fn clear(&self) {
        self.lock().idle.clear();
    }

    /// Takes an idle connection for the request with an identifier, or opens one. Returns
    /// `None` if the limit is reached or the target cannot be connected to.
    pub(super) async fn lease(&self, request_id: Option<&Bytes>) -> Option<LeasedConnection<'_>> {
        let (lease, idle) = self.reserve(request_id)?;
        let (stream, earlier) = if let Some(idle) = idle {
            (idle.stream, idle.earlier)
        } else {
            let stream = net::connect(self.addr).await.ok()?;
            (stream, EarlierRequests::default())
        };
        Some(LeasedConnection {
            lease,
            stream,
            earlier,
        })
    }

    fn reserve(&self, request_id: Option<&Bytes>) -> Option<(Lease<'_>, Option<IdleConnection>)> {
        let mut state = self.lock();
        state.close_expired();
        let idle = state.take_idle(request_id);
        let open = state.leased as usize + state.idle.len();
        if idle.is_none() && open >= state.limits.connections as usize {
            return None;
        }
        state.leased += 1;
        Some((Lease { pool: self }, idle))
    }

    pub(super) fn dump(&self) -> Value {
        let state = self.lock();
        json!({
            "address": self.addr,
            "idle": state.idle.len(),
            "in_use": state.leased,
            "limit": state.limits.connections,
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn close_expired(&mut self) {
        self.idle.retain(|idle| idle.since.elapsed() < MAX_IDLE);
    }

    fn take_idle(&mut self, request_id: Option<&Bytes>) -> Option<IdleConnection> {
        while let Some(idle) = self.idle.pop() {
            let is_suitable = !idle.earlier.has_failed(request_id);
            if is_suitable && net::is_reusable(&idle.stream) {
                return Some(idle);
            }
        }
        None
    }
}

impl Lease<'_> {
    /// Returns a connection to the pool, once the response was read to its end.
    pub(super) fn keep(self, stream: Stream, earlier: EarlierRequests) {
        self.pool.lock().idle.push(IdleConnection {
            stream,
            since: Instant::now(),
            earlier,
        });
    }
}

impl Drop for Lease<'_> {
    fn drop(&mut self) {
        self.pool.lock().leased -= 1;
    }
}
