//! Idle connections to other nodes.

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

/// An unused connection is closed after this time.
const MAX_IDLE: Duration = Duration::from_secs(10);

/// Idle connections by the address of the peer.
#[derive(Default)]
pub(super) struct PeerPool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

/// A connection without an outstanding reply.
pub(super) struct Idle {
    pub(super) stream: Stream,
    pub(super) used: Instant,
    pub(super) proved: Instant,
}

impl PeerPool {
    /// Takes the connection that was used last, if it is still open.
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

    /// Keeps a connection whose reply was read to the end.
    pub(super) fn keep(&self, peer: SocketAddr, stream: Stream) {
        let now = Instant::now();
        let idle = Idle {
            stream,
            used: now,
            proved: now,
        };
        self.put_back(peer, idle);
    }

    /// Keeps a connection that is as old as before.
    pub(super) fn put_back(&self, peer: SocketAddr, idle: Idle) {
        self.lock().entry(peer).or_default().push(idle);
    }

    /// Closes the idle connections to a peer, after one of them has gone silent.
    pub(super) fn clear(&self, peer: SocketAddr) {
        self.lock().remove(&peer);
    }

    /// Takes out what was not proved to work since `before`, and closes what was
    /// not used for long.
    pub(super) fn take_unproved(&self, before: Instant) -> Vec<(SocketAddr, Idle)> {
        let mut unproved = Vec::new();
        let mut idle = self.lock();
        for (peer, list) in idle.iter_mut() {
            list.retain(|idle| idle.used.elapsed() < MAX_IDLE);
            let stale = list.extract_if(.., |idle| idle.proved < before);
            unproved.extend(stale.map(|idle| (*peer, idle)));
        }
        idle.retain(|_, list| !list.is_empty());
        unproved
    }

    pub(super) fn dump(&self) -> Value {
        let idle = self.lock();
        let counts = idle
            .iter()
            .map(|(peer, list)| (peer.to_string(), json!(list.len())));
        Value::Object(counts.collect())
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
