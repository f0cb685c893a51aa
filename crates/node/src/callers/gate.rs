//! Count of open connections, and the signal to close them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use async_channel::Receiver;
use async_channel::Sender;

/// Counts the connections of callers. Once it is shut, idle ones close.
pub(crate) struct Gate {
    passes: Arc<Mutex<usize>>,
    open: Mutex<Option<Sender<()>>>,
    shut: Receiver<()>,
    /// Every pass holds a sender, so that this closes with the last of them.
    left: Receiver<()>,
    leaving: Mutex<Option<Sender<()>>>,
}

/// A connection that is counted until this is dropped.
pub(crate) struct Pass {
    passes: Arc<Mutex<usize>>,
    shut: Receiver<()>,
    _leaving: Sender<()>,
}

impl Default for Gate {
    fn default() -> Self {
        let (open, shut) = async_channel::bounded(1);
        let (leaving, left) = async_channel::bounded(1);
        Self {
            passes: Arc::default(),
            open: Mutex::new(Some(open)),
            shut,
            left,
            leaving: Mutex::new(Some(leaving)),
        }
    }
}

impl Gate {
    /// Lets a connection in, unless there are `limit` already or it is shut.
    pub(crate) fn enter(&self, limit: usize) -> Option<Pass> {
        let leaving = lock(&self.leaving).clone()?;
        let mut passes = lock(&self.passes);
        if *passes >= limit {
            return None;
        }
        *passes += 1;
        Some(Pass {
            passes: self.passes.clone(),
            shut: self.shut.clone(),
            _leaving: leaving,
        })
    }

    /// Closes idle connections, and the others after their answer.
    pub(crate) fn shut(&self) {
        lock(&self.open).take();
        lock(&self.leaving).take();
    }

    /// Waits until no connection is left after [`Self::shut`].
    pub(crate) async fn emptied(&self) {
        let _ = self.left.recv().await;
    }

    /// Returns the number of open connections.
    pub(crate) fn count(&self) -> usize {
        *lock(&self.passes)
    }
}

impl Pass {
    /// Waits until the gate is shut.
    pub(crate) async fn closing(&self) {
        let _ = self.shut.recv().await;
    }

    /// Tells whether the gate is shut.
    pub(crate) fn is_closing(&self) -> bool {
        self.shut.is_closed()
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        *lock(&self.passes) -= 1;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
