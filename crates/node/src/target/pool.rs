//! Pool of connections to the local target.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use celeryshore_model::ByteSize;
use serde_json::Value;
use serde_json::json;

use crate::net;
use crate::net::Stream;
use crate::target::TargetLimits;

/// Idle connections are closed after this time, since the target may no longer
/// respond on them.
const MAX_IDLE: Duration = Duration::from_secs(5);
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

    /// Takes an idle connection or opens one. Returns `None` if the limit is reached
    /// or the target cannot be connected to.
    pub(super) async fn lease(&self) -> Option<(Lease<'_>, Stream)> {
        let (lease, idle) = self.reserve()?;
        let stream = match idle {
            Some(stream) => stream,
            None => net::connect(self.addr).await.ok()?,
        };
        Some((lease, stream))
    }

    fn reserve(&self) -> Option<(Lease<'_>, Option<Stream>)> {
        let mut state = self.lock();
        state.close_expired();
        let idle = state.take_idle();
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

    fn take_idle(&mut self) -> Option<Stream> {
        while let Some(idle) = self.idle.pop() {
            if net::is_reusable(&idle.stream) {
                return Some(idle.stream);
            }
        }
        None
    }
}

impl Lease<'_> {
    /// Returns a connection to the pool, once the response was read to its end.
    pub(super) fn keep(self, stream: Stream) {
        let since = Instant::now();
        self.pool.lock().idle.push(IdleConnection { stream, since });
    }
}

impl Drop for Lease<'_> {
    fn drop(&mut self) {
        self.pool.lock().leased -= 1;
    }
}
