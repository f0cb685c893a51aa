//! Pool of idle connections to other nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::net;
use crate::net::Stream;

/// Connections without an exchange for this time are closed.
const MAX_IDLE: Duration = Duration::from_secs(10);

/// Idle connections by the address of the peer.
#[derive(Default)]
pub(super) struct PeerPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

/// A connection without an outstanding reply.
pub(super) struct IdleConnection {
    pub(super) stream: Stream,
    /// End of the last exchange.
    pub(super) used: Instant,
    /// Last time at which the peer answered an exchange or a ping.
    pub(super) verified: Instant,
}

impl PeerPool {
    /// Takes the connection that was added last among those that are still open.
    pub(super) fn take(&self, peer: SocketAddr) -> Option<Stream> {
        let mut idle = self.lock();
        let list = idle.get_mut(&peer)?;
        while let Some(idle) = list.pop() {
            if net::is_reusable(&idle.stream) {
                return Some(idle.stream);
            }
        }
        None
    }

    /// Adds a connection after an exchange whose reply was read to its end.
    pub(super) fn keep(&self, peer: SocketAddr, stream: Stream) {
        let now = Instant::now();
        let idle = IdleConnection {
            stream,
            used: now,
            verified: now,
        };
        self.put_back(peer, idle);
    }

    /// Adds a connection again without changing its times.
    pub(super) fn put_back(&self, peer: SocketAddr, idle: IdleConnection) {
        self.lock().entry(peer).or_default().push(idle);
    }

    /// Closes the idle connections to a peer, after the peer has stopped responding on
    /// one.
    pub(super) fn clear(&self, peer: SocketAddr) {
        self.lock().remove(&peer);
    }

    /// Takes the connections that were last verified before `before`, and closes those
    /// without an exchange for [`MAX_IDLE`].
    pub(super) fn take_unverified(&self, before: Instant) -> Vec<(SocketAddr, IdleConnection)> {
        let mut unverified = Vec::new();
        let mut idle = self.lock();
        for (peer, list) in idle.iter_mut() {
            list.retain(|idle| idle.used.elapsed() < MAX_IDLE);
            let stale = list.extract_if(.., |idle| idle.verified < before);
            unverified.extend(stale.map(|idle| (*peer, idle)));
        }
        idle.retain(|_, list| !list.is_empty());
        unverified
    }

    pub(super) fn dump(&self) -> Value {
        let idle = self.lock();
        let counts = idle
            .iter()
            .map(|(peer, list)| (peer.to_string(), json!(list.len())));
        Value::Object(counts.collect())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
