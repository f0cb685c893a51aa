//! Connections to the VM's own target.

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

/// An idle connection is not used again after this time, since it may have gone
/// silent unnoticed.
const MAX_IDLE: Duration = Duration::from_secs(5);
const DEFAULT_CONNECTIONS: u32 = 64;
const DEFAULT_BODY: ByteSize = ByteSize::new(1_024 * 1_024);

/// Connections to one target, bounded in number.
pub(super) struct TargetPool {
    addr: SocketAddr,
    state: Mutex<State>,
}

struct State {
    idle: Vec<Idle>,
    leased: u32,
    limits: TargetLimits,
}

struct Idle {
    stream: Stream,
    since: Instant,
}

/// The right to use one connection; it ends when this is dropped.
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

    /// Closes the idle connections, after one of their age has gone silent.
    pub(super) fn clear(&self) {
        self.lock().idle.clear();
    }

    /// Takes an idle connection or opens one; nothing if neither can be had.
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
        state.prune();
        let idle = state.take();
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
    fn prune(&mut self) {
        self.idle.retain(|idle| idle.since.elapsed() < MAX_IDLE);
    }

    fn take(&mut self) -> Option<Stream> {
        while let Some(idle) = self.idle.pop() {
            if net::is_reusable(&idle.stream) {
                return Some(idle.stream);
            }
        }
        None
    }
}

impl Lease<'_> {
    /// Keeps a connection whose answer was read to the end.
    pub(super) fn keep(self, stream: Stream) {
        let since = Instant::now();
        self.pool.lock().idle.push(Idle { stream, since });
    }
}

impl Drop for Lease<'_> {
    fn drop(&mut self) {
        self.pool.lock().leased -= 1;
    }
}
