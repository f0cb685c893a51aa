//! Limit on the callers' open connections, and the signal to close them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use async_channel::Receiver;
use async_channel::Sender;

/// Counts the callers' connections and tells them when to close.
pub(crate) struct ConnectionTracker {
    count: Arc<Mutex<usize>>,
    closing: Signal,
    ending: Signal,
    /// Every guard holds a clone, so that `empty` is signalled when the last
    /// connection ends.
    alive: Mutex<Option<Sender<()>>>,
    empty: Receiver<()>,
}

/// Counts one connection until it is dropped.
pub(crate) struct ConnectionGuard {
    count: Arc<Mutex<usize>>,
    closing: Receiver<()>,
    ending: Receiver<()>,
    _alive: Sender<()>,
}

/// Signal that is given once, by dropping the sender.
struct Signal {
    tx: Mutex<Option<Sender<()>>>,
    rx: Receiver<()>,
}

impl Default for Signal {
    fn default() -> Self {
        let (tx, rx) = async_channel::bounded(1);
        Self {
            tx: Mutex::new(Some(tx)),
            rx,
        }
    }
}

impl Default for ConnectionTracker {
    fn default() -> Self {
        let (alive, empty) = async_channel::bounded(1);
        Self {
            count: Arc::default(),
            closing: Signal::default(),
            ending: Signal::default(),
            alive: Mutex::new(Some(alive)),
            empty,
        }
    }
}

impl ConnectionTracker {
    /// Counts a new connection. Returns `None` if `limit` connections are open, or
    /// once [`Self::wait_until_empty`] has been called.
    pub(crate) fn track(&self, limit: usize) -> Option<ConnectionGuard> {
        let alive = lock(&self.alive).clone()?;
        let mut count = lock(&self.count);
        if *count >= limit {
            return None;
        }
        *count += 1;
        Some(ConnectionGuard {
            count: self.count.clone(),
            closing: self.closing.rx.clone(),
            ending: self.ending.rx.clone(),
            _alive: alive,
        })
    }

    /// Tells all connections to close after their next response.
    pub(crate) fn close(&self) {
        lock(&self.closing.tx).take();
    }

    /// Tells the idle connections to close at once.
    pub(crate) fn close_idle(&self) {
        lock(&self.ending.tx).take();
    }

    /// Rejects new connections and waits until all open ones have ended.
    pub(crate) async fn wait_until_empty(&self) {
        lock(&self.alive).take();
        let _ = self.empty.recv().await;
    }

    /// Returns the number of open connections.
    pub(crate) fn count(&self) -> usize {
        *lock(&self.count)
    }
}

impl ConnectionGuard {
    /// Waits until idle connections are told to close.
    pub(crate) async fn ending(&self) {
        let _ = self.ending.recv().await;
    }

    /// Returns `true` once the connections are told to close.
    pub(crate) fn is_closing(&self) -> bool {
        self.closing.is_closed()
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        *lock(&self.count) -= 1;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
