//! Count of open connections, and the signal to close them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use async_channel::Receiver;
use async_channel::Sender;

/// Counts the connections of callers. Once it closes, they end one by one.
pub(crate) struct Gate {
    passes: Arc<Mutex<usize>>,
    open: Mutex<Option<Sender<()>>>,
    closing: Receiver<()>,
    /// Every pass holds a sender, so that the receiver ends with the last of them.
    held: Mutex<Option<Sender<()>>>,
    emptied: Receiver<()>,
}

/// A connection that is counted until this is dropped.
pub(crate) struct Pass {
    passes: Arc<Mutex<usize>>,
    closing: Receiver<()>,
    _held: Sender<()>,
}

impl Default for Gate {
    fn default() -> Self {
        let (open, closing) = async_channel::bounded(1);
        let (held, emptied) = async_channel::bounded(1);
        Self {
            passes: Arc::default(),
            open: Mutex::new(Some(open)),
            closing,
            held: Mutex::new(Some(held)),
            emptied,
        }
    }
}

impl Gate {
    /// Lets a connection in, unless there are `limit` already or all have ended.
    pub(crate) fn enter(&self, limit: usize) -> Option<Pass> {
        let held = lock(&self.held).clone()?;
        let mut passes = lock(&self.passes);
        if *passes >= limit {
            return None;
        }
        *passes += 1;
        Some(Pass {
            passes: self.passes.clone(),
            closing: self.closing.clone(),
            _held: held,
        })
    }

    /// Ends connections: idle ones soon, and the others after their answer.
    pub(crate) fn close(&self) {
        lock(&self.open).take();
    }

    /// Lets nothing in any more, and waits until no connection is left.
    pub(crate) async fn emptied(&self) {
        lock(&self.held).take();
        let _ = self.emptied.recv().await;
    }

    /// Returns the number of open connections.
    pub(crate) fn count(&self) -> usize {
        *lock(&self.passes)
    }
}

impl Pass {
    /// Waits until the gate closes.
    pub(crate) async fn closing(&self) {
        let _ = self.closing.recv().await;
    }

    /// Tells whether the gate closes.
    pub(crate) fn is_closing(&self) -> bool {
        self.closing.is_closed()
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        *lock(&self.passes) -= 1;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
